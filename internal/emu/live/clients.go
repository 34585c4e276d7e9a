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

// CallStats counts the outcomes of calls that real clients make to real nodes.
type CallStats struct {
	Calls, Served, InTime     int     // all calls, those answered, and those answered within the aim of their class
	OfferedWorth, EarnedWorth float64 // worth of all calls, and worth earned; a late answer earns a part
	Tries                     int
	FailureReasons            map[string]int // number of failed calls by reason
	WriteRuns                 int            // runs of writes, as counted by the worker pools
	DuplicateWrites           []string       // writes that ran more than once
	FalseNotRun               []string       // writes that ran although the caller was told that they had not
	Violations                []string       // violations of the rules by nodes
}

// workLedger holds the work of each request body and counts the runs of writes.
type workLedger struct {
	mu   sync.Mutex
	work map[string]workers.Work
	runs map[string]int
}

// Watch implements client.Source. Nodes appear in the list and disappear from it with the list lag of the day.
func (h *Host) Watch(ctx context.Context, list func(asOf time.Time, nodes []client.Node)) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		asOf := time.Now().Add(-time.Duration(h.day.ListLag * float64(time.Millisecond)))
		var nodes []client.Node
		h.mu.Lock()
		for _, n := range h.nodes {
			n.mu.Lock()
			if !n.readyAt.IsZero() && (n.readyAt.Before(asOf) || n.readyAt.Before(h.start)) &&
				(n.leftAt.IsZero() || n.leftAt.After(asOf)) {
				nodes = append(nodes, client.Node{Name: n.name, Addr: n.clientAddr})
			}
			n.mu.Unlock()
		}
		h.mu.Unlock()
		list(asOf, nodes)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// RunClients plays a day against processes of the node program, with a real client of the library over the given
// protocol for each caller of the day. If proxy names a program, each client is a process of that program instead,
// called over plain HTTP. The modeled callers send nothing. Faults of nodes and worker pools take place, those of
// callers, the network and the ensemble do not.
func RunClients(ctx context.Context, program, proxy string, d fleet.Day,
	protocol client.Protocol) (c CallStats, err error) {
	if d.Nodes > maxNodes {
		return c, fmt.Errorf("live: the day has %d nodes, want at most %d", d.Nodes, maxNodes)
	}
	if rate := d.Workload().Rate * 1000; rate > maxRequestsPerSecond {
		return c, fmt.Errorf("live: the day has %.0f requests per second, want at most %.0f", rate,
			maxRequestsPerSecond)
	}
	c = CallStats{FailureReasons: map[string]int{}}
	dir, err := os.MkdirTemp("", "live")
	if err != nil {
		return c, err
	}
	defer os.RemoveAll(dir)
	h := &Host{Program: program, day: d, dir: dir, started: make(chan struct{})}
	if protocol != client.HTTP {
		h.protocol = string(protocol)
	}
	defer h.stop()
	ledger := &workLedger{work: map[string]workers.Work{}, runs: map[string]int{}}
	withoutCallers := d
	withoutCallers.OnlyRequests = []int{}
	var driveErr, loadErr error
	var loadGroup sync.WaitGroup
	r := fleet.SimulateWith(withoutCallers, h.startNode, func(k *vtime.Kernel, to float64, poke func()) {
		loadGroup.Go(func() {
			if err := ledger.load(ctx, h, proxy, protocol, &c); err != nil {
				loadErr = err
			}
		})
		driveErr = h.drive(ctx, k, to, poke)
	}, ledger.run)
	loadGroup.Wait()
	c.Violations = r.Violations
	for body, runs := range ledger.runs {
		c.WriteRuns += runs
		if runs > 1 {
			c.DuplicateWrites = append(c.DuplicateWrites, fmt.Sprintf("request %s ran %d times", body, runs))
		}
	}
	return c, errors.Join(driveErr, loadErr)
}

// run counts a run and returns its work. A body consists of "r" for a read or "w" for a write and the request number.
func (b *workLedger) run(s core.Spawn) workers.Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	body := string(s.Body)
	if len(body) > 0 && body[0] == 'w' {
		b.runs[body]++
	}
	w := b.work[body]
	w.Run += w.Read // here the work of reading the request is part of the run
	return w
}

