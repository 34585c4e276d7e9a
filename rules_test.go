package whinrudder

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// host plays a server around a Policy: it carries out actions, makes up legal events by chance and checks the
// four rules on every action.
type host struct {
	t        *testing.T
	s        Settings
	p        *Policy
	rng      *rand.Rand
	now      float64
	n        int
	reqs     map[RequestID]*try
	order    []*try
	wakes    []float64
	ranKeys  map[string]float64 // arrival of the try that ran
	keyIDs   map[string]*try    // try that has the entry
	noticeAt float64
	stopAt   float64
	seen     func(Action) // is told of each action, if it is not nil
}

type try struct {
	Arrival
	arrived, due  float64
	answered      bool
	gone          bool
	ran           bool
	running, over bool
	atCall, out   bool
	unproven      bool // a call was made that may have taken effect
	sharing       bool
	stopped       bool
	keptTo        float64
}

func (h *host) memory() (kb float64) {
	for _, q := range h.order {
		if !q.over {
			if q.running || q.atCall || q.out {
				kb += q.MemoryKB * h.s.RunFactor
			} else {
				kb += q.MemoryKB
			}
		}
		if q.keptTo > h.now {
			kb += h.s.EntryKB
		}
	}
	return kb
}

func (h *host) get(id RequestID) *try {
	q := h.reqs[id]
	if q == nil {
		h.t.Fatalf("%v: an action names %s, which was never read", h.now, id)
	}
	return q
}

func (h *host) answer(q *try, what string) {
	if q.answered {
		h.t.Fatalf("%v: second answer (%s) for %s", h.now, what, q.ID)
	}
	q.answered = true
	if !q.running && !q.out && !q.atCall {
		q.over = true
	}
}

func (h *host) step(events ...Event) {
	for _, a := range h.p.Step(h.now, events, nil) {
		if h.seen != nil {
			h.seen(a)
		}
		switch a := a.(type) {
		case Run:
			q := h.get(a.ID)
			sc := h.s.Classes[q.Class]
			switch {
			case q.over || q.running || q.answered:
				h.t.Fatalf("%v: %s is started but over or running", h.now, q.ID)
			case h.noticeAt > 0 && q.arrived > h.noticeAt+h.s.Rules.DrainGrace:
				h.t.Fatalf("%v: drain: %s arrived too late to run", h.now, q.ID)
			case q.ran && sc.Repeat != Safe:
				h.t.Fatalf("%v: duplicate: %s runs again", h.now, q.ID)
			}
			if sc.Repeat == Keyed {
				if at, ok := h.ranKeys[q.Key]; ok && q.arrived <= at+sc.Window {
					h.t.Fatalf("%v: duplicate: key %s runs again", h.now, q.Key)
				}
				h.ranKeys[q.Key] = q.arrived
			}
			q.ran, q.running = true, true
		case Refuse:
			q := h.get(a.ID)
			if q.ran && h.s.Classes[q.Class].Repeat != Safe {
				h.t.Fatalf("%v: %s is refused after it ran", h.now, q.ID)
			}
			if a.RetryAfter < 0 || a.RetryAfter > h.s.MaxRetryAfter {
				h.t.Fatalf("advice of %v", a.RetryAfter)
			}
			h.answer(q, "refuse")
		case Fail:
			q := h.get(a.ID)
			h.answer(q, "fail")
			if q.atCall {
				q.atCall, q.over = false, true
			}
		case Stop:
			if h.s.Halt == StopNone {
				h.t.Fatal("work is stopped where it can't be")
			}
			h.get(a.ID).stopped = true
		case Call:
			q := h.get(a.ID)
			if !q.atCall {
				h.t.Fatalf("%s is not at a call", q.ID)
			}
			if q.unproven && h.s.Classes[q.Class].Repeat != Safe {
				h.t.Fatalf("%v: duplicate: %s repeats a call that may have run", h.now, q.ID)
			}
			q.atCall, q.out = false, true
		case Skip:
			q := h.get(a.ID)
			if h.s.Classes[q.Class].SkipWorth <= 0 {
				h.t.Fatal("a call is skipped where nothing is left")
			}
			q.atCall, q.running = false, true
		case Keep:
			q := h.get(a.ID)
			q.keptTo = h.now + a.TTL
			h.keyIDs[q.Key] = q
		case Forget:
			h.get(a.ID).keptTo = 0
		case Reuse:
			q := h.get(a.ID)
			if q.RepeatOf == "" {
				h.t.Fatal("reuse without an original")
			}
			q.sharing = true
		case Advertise:
			if h.s.CreditMode == CreditNone || a.Credit < 0 {
				h.t.Fatalf("value %v said where %s", a.Credit, h.s.CreditMode)
			}
		case CloseIdle:
			if a.After < 10 || a.After > max(10, h.s.KeepAlive) {
				h.t.Fatalf("idle connections closed after %v", a.After)
			}
		case Wake:
			h.wakes = append(h.wakes, a.At)
		}
	}
	if kb := h.memory(); kb > h.s.Memory {
		h.t.Fatalf("%v: fall-over: %.0f KB of %.0f", h.now, kb, h.s.Memory)
	}
	on, w := 0, 1.0
	for _, q := range h.order {
		if q.running && !q.over {
			on++
		}
		if !q.answered && !q.gone && h.now > q.due+h.s.Rules.AnswerGrace {
			h.t.Fatalf("%v: lost: %s was due at %v", h.now, q.ID, q.due)
		}
	}
	if h.s.Cold {
		w = min(1, h.s.Rules.ColdFrom+(1-h.s.Rules.ColdFrom)*(h.now-1000)/h.s.Rules.RampTime)
	}
	if float64(on) > (1+(h.s.Rules.FallMultiple-1)*w)*float64(h.s.Cores) {
		h.t.Fatalf("%v: fall-over: %d on the cores", h.now, on)
	}
}

