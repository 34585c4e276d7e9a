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

// logNormal returns the log-normal distribution with the given mean and coefficient of variation.
func logNormal(mean, cv float64) distuv.LogNormal {
	v := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: math.Log(mean) - v/2, Sigma: math.Sqrt(v)}
}

// simNode is a node in virtual time: the core with a modelled worker pool and modelled callers.
type simNode struct {
	core         *core.Core
	kernel       vtime.Kernel
	pool         *workers.Pool
	arrivals     []arrival
	nextArrival  int         // index of the next arrival
	arrivalTimer vtime.Timer // fires at the next arrival
	stepTimer    vtime.Timer // fires when the core's next step is due
	stepping     bool        // a step is in progress; inputs that come meanwhile are queued
	honorsCredit []bool      // by caller: whether it honors the credit
	inputs       []core.Input
	credits      []callermodel.Credit // by caller
	logLines     []string             // log of the core
	served       []float64            // by arrival: when it was answered on time with a result, 0 if it was not
	poolCrashed  bool                 // the worker pool has crashed
}

// replySink identifies the arrival and the caller of an answer. The simNode handles the Reply output itself.
type replySink struct{ arrival, caller int }

func (replySink) Deliver(core.Answer) {}

// newSimNode returns a node that starts at the time now.
func newSimNode(p workers.Params, t traffic, arrivals []arrival, now float64) (*simNode, error) {
	cold := p.ColdSpeedRatio < 1
	c, err := core.New(nodeSettings(cold), 1)
	if err != nil {
		return nil, err
	}
	node := &simNode{core: c, arrivals: arrivals, honorsCredit: t.honorsCredit,
		credits: make([]callermodel.Credit, callerCount), served: make([]float64, len(arrivals))}
	node.kernel.Run(now)
	node.pool = workers.New(&node.kernel, p, node.handlePoolEvent)
	for i := range node.credits {
		node.credits[i].Value = -1
	}
	node.stepTimer.Do = func(float64) { node.step() }
	node.arrivalTimer.Do = func(float64) {
		node.send(node.nextArrival)
		node.nextArrival++
		node.scheduleArrival()
	}
	node.scheduleArrival()
	node.submit(core.PoolReady{Cold: cold}, core.LinkSynced{})
	return node, nil
}

// run advances the virtual time to the given time.
func (node *simNode) run(to float64) { node.kernel.Run(to) }

// scheduleArrival sets the timer for the next arrival.
func (node *simNode) scheduleArrival() {
	if node.nextArrival < len(node.arrivals) {
		node.kernel.Set(&node.arrivalTimer, node.arrivals[node.nextArrival].at)
	}
}

// send sends an arrival's request to the node if the caller's credit allows it.
func (node *simNode) send(i int) {
	a := &node.arrivals[i]
	c := &node.credits[a.caller]
	if node.poolCrashed || node.honorsCredit[a.caller] && !c.Allows(node.kernel.Now(), creditTTLMs, a.coin) {
		return // the caller chooses another node
	}
	c.Outstanding++
	node.pool.Enqueue(i, a.work)
}

// submit queues inputs for the core and runs it.
func (node *simNode) submit(in ...core.Input) {
	node.inputs = append(node.inputs, in...)
	node.step()
}

// step runs the core until it has no more inputs and nothing is due, and sets the timer of its next step.
func (node *simNode) step() {
	if node.stepping || node.poolCrashed {
		return
	}
	node.stepping = true
	now := node.kernel.Now()
	for len(node.inputs) > 0 || node.core.Next() > 0 && node.core.Next() <= now {
		in := node.inputs
		node.inputs = nil
		for _, o := range node.core.Step(now, in) {
			node.execute(o)
		}
	}
	node.stepping = false
	if next := node.core.Next(); next > 0 {
		node.kernel.Set(&node.stepTimer, next)
	}
}

// handlePoolEvent passes an event of the worker pool on to the core.
func (node *simNode) handlePoolEvent(e workers.Event) {
	switch e.Kind {
	case workers.Read:
		a := node.arrivals[e.ID]
		node.submit(core.RequestArrived{Request: &core.Request{ID: requestID(e.ID), Class: a.class, Caller: a.caller,
			ArrivedAt: a.at, Due: a.at + a.wait, KB: a.kb, Rank: a.rank, ReplyTo: replySink{e.ID, a.caller}}})
	case workers.Done:
		node.submit(core.RunFinished{ID: requestID(e.ID), End: core.RunOK, Latency: e.Took})
	case workers.Stopped:
		node.submit(core.RunFinished{ID: requestID(e.ID), End: core.RunStopped, Latency: e.Took})
	case workers.Crashed:
		node.poolCrashed = true
		node.kernel.Cancel(&node.stepTimer)
	}
}

// execute carries out an output of the core.
func (node *simNode) execute(o core.Output) {
	switch o := o.(type) {
	case core.Reply:
		s := o.To.(replySink)
		c, a := &node.credits[s.caller], node.arrivals[s.arrival]
		c.Outstanding--
		if o.Credit >= 0 {
			c.Value, c.UpdatedAt = o.Credit, node.kernel.Now()
		}
		if o.Outcome == core.Served && node.kernel.Now() <= a.at+classes[a.class].aimMs {
			node.served[s.arrival] = node.kernel.Now()
		}
	case core.Spawn:
		n := arrivalIndex(o.ID)
		node.pool.Start(n, node.arrivals[n].work)
	case core.Suspend:
		node.pool.Stop(arrivalIndex(o.ID))
	case core.Poll:
		node.kernel.After(gaugeDelayMs, func(float64) {
			node.submit(core.GaugesRead{Gauges: whinrudder.Gauges{CPU: node.pool.Utilization(),
				Runnable: float64(node.pool.Runnable()), Memory: 0.1, Conns: callerCount}})
		})
	case core.LogEvent:
		node.logLines = append(node.logLines,
			string(eventlog.AppendText(nil, time.UnixMilli(int64(node.kernel.Now())), o.Event, o.Pairs)))
	}
}

// requestID returns the request ID of an arrival.
func requestID(n int) string { return fmt.Sprintf("%016x", n+1) }

// arrivalIndex returns the index of the arrival with a request ID.
func arrivalIndex(id string) (n int) {
	fmt.Sscanf(id, "%x", &n)
	return n - 1
}