// load starts the clients and makes the calls of the day at their times. It returns when all calls have ended.
func (b *workLedger) load(ctx context.Context, h *Host, proxy string, protocol client.Protocol, c *CallStats) error {
	select {
	case <-h.started:
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
			proxyClient, err := startProxy(ctx, h, proxy, i, protocol)
			if err != nil {
				return err
			}
			defer proxyClient.stop()
			callers = append(callers, proxyClient)
			continue
		}
		libraryClient, err := client.New(client.Options{Source: h, Protocol: protocol, Classes: classes, Number: i,
			Hooks: client.Hooks{
				Try: func(string, string, bool, bool) {
					b.mu.Lock()
					c.Tries++
					b.mu.Unlock()
				}}})
		if err != nil {
			return err
		}
		defer libraryClient.Close()
		callers = append(callers, libraryClient)
	}
	var openCalls sync.WaitGroup
	defer openCalls.Wait()
	generator := workload.New(d.Workload(), d.Seed)
	for request, ok := generator.Next(); ok; request, ok = generator.Next() {
		at := h.start.Add(time.Duration(request.At * float64(time.Millisecond)))
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return nil
		}
		openCalls.Go(func() { b.call(ctx, callers[request.Caller], d.Classes[request.Class], request, at, c) })
	}
	return nil
}

// caller makes calls. It is a client of the library, or a proxy process that uses the library.
type caller interface {
	Do(ctx context.Context, r client.Request) (*client.Response, error)
}

// call makes one call and records its outcome.
func (b *workLedger) call(ctx context.Context, target caller, class fleet.Class, request workload.Request,
	at time.Time, c *CallStats) {
	body := "r" + strconv.Itoa(request.Number)
	if class.Write {
		body = "w" + strconv.Itoa(request.Number)
	}
	b.mu.Lock()
	b.work[body] = request.Work
	b.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, at.Add(time.Duration(class.Deadline*float64(time.Millisecond))))
	defer cancel()
	_, err := target.Do(ctx, client.Request{Class: class.Name, Subject: strconv.Itoa(request.Subject),
		Body: []byte(body), KB: request.KB, Rank: request.Rank})
	took := float64(time.Since(at)) / float64(time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	c.Calls++
	c.OfferedWorth += class.Worth
	var clientErr *client.Error
	switch {
	case err == nil:
		c.Served++
		if took <= class.Aim {
			c.InTime++
			c.EarnedWorth += class.Worth
		} else {
			c.EarnedWorth += class.Worth * class.LateWorth
		}
	case errors.As(err, &clientErr):
		c.FailureReasons[clientErr.Reason.String()]++
		if class.Write && !clientErr.MayHaveRun() && b.runs[body] > 0 {
			c.FalseNotRun = append(c.FalseNotRun, fmt.Sprintf("%s ran, and %v", body, err))
		}
	default:
		var proxyErr *proxyError
		if !errors.As(err, &proxyErr) {
			c.FailureReasons["other"]++
			return
		}
		c.FailureReasons[proxyErr.reason]++
		if class.Write && proxyErr.status == http.StatusServiceUnavailable && b.runs[body] > 0 {
			c.FalseNotRun = append(c.FalseNotRun, fmt.Sprintf("%s ran, and the proxy said %s", body, proxyErr.reason))
		}
	}
}

// WriteCallStats writes the outcomes of calls as text.
func WriteCallStats(w io.Writer, c CallStats) {
	tries := ""
	if c.Tries > 0 { // proxies do not report their tries
		tries = fmt.Sprintf("%.3f tries a call, ", float64(c.Tries)/float64(max(1, c.Calls)))
	}
	fmt.Fprintf(w, "%d calls, %d served, %d in time, worth in time %.3f, %snone: %v\n", c.Calls, c.Served, c.InTime,
		c.EarnedWorth/max(1e-9, c.OfferedWorth), tries, c.FailureReasons)
	fmt.Fprintf(w, "writes: %d runs by the worker pools' book, %d ran twice, %d ran though they were told not to have; rules broken by nodes: %d\n",
		c.WriteRuns,
		len(c.DuplicateWrites), len(c.FalseNotRun), len(c.Violations))
	for _, text := range append(append(c.DuplicateWrites, c.FalseNotRun...), c.Violations...) {
		fmt.Fprintln(w, "   ", text)
	}
}
