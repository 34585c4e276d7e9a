package lab

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/emu/callermodel"
	"whinrudder/internal/emu/workers"
	"whinrudder/internal/eventlog"
	"whinrudder/internal/vtime"
)

func xxhash64(s string) uint64 { return xxhash.Sum64String(s) }

// logNormal returns the distribution of a mean and a coefficient of variation.
func logNormal(mean, cv float64) distuv.LogNormal {
	v := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: math.Log(mean) - v/2, Sigma: math.Sqrt(v)}
}

// host is one node in virtual time: the core before a modelled pool and modelled callers.
type host struct {
	core     *core.Core
	k        vtime.Kernel
	pool     *workers.Pool
	arrivals []arrival
	next     int // of the arrivals
	arrive   vtime.Timer
	tick     vtime.Timer // the core's
	stepping bool
	heeds    []bool
	in       []core.Input
	credit   []callermodel.Credit // by caller
	lines    []string             // of the core's log that tell of a prior or a fault
	// By arrival: when it was answered in time with a result, 0 if never.
	served []float64
	fell   bool
}

type sink struct{ n, caller int }

func (sink) Deliver(core.Answer) {}

// newHost returns a node that starts now.
func newHost(p workers.Params, t traffic, arrivals []arrival, now float64) (*host, error) {
	cold := p.ColdSpeedRatio < 1
	c, err := core.New(nodeSettings(cold), 1)
	if err != nil {
		return nil, err
	}
	h := &host{core: c, arrivals: arrivals, heeds: t.heeds, credit: make([]callermodel.Credit, callers), served: make([]float64, len(arrivals))}
	h.k.Run(now)
	h.pool = workers.New(&h.k, p, h.happened)
	for i := range h.credit {
		h.credit[i].Value = -1
	}
	h.tick.Do = func(float64) { h.step() }
	h.arrive.Do = func(float64) {
		h.send(h.next)
		h.next++
		h.await()
	}
	h.await()
	h.tell(core.PoolReady{Cold: cold}, core.LinkSynced{})
	return h, nil
}

// run plays until a time, or until the worker pool has fallen.
func (h *host) run(to float64) { h.k.Run(to) }

// await sets the timer of the next arrival.
func (h *host) await() {
	if h.next < len(h.arrivals) {
		h.k.Set(&h.arrive, h.arrivals[h.next].at)
	}
}

// send lets a caller send what it wants to send, as far as its credit goes.
func (h *host) send(n int) {
	a := &h.arrivals[n]
	c := &h.credit[a.caller]
	if h.fell || h.heeds[a.caller] && !c.Allows(h.k.Now(), heardFor, a.coin) {
		return // it goes elsewhere
	}
	c.Outstanding++
	h.pool.Enqueue(n, a.work)
}

// tell hands something to the core.
func (h *host) tell(in ...core.Input) {
	h.in = append(h.in, in...)
	h.step()
}

// step lets the core take what there is.
func (h *host) step() {
	if h.stepping || h.fell {
		return
	}
	h.stepping = true
	now := h.k.Now()
	for len(h.in) > 0 || h.core.Next() > 0 && h.core.Next() <= now {
		in := h.in
		h.in = nil
		for _, o := range h.core.Step(now, in) {
			h.carry(o)
		}
	}
	h.stepping = false
	if next := h.core.Next(); next > 0 {
		h.k.Set(&h.tick, next)
	}
}

func (h *host) happened(e workers.Event) {
	switch e.Kind {
	case workers.Read:
		a := h.arrivals[e.ID]
		h.tell(core.RequestArrived{Request: &core.Request{ID: name(e.ID), Class: a.class, Caller: a.caller,
			ArrivedAt: a.at, Due: a.at + a.wait, KB: a.kb, Rank: a.rank, ReplyTo: sink{e.ID, a.caller}}})
	case workers.Done:
		h.tell(core.RunFinished{ID: name(e.ID), End: core.RunOK, Latency: e.Took})
	case workers.Stopped:
		h.tell(core.RunFinished{ID: name(e.ID), End: core.RunStopped, Latency: e.Took})
	case workers.Crashed:
		h.fell = true
		h.k.Cancel(&h.tick)
	}
}

// carry does what the core wants of its drivers.
func (h *host) carry(o core.Output) {
	switch o := o.(type) {
	case core.Reply:
		s := o.To.(sink)
		c, a := &h.credit[s.caller], h.arrivals[s.n]
		c.Outstanding--
		if o.Credit >= 0 {
			c.Value, c.UpdatedAt = o.Credit, h.k.Now()
		}
		if o.Outcome == core.Served && h.k.Now() <= a.at+classes[a.class].aim {
			h.served[s.n] = h.k.Now()
		}
	case core.Spawn:
		n := number(o.ID)
		h.pool.Start(n, h.arrivals[n].work)
	case core.Suspend:
		h.pool.Stop(number(o.ID))
	case core.Poll:
		h.k.After(gaugeAfter, func(float64) {
			h.tell(core.GaugesRead{Gauges: whinrudder.Gauges{CPU: h.pool.Utilization(), Runnable: float64(h.pool.Runnable()), Memory: 0.1, Conns: callers}})
		})
	case core.LogEvent:
		h.lines = append(h.lines, string(eventlog.AppendText(nil, time.UnixMilli(int64(h.k.Now())), o.Event, o.Pairs)))
	}
}

func name(n int) string { return fmt.Sprintf("%016x", n+1) }

func number(id string) (n int) {
	fmt.Sscanf(id, "%x", &n)
	return n - 1
}
