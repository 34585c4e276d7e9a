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

// SocketRun is the result of one successor on loopback sockets.
type SocketRun struct {
	Variant      string
	TotalWorth   float64   // worth of all requests
	OnTimeWorth  float64   // worth of the requests that were answered on time
	OnTimeShares []float64 // by second of arrival: share of the worth that was answered on time
}

// RunWarmUpOnSockets plays the first seconds of a day in real time on loopback sockets, for a cold successor and for
// one that fetches a donor's report. It uses the real node with HTTP, the link to the worker pool and the peer
// protocol; the worker pool is modelled and the donor is a fake. Both successors run at the same time.
func RunWarmUpOnSockets(seed uint64, load LoadRange, seconds int) ([]SocketRun, error) {
	if seconds < 1 || seconds > 60 || !(load.Low > 0 && load.Low <= load.High && load.High <= 1.5) {
		return nil, fmt.Errorf("lab: got %d seconds and load range %v, need 1 to 60 seconds and 0 < low <= high <= 1.5",
			seconds, load)
	}
	d := &warmDay{seed: seed}
	rng := stream(seed, "machine")
	d.machine = drawMachine(rng, rng.Float64() < 0.5)
	d.traffic = drawTraffic(stream(seed, "traffic"))
	d.load = uniform(stream(seed, "load"), load.Low, load.High)
	day := d.traffic.drawArrivals(stream(seed, "arrivals0"), d.machine, d.load, 0, float64(seconds)*1000)
	report, err := d.playDonor("fresh", d.machine.Speed < 0.9, d.traffic)
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

// socketRun is one successor with its fake callers, worker pool and donor.
type socketRun struct {
	machine workers.Params
	traffic traffic
	day     []arrival
	report  *knowledge.Report // the donor's report; nil: no donor

	start       time.Time
	mu          sync.Mutex // guards the fields below
	kernel      vtime.Kernel
	pool        *workers.Pool
	link        net.Conn             // the node's link to the worker pool; nil until it connects
	serial      int                  // of the last message finished
	readIndexes chan int             // indexes of the requests that the pool has read
	credits     []callermodel.Credit // by caller
	served      []bool               // by arrival: answered on time
}

// now returns the milliseconds since the start of the run.
func (s *socketRun) now() float64 { return float64(time.Since(s.start)) / 1e6 }

// play plays the day and returns which arrivals were answered on time.
func (s *socketRun) play(length float64) ([]bool, error) {
	poolListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer poolListener.Close()
	announceConn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer announceConn.Close()
	cfg := settings.Config{Name: "successor", Listen: "127.0.0.1:0", Pool: poolListener.Addr().String(),
		Announce: announceConn.LocalAddr().String(), Seed: 1, StopMs: 1000, Cores: 1, MemoryMB: 192, Sockets: 512,
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
		op.Peer = settings.PeerConfig{Donors: []string{donor.Addr().String()}, Plaintext: true, FetchTimeoutMs: 5000,
			HalfLifeMs: 180e3, MaxAgeMs: 900e3}
	}
	n, err := node.New(cfg, op, io.Discard)
	if err != nil {
		return nil, err
	}
	if err := n.Listen(); err != nil {
		return nil, err
	}
	s.readIndexes, s.served, s.credits = make(chan int, len(s.day)), make([]bool, len(s.day)),
		make([]callermodel.Credit, callerCount)
	for i := range s.credits {
		s.credits[i].Value = -1
	}
	s.start = time.Now()
	s.pool = workers.New(&s.kernel, s.machine, s.handlePoolEvent)
	go s.servePoolLink(poolListener)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		n.Run(ctx, make(chan os.Signal), make(chan os.Signal), nil)
		close(ended)
	}()
	s.runCallers("http://"+n.Addr("http"), length)
	cancel()
	<-ended
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, nil
}