func (h *host) end(q *try, code Code) Event {
	q.running, q.out, q.atCall, q.over = false, false, false, true
	if code == OK || code == Error {
		q.answered = true
	}
	return Ended{ID: q.ID, Code: code, Latency: 10}
}

// events makes up what may happen in the tick.
func (h *host) events(rate float64) (out []Event) {
	for h.rng.Float64() < rate {
		h.n++
		q := &try{Arrival: Arrival{ID: id(h.n), Caller: h.rng.IntN(h.s.Callers), ReadDelay: h.rng.Float64() * 100,
			MemoryKB: 5 + 40*h.rng.Float64(), Class: h.rng.IntN(len(h.s.Classes)), WorkKnown: h.rng.IntN(2) == 0,
			Work: 400 * h.rng.Float64(), Tenant: h.rng.IntN(2)}}
		sc := h.s.Classes[q.Class]
		q.arrived = h.now - q.ReadDelay
		q.due = q.arrived + sc.Deadline
		if h.s.PassesDeadline {
			q.Due = h.now + h.rng.Float64()*sc.Deadline
			q.due = q.Due
		}
		if h.stopAt > 0 {
			q.due = min(q.due, h.stopAt)
		}
		q.due = max(q.due, h.now)
		if sc.Repeat == Keyed {
			q.Key = fmt.Sprint("k", h.rng.IntN(40))
			if o := h.keyIDs[q.Key]; o != nil && o.keptTo >= q.arrived && (!o.over || o.ran) {
				q.RepeatOf = o.ID
			}
		}
		h.reqs[q.ID] = q
		h.order = append(h.order, q)
		h.step(q.Arrival) // one by one: a repeat in the same instant sees what was kept
	}
	for _, q := range h.order {
		switch {
		case q.over:
		case q.sharing && h.rng.IntN(40) == 0:
			out = append(out, h.end(q, OK))
		case q.stopped && q.running:
			out = append(out, h.end(q, Cancelled))
		case q.running && h.rng.IntN(60) == 0:
			code := OK
			if h.rng.IntN(10) == 0 {
				code = Error
			}
			out = append(out, h.end(q, code))
		case q.running && h.s.Classes[q.Class].CallsDependency && h.rng.IntN(60) == 0:
			q.running, q.atCall = false, true
			out = append(out, AtCall{q.ID})
		case q.out && h.rng.IntN(10) == 0:
			code := []Code{OK, OK, Rejected, Timeout, Reset, ConnectFailed}[h.rng.IntN(6)]
			q.out, q.atCall, q.running = false, code != OK, code == OK
			q.unproven = q.unproven || code == Timeout || code == Reset
			out = append(out, Called{q.ID, code, 30})
		case !q.gone && h.s.ReportsCancellation && h.rng.IntN(300) == 0:
			q.gone = true
			q.over = !q.running && !q.out && !q.atCall
			out = append(out, Gone{q.ID})
		}
	}
	h.order = slices.DeleteFunc(h.order, func(q *try) bool {
		return q.over && q.keptTo <= h.now && (q.answered || q.gone)
	})
	rest := h.wakes[:0]
	for _, at := range h.wakes {
		if at <= h.now {
			g := Gauges{CPU: h.rng.Float64(), Runnable: 8 * h.rng.Float64()}
			switch h.rng.IntN(6) {
			case 0, 1:
				g.CPU = 1
			case 2:
				g = Gauges{CPU: -1}
			}
			out = append(out, Timer{Token: 1, Gauges: g}, Timer{Gauges: g})
		} else {
			rest = append(rest, at)
		}
	}
	h.wakes = rest
	return out
}

