package whinrudder

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// host simulates a server around a Policy: it carries out actions, generates random legal events and checks the
// four rules in every step: no request is lost without an answer, none takes effect twice, none that arrives too
// late after a Notice runs, and the server does not fall over from too much memory or too many running requests.
type host struct {
	t         *testing.T
	settings  Settings
	policy    *Policy
	rng       *rand.Rand
	now       float64
	lastID    int
	tries     map[RequestID]*try
	order     []*try             // in order of arrival; dropped when nothing can happen to them any more
	wakes     []float64          // times of the timers that the policy asked for
	keyRanAt  map[string]float64 // by Key, the arrival of the try that ran
	keyHolder map[string]*try    // by Key, the try that has the entry in the key table
	noticeAt  float64
	stopAt    float64
	onAction  func(Action) // if not nil, called with each action
}

// try is a request as the host sees it.
type try struct {
	Arrival
	arrived, due      float64 // due: when an answer is due at the latest
	answered          bool
	abandoned         bool // its caller gave up
	ran               bool
	running, finished bool
	atCall, calling   bool // waits for its call; its call was made
	mayHaveCalled     bool // a call was made that may have taken effect
	reusing           bool
	stopSent          bool
	keptUntil         float64 // end of its entry in the key table
}

// usedMemory returns the memory that all requests and key entries take.
func (h *host) usedMemory() (kb float64) {
	for _, q := range h.order {
		if !q.finished {
			if q.running || q.atCall || q.calling {
				kb += q.MemoryKB * h.settings.RunFactor
			} else {
				kb += q.MemoryKB
			}
		}
		if q.keptUntil > h.now {
			kb += h.settings.EntryKB
		}
	}
	return kb
}

// find returns the try with this ID and fails the test if there is none.
func (h *host) find(id RequestID) *try {
	q := h.tries[id]
	if q == nil {
		h.t.Fatalf("%v: an action names request %s, which never arrived", h.now, id)
	}
	return q
}

// recordAnswer notes the final answer of a try and fails the test on a second one.
func (h *host) recordAnswer(q *try, action string) {
	if q.answered {
		h.t.Fatalf("%v: second answer (%s) for %s", h.now, action, q.ID)
	}
	q.answered = true
	if !q.running && !q.calling && !q.atCall {
		q.finished = true
	}
}