// runCallers sends the arrivals that the credit allows, advances the pool's model every millisecond, and waits for the
// answers.
func (s *socketRun) runCallers(url string, length float64) {
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
			c := &s.credits[a.caller]
			if s.traffic.honorsCredit[a.caller] && !c.Allows(now, creditTTLMs, a.coin) {
				continue
			}
			c.Outstanding++
			s.kernel.Run(a.at)
			s.pool.Enqueue(next, a.work)
		}
		s.kernel.Run(now)
		s.mu.Unlock()
		for len(s.readIndexes) > 0 {
			i := <-s.readIndexes
			wait.Go(func() { s.send(client, url, i) })
		}
		<-tick.C
	}
	wait.Wait()
}

// handlePoolEvent handles an event of the worker pool: it reports a finished run to the node, or queues a request that
// was read for sending. The caller holds mu.
func (s *socketRun) handlePoolEvent(e workers.Event) {
	how := map[workers.Kind]string{workers.Done: "OK", workers.Stopped: "STOPPED"}[e.Kind]
	if e.Kind == workers.Read {
		s.readIndexes <- e.ID
	} else if how != "" && s.link != nil {
		s.serial++
		fmt.Fprintf(s.link, `{"msg":"finished","serial":%d,"call":"%s","how":%q,"duration":%.3f,"blob":"b2s="}`+"\n", s.serial,
			requestID(e.ID), how, e.Took)
	}
}

// send sends one request and records whether its answer came on time.
func (s *socketRun) send(client *http.Client, url string, i int) {
	a := s.day[i]
	req, err := http.NewRequest("POST", url+"/rpc/"+classes[a.class].name, bytes.NewReader(nil))
	if err != nil {
		return
	}
	arrivedAt := float64(s.start.UnixNano())/1e6 + a.at
	for k, v := range map[string]string{"Req-Id": requestID(i), "Req-Time": fmt.Sprintf("%.0f", arrivedAt), "Req-From": fmt.Sprint(a.caller),
		"Req-Wait-Ms": fmt.Sprintf("%.0f", a.wait), "Req-Kb": fmt.Sprintf("%.1f", a.kb), "Req-Rank": fmt.Sprintf("%.4f", a.rank)} {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.credits[a.caller]
	c.Outstanding--
	if err != nil {
		return
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if v, err := strconv.ParseFloat(resp.Header.Get("Srv-Load"), 64); err == nil {
		c.Value, c.UpdatedAt = v, s.now()
	}
	s.served[i] = resp.StatusCode == 200 && s.now() <= a.at+classes[a.class].aimMs
}

// servePoolLink serves the worker pool's side of the link. The pool's model decides when runs finish.
func (s *socketRun) servePoolLink(l net.Listener) {
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
			s.handleCommand(c, v)
			s.mu.Unlock()
		}
		c.Close()
	}
}

// handleCommand carries out a message of the node to the worker pool. The caller holds mu.
func (s *socketRun) handleCommand(c net.Conn, v *fastjson.Value) {
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
			s.pool.Start(arrivalIndex(call), s.day[arrivalIndex(call)].work)
		}
	case "suspend":
		s.pool.Stop(arrivalIndex(call))
	case "poll":
		fmt.Fprintf(c, `{"msg":"polled","cookie":%q,"stats":[%.4f,%d,0.1,%d]}`+"\n", v.GetStringBytes("cookie"), s.pool.Utilization(),
			s.pool.Runnable(), callerCount)
	}
}

// serveReport is a fake donor that sends the same report to every peer.
func serveReport(l net.Listener, r knowledge.Report) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			c.SetDeadline(time.Now().Add(5 * time.Second))
			source := peer.NewSourceConn(0)
			buf := make([]byte, 4096)
			for {
				n, err := c.Read(buf)
				step, out, protocolErr := source.Feed(buf[:n])
				switch step {
				case peer.StepSendWelcome:
					_, out, protocolErr = source.SendWelcome(peer.SummaryOf(r))
				case peer.StepSendReport:
					_, out, protocolErr = source.SendReport(r)
				}
				c.Write(out)
				if err != nil || protocolErr != nil || step == peer.StepSendReport {
					return
				}
			}
		}()
	}
}

// WriteSockets writes the runs as a table.
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
