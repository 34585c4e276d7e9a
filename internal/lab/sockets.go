package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"whinrudder/internal/emu/callermodel"
	"whinrudder/internal/emu/workers"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/node"
	"whinrudder/internal/peer"
	"whinrudder/internal/settings"
	"whinrudder/internal/vtime"
)

// SocketRun is how one successor fared on loopback sockets.
type SocketRun struct {
	Variant      string
	TotalWorth   float64   // worth asked for
	OnTimeWorth  float64   // and answered in time
	OnTimeShares []float64 // share of the worth of each second that was answered in time
}

// RunWarmUpOnSockets plays the start of a day of the lab in real time on loopback sockets, for a cold successor and one that is
// fed by a donor there: the real node, HTTP, the link to the worker pool and the peer protocol, before the model of the
// worker pool. It takes as long as it says, and both run side by side.
func RunWarmUpOnSockets(seed uint64, load LoadRange, seconds int) ([]SocketRun, error) {
	if seconds < 1 || seconds > 60 || !(load.Low > 0 && load.Low <= load.High && load.High <= 1.5) {
		return nil, fmt.Errorf("lab: want 1 to 60 seconds and 0 < low <= high <= 1.5, got %d, %v", seconds, load)
	}
	d := &warmDay{seed: seed}
	rng := stream(seed, "machine")
	d.machine = machine(rng, rng.Float64() < 0.5)
	d.traffic = drawTraffic(stream(seed, "traffic"))
	d.load = between(stream(seed, "load"), load.Low, load.High)
	day := d.traffic.arrivals(stream(seed, "arrivals0"), d.machine, d.load, 0, float64(seconds)*1000)
	report, err := d.donor("fresh", d.machine.Speed < 0.9, d.traffic)
	if err != nil {
		return nil, err
	}
	out := []SocketRun{{Variant: "cold"}, {Variant: "fed"}}
	errs := make([]error, len(out))
	var wait sync.WaitGroup
	for i := range out {
		wait.Go(func() {
			s := socketRun{machine: d.machine, traffic: d.traffic, day: day}
			if i == 1 {
				s.report = &report
			}
			served, err := s.play(float64(seconds) * 1000)
			errs[i] = err
			sums := make([][2]float64, seconds)
			for n, a := range day {
				w := classes[a.class].worth
				out[i].TotalWorth += w
				sums[int(a.at/1000)][0] += w
				if served != nil && served[n] {
					out[i].OnTimeWorth += w
					sums[int(a.at/1000)][1] += w
				}
			}
			for _, s := range sums {
				out[i].OnTimeShares = append(out[i].OnTimeShares, s[1]/math.Max(1, s[0]))
			}
		})
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// socketRun is one successor between its stand-ins.
type socketRun struct {
	machine workers.Params
	traffic traffic
	day     []arrival
	report  *knowledge.Report

	start  time.Time
	mu     sync.Mutex // of all below
	k      vtime.Kernel
	pool   *workers.Pool
	link   net.Conn
	serial int
	read   chan int // requests that the pool has read
	credit []callermodel.Credit
	served []bool
}

func (s *socketRun) now() float64 { return float64(time.Since(s.start)) / 1e6 }

// play plays the day and returns which arrivals were answered in time.
func (s *socketRun) play(length float64) ([]bool, error) {
	poolL, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer poolL.Close()
	reports, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer reports.Close()
	cfg := settings.Config{Name: "successor", Listen: "127.0.0.1:0", Pool: poolL.Addr().String(),
		Announce: reports.LocalAddr().String(), Seed: 1, StopMs: 1000, Cores: 1, MemoryMB: 192, Sockets: 512,
		Settings: settings.Settings{Policy: nodeSettings(s.machine.ColdSpeedRatio < 1), ClassNames: Classes(),
			GaugeNames: []string{"cpu_busy", "runnable", "mem_used", "sockets"}}}
	var op settings.Operator
	if s.report != nil {
		donor, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer donor.Close()
		go serveReport(donor, *s.report)
		op.Peer = settings.PeerConfig{Donors: []string{donor.Addr().String()}, Plaintext: true, FetchTimeoutMs: 5000, HalfLifeMs: 180e3,
			MaxAgeMs: 900e3}
	}
	n, err := node.New(cfg, op, io.Discard)
	if err != nil {
		return nil, err
	}
	if err := n.Listen(); err != nil {
		return nil, err
	}
	s.read, s.served, s.credit = make(chan int, len(s.day)), make([]bool, len(s.day)), make([]callermodel.Credit, callers)
	for i := range s.credit {
		s.credit[i].Value = -1
	}
	s.start = time.Now()
	s.pool = workers.New(&s.k, s.machine, s.happened)
	go s.serveLink(poolL)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		n.Run(ctx, make(chan os.Signal), make(chan os.Signal), nil)
		close(ended)
	}()
	s.callers("http://"+n.Addr("http"), length)
	cancel()
	<-ended
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, nil
}

// callers sends the arrivals as far as credit goes, moves the pool a millisecond at a time, and waits for the answers.
func (s *socketRun) callers(url string, length float64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	var wait sync.WaitGroup
	next := 0
	for now := s.now(); now < length+3000; now = s.now() {
		s.mu.Lock()
		for ; next < len(s.day) && s.day[next].at <= now; next++ {
			a := s.day[next]
			c := &s.credit[a.caller]
			if s.traffic.heeds[a.caller] && !c.Allows(now, heardFor, a.coin) {
				continue
			}
			c.Outstanding++
			s.k.Run(a.at)
			s.pool.Enqueue(next, a.work)
		}
		s.k.Run(now)
		s.mu.Unlock()
		for len(s.read) > 0 {
			i := <-s.read
			wait.Go(func() { s.send(client, url, i) })
		}
		<-tick.C
	}
	wait.Wait()
}

// happened tells the node, or lets a caller's request reach it. It is called under the lock.
func (s *socketRun) happened(e workers.Event) {
	how := map[workers.Kind]string{workers.Done: "OK", workers.Stopped: "STOPPED"}[e.Kind]
	if e.Kind == workers.Read {
		s.read <- e.ID
	} else if how != "" && s.link != nil {
		s.serial++
		fmt.Fprintf(s.link, `{"msg":"finished","serial":%d,"call":"%s","how":%q,"duration":%.3f,"blob":"b2s="}`+"\n", s.serial,
			name(e.ID), how, e.Took)
	}
}

// send sends one request and notes whether its answer came in time.
func (s *socketRun) send(client *http.Client, url string, i int) {
	a := s.day[i]
	req, err := http.NewRequest("POST", url+"/rpc/"+classes[a.class].name, bytes.NewReader(nil))
	if err != nil {
		return
	}
	came := float64(s.start.UnixNano())/1e6 + a.at
	for k, v := range map[string]string{"Req-Id": name(i), "Req-Time": fmt.Sprintf("%.0f", came), "Req-From": fmt.Sprint(a.caller),
		"Req-Wait-Ms": fmt.Sprintf("%.0f", a.wait), "Req-Kb": fmt.Sprintf("%.1f", a.kb), "Req-Rank": fmt.Sprintf("%.4f", a.rank)} {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.credit[a.caller]
	c.Outstanding--
	if err != nil {
		return
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if v, err := strconv.ParseFloat(resp.Header.Get("Srv-Load"), 64); err == nil {
		c.Value, c.UpdatedAt = v, s.now()
	}
	s.served[i] = resp.StatusCode == 200 && s.now() <= a.at+classes[a.class].aim
}

// serveLink is the worker pool's side of the link: its work is the model's.
func (s *socketRun) serveLink(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.link = c
		s.mu.Unlock()
		for r := bufio.NewScanner(c); r.Scan(); {
			v, err := fastjson.ParseBytes(r.Bytes())
			if err != nil {
				break
			}
			s.mu.Lock()
			s.command(c, v)
			s.mu.Unlock()
		}
		c.Close()
	}
}

func (s *socketRun) command(c net.Conn, v *fastjson.Value) {
	call := string(v.GetStringBytes("call"))
	switch string(v.GetStringBytes("msg")) {
	case "bind":
		how := "WARM"
		if s.machine.ColdSpeedRatio < 1 {
			how = "COLD"
		}
		fmt.Fprintf(c, `{"msg":"bound","how":%q,"duration":%.0f}`+"\n", how, s.now())
	case "spawn":
		if _, err := base64.StdEncoding.DecodeString(string(v.GetStringBytes("blob"))); err == nil {
			s.pool.Start(number(call), s.day[number(call)].work)
		}
	case "suspend":
		s.pool.Stop(number(call))
	case "poll":
		fmt.Fprintf(c, `{"msg":"polled","cookie":%q,"stats":[%.4f,%d,0.1,%d]}`+"\n", v.GetStringBytes("cookie"), s.pool.Utilization(),
			s.pool.Runnable(), callers)
	}
}

// serveReport is a donor that gives one report to all.
func serveReport(l net.Listener, r knowledge.Report) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			c.SetDeadline(time.Now().Add(5 * time.Second))
			g := peer.NewSourceConn(0)
			buf := make([]byte, 4096)
			for {
				n, err := c.Read(buf)
				step, out, bad := g.Feed(buf[:n])
				switch step {
				case peer.StepSendWelcome:
					_, out, bad = g.SendWelcome(peer.SummaryOf(r))
				case peer.StepSendReport:
					_, out, bad = g.SendReport(r)
				}
				c.Write(out)
				if err != nil || bad != nil || step == peer.StepSendReport {
					return
				}
			}
		}()
	}
}

// WriteSockets writes the runs as people read them.
func WriteSockets(w io.Writer, all []SocketRun) {
	fmt.Fprintf(w, "%-6s %8s  share of the worth answered in time, second by second\n", "", "whole")
	for _, r := range all {
		fmt.Fprintf(w, "%-6s %8.3f ", r.Variant, r.OnTimeWorth/math.Max(1, r.TotalWorth))
		for _, s := range r.OnTimeShares {
			fmt.Fprintf(w, " %.2f", s)
		}
		fmt.Fprintln(w)
	}
}