// step passes events to the policy, carries out its actions and checks the rules.
func (h *host) step(events ...Event) {
	for _, a := range h.policy.Step(h.now, events, nil) {
		if h.onAction != nil {
			h.onAction(a)
		}
		switch a := a.(type) {
		case Run:
			q := h.find(a.ID)
			class := h.settings.Classes[q.Class]
			switch {
			case q.finished || q.running || q.answered:
				h.t.Fatalf("%v: %s is started although it is finished, running or answered", h.now, q.ID)
			case h.noticeAt > 0 && q.arrived > h.noticeAt+h.settings.Rules.DrainGrace:
				h.t.Fatalf("%v: drain: %s arrived too late to run", h.now, q.ID)
			case q.ran && class.Repeat != Safe:
				h.t.Fatalf("%v: duplicate: %s runs again", h.now, q.ID)
			}
			if class.Repeat == Keyed {
				if at, ok := h.keyRanAt[q.Key]; ok && q.arrived <= at+class.Window {
					h.t.Fatalf("%v: duplicate: key %s runs again", h.now, q.Key)
				}
				h.keyRanAt[q.Key] = q.arrived
			}
			q.ran, q.running = true, true
		case Refuse:
			q := h.find(a.ID)
			if q.ran && h.settings.Classes[q.Class].Repeat != Safe {
				h.t.Fatalf("%v: %s is refused although it ran", h.now, q.ID)
			}
			if a.RetryAfter < 0 || a.RetryAfter > h.settings.MaxRetryAfter {
				h.t.Fatalf("got RetryAfter %v, want 0 to %v", a.RetryAfter, h.settings.MaxRetryAfter)
			}
			h.recordAnswer(q, "refuse")
		case Fail:
			q := h.find(a.ID)
			h.recordAnswer(q, "fail")
			if q.atCall {
				q.atCall, q.finished = false, true
			}
		case Stop:
			if h.settings.Halt == StopNone {
				h.t.Fatal("got a Stop although Halt is none")
			}
			h.find(a.ID).stopSent = true
		case Call:
			q := h.find(a.ID)
			if !q.atCall {
				h.t.Fatalf("got a Call for %s, which does not wait for one", q.ID)
			}
			if q.mayHaveCalled && h.settings.Classes[q.Class].Repeat != Safe {
				h.t.Fatalf("%v: duplicate: %s repeats a call that may have taken effect", h.now, q.ID)
			}
			q.atCall, q.calling = false, true
		case Skip:
			q := h.find(a.ID)
			if h.settings.Classes[q.Class].SkipWorth <= 0 {
				h.t.Fatal("got a Skip although the answer would keep no worth")
			}
			q.atCall, q.running = false, true
		case Keep:
			q := h.find(a.ID)
			q.keptUntil = h.now + a.TTL
			h.keyHolder[q.Key] = q
		case Forget:
			h.find(a.ID).keptUntil = 0
		case Reuse:
			q := h.find(a.ID)
			if q.RepeatOf == "" {
				h.t.Fatal("got a Reuse for a request that repeats none")
			}
			q.reusing = true
		case Advertise:
			if h.settings.CreditMode == CreditNone || a.Credit < 0 {
				h.t.Fatalf("got credit %v in mode %s", a.Credit, h.settings.CreditMode)
			}
		case CloseIdle:
			if a.After < 10 || a.After > max(10, h.settings.KeepAlive) {
				h.t.Fatalf("got an idle timeout of %v, want 10 to %v", a.After, max(10, h.settings.KeepAlive))
			}
		case Wake:
			h.wakes = append(h.wakes, a.At)
		}
	}
	if kb := h.usedMemory(); kb > h.settings.Memory {
		h.t.Fatalf("%v: fall-over: %.0f KB used of %.0f", h.now, kb, h.settings.Memory)
	}
	running, warmupRatio := 0, 1.0
	for _, q := range h.order {
		if q.running && !q.finished {
			running++
		}
		if !q.answered && !q.abandoned && h.now > q.due+h.settings.Rules.AnswerGrace {
			h.t.Fatalf("%v: lost: %s was due at %v and has no answer", h.now, q.ID, q.due)
		}
	}
	if h.settings.Cold {
		warmupRatio = min(1, h.settings.Rules.ColdFrom+
			(1-h.settings.Rules.ColdFrom)*(h.now-1000)/h.settings.Rules.RampTime)
	}
	if float64(running) > (1+(h.settings.Rules.FallMultiple-1)*warmupRatio)*float64(h.settings.Cores) {
		h.t.Fatalf("%v: fall-over: %d requests running", h.now, running)
	}
}

// endTry ends a run or a reuse and returns the event.
func (h *host) endTry(q *try, code Code) Event {
	q.running, q.calling, q.atCall, q.finished = false, false, false, true
	if code == OK || code == Error {
		q.answered = true
	}
	return Ended{ID: q.ID, Code: code, Latency: 10}
}

// randomEvents returns random legal events of one tick. Arrivals are passed to the policy at once.
func (h *host) randomEvents(rate float64) (events []Event) {
	for h.rng.Float64() < rate {
		h.lastID++
		q := &try{Arrival: Arrival{ID: requestID(h.lastID), Caller: h.rng.IntN(h.settings.Callers),
			ReadDelay: h.rng.Float64() * 100,
			MemoryKB:  5 + 40*h.rng.Float64(), Class: h.rng.IntN(len(h.settings.Classes)),
			WorkKnown: h.rng.IntN(2) == 0,
			Work:      400 * h.rng.Float64(), Tenant: h.rng.IntN(2)}}
		class := h.settings.Classes[q.Class]
		q.arrived = h.now - q.ReadDelay
		q.due = q.arrived + class.Deadline
		if h.settings.PassesDeadline {
			q.Due = h.now + h.rng.Float64()*class.Deadline
			q.due = q.Due
		}
		if h.stopAt > 0 {
			q.due = min(q.due, h.stopAt)
		}
		q.due = max(q.due, h.now)
		if class.Repeat == Keyed {
			q.Key = fmt.Sprint("k", h.rng.IntN(40))
			if original := h.keyHolder[q.Key]; original != nil && original.keptUntil >= q.arrived &&
				(!original.finished || original.ran) {
				q.RepeatOf = original.ID
			}
		}
		h.tries[q.ID] = q
		h.order = append(h.order, q)
		h.step(q.Arrival) // one by one, so that a repeat in the same instant sees the kept request
	}
	for _, q := range h.order {
		switch {
		case q.finished:
		case q.reusing && h.rng.IntN(40) == 0:
			events = append(events, h.endTry(q, OK))
		case q.stopSent && q.running:
			events = append(events, h.endTry(q, Cancelled))
		case q.running && h.rng.IntN(60) == 0:
			code := OK
			if h.rng.IntN(10) == 0 {
				code = Error
			}
			events = append(events, h.endTry(q, code))
		case q.running && h.settings.Classes[q.Class].CallsDependency && h.rng.IntN(60) == 0:
			q.running, q.atCall = false, true
			events = append(events, AtCall{q.ID})
		case q.calling && h.rng.IntN(10) == 0:
			code := []Code{OK, OK, Rejected, Timeout, Reset, ConnectFailed}[h.rng.IntN(6)]
			q.calling, q.atCall, q.running = false, code != OK, code == OK
			q.mayHaveCalled = q.mayHaveCalled || code == Timeout || code == Reset
			events = append(events, Called{q.ID, code, 30})
		case !q.abandoned && h.settings.ReportsCancellation && h.rng.IntN(300) == 0:
			q.abandoned = true
			q.finished = !q.running && !q.calling && !q.atCall
			events = append(events, Gone{q.ID})
		}
	}
	h.order = slices.DeleteFunc(h.order, func(q *try) bool {
		return q.finished && q.keptUntil <= h.now && (q.answered || q.abandoned)
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
			events = append(events, Timer{Token: 1, Gauges: g}, Timer{Gauges: g})
		} else {
			rest = append(rest, at)
		}
	}
	h.wakes = rest
	return events
}

