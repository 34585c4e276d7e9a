package live

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"whinrudder/client"
	"whinrudder/internal/core"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/emu/workers"
	"whinrudder/internal/emu/workload"
	"whinrudder/internal/vtime"
)

// CallStats is what became of the calls of real clients against real nodes.
type CallStats struct {
	Calls, Served, InTime     int
	OfferedWorth, EarnedWorth float64 // asked for, and got by the aim
	Tries                     int
	FailureReasons            map[string]int // of those that brought nothing
	WriteRuns                 int            // of writes, by the worker pools' book
	DuplicateWrites           []string       // writes that ran more than once
	FalseNotRun               []string       // writes that were told not to have run, and did
	Violations                []string       // rules that nodes broke
}

// book is what the worker pools run.
type book struct {
	mu    sync.Mutex
	works map[string]workers.Work
	runs  map[string]int
}

// Watch implements client.Source: nodes come to the list and leave it so late as the day says.
func (h *Host) Watch(ctx context.Context, list func(made time.Time, nodes []client.Node)) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		made := time.Now().Add(-time.Duration(h.day.ListLag * float64(time.Millisecond)))
		var nodes []client.Node
		h.mu.Lock()
		for _, n := range h.nodes {
			n.mu.Lock()
			if !n.came.IsZero() && (n.came.Before(made) || n.came.Before(h.start)) && (n.left.IsZero() || n.left.After(made)) {
				nodes = append(nodes, client.Node{Name: n.name, Addr: n.front})
			}
			n.mu.Unlock()
		}
		h.mu.Unlock()
		list(made, nodes)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// RunClients plays a day against processes of a program, whose callers are clients of the library over a protocol: as many as
// the day has callers. With a proxy, each is a process of that program, and who calls it is a plain client of HTTP. The day's own callers stay away. Its troubles of nodes and pools are played, those of callers, the network and
// the ensemble are not.
func RunClients(ctx context.Context, program, proxy string, d fleet.Day, protocol client.Protocol) (c CallStats, err error) {
	if d.Nodes > maxNodes {
		return c, fmt.Errorf("live: %d nodes, %d at most", d.Nodes, maxNodes)
	}
	if rate := d.Workload().Rate * 1000; rate > maxRate {
		return c, fmt.Errorf("live: %.0f requests a second, %.0f at most", rate, maxRate)
	}
	c = CallStats{FailureReasons: map[string]int{}}
	dir, err := os.MkdirTemp("", "live")
	if err != nil {
		return c, err
	}
	defer os.RemoveAll(dir)
	h := &Host{Program: program, day: d, dir: dir, begun: make(chan struct{})}
	if protocol != client.HTTP {
		h.front = string(protocol)
	}
	defer h.stop()
	b := &book{works: map[string]workers.Work{}, runs: map[string]int{}}
	quiet := d
	quiet.OnlyRequests = []int{}
	var fault, loadFault error
	var load sync.WaitGroup
	r := fleet.SimulateWith(quiet, h.make, func(k *vtime.Kernel, to float64, poke func()) {
		load.Go(func() {
			if err := b.load(ctx, h, proxy, protocol, &c); err != nil {
				loadFault = err
			}
		})
		fault = h.drive(ctx, k, to, poke)
	}, b.run)
	load.Wait()
	c.Violations = r.Violations
	for no, n := range b.runs {
		c.WriteRuns += n
		if n > 1 {
			c.DuplicateWrites = append(c.DuplicateWrites, fmt.Sprintf("request %s ran %d times", no, n))
		}
	}
	return c, errors.Join(fault, loadFault)
}

// run notes a run of the worker pools and tells its work. Bodies hold the number of a request, and a mark of writes.
func (b *book) run(s core.Spawn) workers.Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	body := string(s.Body)
	if len(body) > 0 && body[0] == 'w' {
		b.runs[body]++
	}
	w := b.works[body]
	w.Run += w.Read // what reading takes is part of the run here
	return w
}