// drain plays the notice to leave and the time to the stop.
func (h *host) drain(rate float64) {
	h.noticeAt, h.stopAt = h.now, h.now+4000
	for _, q := range h.order {
		q.due = min(q.due, max(h.stopAt, h.now))
	}
	h.step(Notice{StopAt: h.stopAt})
	for h.now < h.stopAt-h.s.Tick {
		h.now += h.s.Tick
		h.step(h.events(rate)...)
	}
}

func TestRulesHoldOnAnyLegalEvents(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			s := settings()
			s.Halt = []StopMode{StopNone, StopAbort, StopPause}[seed%3]
			s.CreditMode = []CreditMode{CreditWindow, CreditThreshold, CreditShare, CreditNone}[seed%4]
			s.PassesDeadline, s.ReportsCancellation, s.Cold = seed%5 != 0, seed%7 != 0, seed%6 == 0
			s.WorthByWork = seed%2 == 0
			s.Memory = 2000 + 8000*rng.Float64()
			s.Classes = append(s.Classes, Class{Aim: 800, Deadline: 2000, Worth: 1, Repeat: Unsafe, CallsDependency: true},
				Class{Aim: 900, Deadline: 2500, Worth: 1, Repeat: Safe, CallsDependency: true, SkipWorth: 0.3})
			s.Classes[1].CallsDependency = true
			if seed%2 == 0 {
				s.Dependency, s.CallShare, s.CallShareWindow, s.CallLinger = DependencyShared, 2.5, 5000, 200
				s.CallShare = []float64{0, 0.05, 0.5, 2.5, 50}[seed/2%5]
				s.Tenants = []Tenant{{QuotaPerSecond: 20}, {}}
			}
			s.Cores = []int{1, 2, 4, 16, 64}[seed%5]
			s.Callers, s.Servers = []int{1, 3, 200, 2000}[seed%4], 1+int(seed%3)*150
			s.KeepAlive, s.HeardFor = []float64{0, 1000, 30000}[seed%3], []float64{1000, 0}[seed%2]
			p, err := New(s, seed)
			if err != nil {
				t.Fatal(err)
			}
			h := &host{t: t, s: s, p: p, rng: rng, now: 1000, reqs: map[RequestID]*try{},
				ranKeys: map[string]float64{}, keyIDs: map[string]*try{}}
			h.step()
			rate := 0.05 + 0.4*rng.Float64()
			for range 3000 {
				h.now += s.Tick
				h.step(h.events(rate)...)
			}
			h.drain(rate)
			if len(p.callers) > s.Callers || len(p.callers) != len(p.callersByID) {
				t.Fatalf("state grows: %d callers of %d", len(p.callers), s.Callers)
			}
			if v := p.credit(); math.IsNaN(v) || math.IsInf(v, 0) || math.IsNaN(p.limit+p.slowdown+p.effectiveCores+p.offeredLoad) {
				t.Fatalf("credit %v, limit %v", v, p.limit)
			}
			for _, q := range h.order {
				if !q.answered && !q.gone && q.arrived < h.stopAt-2*s.Tick {
					t.Fatalf("lost: %s has no answer when the server stops", q.ID)
				}
			}
		})
	}
}

// BenchmarkStep takes an arrival and its end on a server that heard of a thousand callers.
func BenchmarkStep(b *testing.B) {
	s := settings()
	s.Callers, s.KeepAlive = 1000, 30000
	p, err := New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	now, buf := 1000.0, []Action(nil)
	for n := 0; b.Loop(); n++ {
		now += 20
		a := arrival(n, 0, now)
		a.Caller = n % 1000
		buf = p.Step(now, []Event{a}, buf[:0])
		buf = p.Step(now, []Event{Ended{ID: a.ID, Code: OK}, gauges(0.5, 1)}, buf[:0])
	}
}