// shutDown passes a Notice to the policy and plays the time until the stop.
func (h *host) shutDown(rate float64) {
	h.noticeAt, h.stopAt = h.now, h.now+4000
	for _, q := range h.order {
		q.due = min(q.due, max(h.stopAt, h.now))
	}
	h.step(Notice{StopAt: h.stopAt})
	for h.now < h.stopAt-h.settings.Tick {
		h.now += h.settings.Tick
		h.step(h.randomEvents(rate)...)
	}
}

func TestRulesHoldForRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			s := settings()
			s.Halt = []StopMode{StopNone, StopAbort, StopPause}[seed%3]
			s.CreditMode = []CreditMode{CreditWindow, CreditThreshold, CreditShare, CreditNone}[seed%4]
			s.PassesDeadline, s.ReportsCancellation, s.Cold = seed%5 != 0, seed%7 != 0, seed%6 == 0
			s.WorthByWork = seed%2 == 0
			s.Memory = 2000 + 8000*rng.Float64()
			s.Classes = append(s.Classes, Class{Aim: 800, Deadline: 2000, Worth: 1, Repeat: Unsafe,
				CallsDependency: true},
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
			h := &host{t: t, settings: s, policy: p, rng: rng, now: 1000, tries: map[RequestID]*try{},
				keyRanAt: map[string]float64{}, keyHolder: map[string]*try{}}
			h.step()
			rate := 0.05 + 0.4*rng.Float64()
			for range 3000 {
				h.now += s.Tick
				h.step(h.randomEvents(rate)...)
			}
			h.shutDown(rate)
			if len(p.callers) > s.Callers || len(p.callers) != len(p.callersByID) {
				t.Fatalf("got %d tracked callers and %d by ID, want equal numbers and at most %d", len(p.callers),
					len(p.callersByID), s.Callers)
			}
			if v := p.credit(); math.IsNaN(v) || math.IsInf(v, 0) ||
				math.IsNaN(p.limit+p.slowdown+p.effectiveCores+p.offeredLoad) {
				t.Fatalf("got credit %v, limit %v, slowdown %v, effective cores %v and load %v, want numbers", v,
					p.limit, p.slowdown, p.effectiveCores, p.offeredLoad)
			}
			for _, q := range h.order {
				if !q.answered && !q.abandoned && q.arrived < h.stopAt-2*s.Tick {
					t.Fatalf("lost: %s has no answer when the server stops", q.ID)
				}
			}
		})
	}
}

// BenchmarkStep measures an arrival and its end on a server that tracks a thousand callers.
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
		a := newArrival(n, 0, now)
		a.Caller = n % 1000
		buf = p.Step(now, []Event{a}, buf[:0])
		buf = p.Step(now, []Event{Ended{ID: a.ID, Code: OK}, gaugeTimer(0.5, 1)}, buf[:0])
	}
}