// load makes the calls of the day.
func (b *book) load(ctx context.Context, h *Host, proxy string, protocol client.Protocol, c *CallStats) error {
	select {
	case <-h.begun:
	case <-ctx.Done():
		return nil
	}
	d := h.day
	var classes []client.Class
	for _, k := range d.Classes {
		classes = append(classes, client.Class{Name: k.Name, Write: k.Write, NoHedge: true})
	}
	var callers []caller
	for i := range d.Callers {
		if proxy != "" {
			p, err := startProxy(ctx, h, proxy, i, protocol)
			if err != nil {
				return err
			}
			defer p.stop()
			callers = append(callers, p)
			continue
		}
		l, err := client.New(client.Options{Source: h, Protocol: protocol, Classes: classes, Number: i, Hooks: client.Hooks{
			Try: func(string, string, bool, bool) {
				b.mu.Lock()
				c.Tries++
				b.mu.Unlock()
			}}})
		if err != nil {
			return err
		}
		defer l.Close()
		callers = append(callers, l)
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	crowd := workload.New(d.Workload(), d.Seed)
	for q, ok := crowd.Next(); ok; q, ok = crowd.Next() {
		at := h.start.Add(time.Duration(q.At * float64(time.Millisecond)))
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return nil
		}
		wait.Go(func() { b.call(ctx, callers[q.Caller], d.Classes[q.Class], q, at, c) })
	}
	return nil
}

// caller makes calls: a client of the library, or a proxy that is built on it.
type caller interface {
	Do(ctx context.Context, r client.Request) (*client.Response, error)
}

func (b *book) call(ctx context.Context, l caller, k fleet.Class, q workload.Request, at time.Time, c *CallStats) {
	body := "r" + strconv.Itoa(q.Number)
	if k.Write {
		body = "w" + strconv.Itoa(q.Number)
	}
	b.mu.Lock()
	b.works[body] = q.Work
	b.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, at.Add(time.Duration(k.Deadline*float64(time.Millisecond))))
	defer cancel()
	_, err := l.Do(ctx, client.Request{Class: k.Name, Subject: strconv.Itoa(q.Subject), Body: []byte(body), KB: q.KB, Rank: q.Rank})
	took := float64(time.Since(at)) / float64(time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	c.Calls++
	c.OfferedWorth += k.Worth
	var fault *client.Error
	switch {
	case err == nil:
		c.Served++
		if took <= k.Aim {
			c.InTime++
			c.EarnedWorth += k.Worth
		} else {
			c.EarnedWorth += k.Worth * k.LateWorth
		}
	case errors.As(err, &fault):
		c.FailureReasons[fault.Reason.String()]++
		if k.Write && !fault.MayHaveRun() && b.runs[body] > 0 {
			c.FalseNotRun = append(c.FalseNotRun, fmt.Sprintf("%s ran, and %v", body, err))
		}
	default:
		var said *proxyError
		if !errors.As(err, &said) {
			c.FailureReasons["other"]++
			return
		}
		c.FailureReasons[said.reason]++
		if k.Write && said.status == http.StatusServiceUnavailable && b.runs[body] > 0 {
			c.FalseNotRun = append(c.FalseNotRun, fmt.Sprintf("%s ran, and the proxy said %s", body, said.reason))
		}
	}
}

// WriteCallStats writes what became of calls as people read it.
func WriteCallStats(w io.Writer, c CallStats) {
	tries := ""
	if c.Tries > 0 { // proxies keep theirs to themselves
		tries = fmt.Sprintf("%.3f tries a call, ", float64(c.Tries)/float64(max(1, c.Calls)))
	}
	fmt.Fprintf(w, "%d calls, %d served, %d in time, worth in time %.3f, %snone: %v\n", c.Calls, c.Served, c.InTime, c.EarnedWorth/max(1e-9, c.OfferedWorth), tries, c.FailureReasons)
	fmt.Fprintf(w, "writes: %d runs by the worker pools' book, %d ran twice, %d ran though they were told not to have; rules broken by nodes: %d\n", c.WriteRuns,
		len(c.DuplicateWrites), len(c.FalseNotRun), len(c.Violations))
	for _, x := range append(append(c.DuplicateWrites, c.FalseNotRun...), c.Violations...) {
		fmt.Fprintln(w, "   ", x)
	}
}
