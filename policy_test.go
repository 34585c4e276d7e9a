package whinrudder

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"whinrudder/internal/estimate"
)

// settings returns the settings of a simple server: four cores, one safe class and one keyed class.
func settings() Settings {
	return Settings{
		Servers: 4, Callers: 2, Cores: 4, Memory: 1 << 20, RunFactor: 8, EntryKB: 16,
		Classes: []Class{
			{Aim: 1000, Deadline: 3000, Worth: 1, Repeat: Safe},
			{Aim: 1000, Deadline: 3000, Worth: 2, Repeat: Keyed, Window: 5000},
		},
		Halt: StopPause, CreditMode: CreditWindow, HeardFor: 1000, ReportsCancellation: true, PassesDeadline: true,
		MaxRetryAfter: 1000, Tick: 4,
		Rules: Rules{AnswerGrace: 60, ColdFrom: 0.2, RampTime: 10000, DrainGrace: 2000, FallMultiple: 6,
			FallWindow: 3000},
		Goal: Goal{Whole: 0.5, WorstClass: 0.2, WorstWindow: 0.3},
	}
}

func requestID(n int) RequestID { return RequestID(fmt.Sprintf("%016x", n)) }

// server is a Policy with a clock.
type server struct {
	t   *testing.T
	p   *Policy
	now float64
}

func newServer(t *testing.T, change func(*Settings)) *server {
	t.Helper()
	s := settings()
	if change != nil {
		change(&s)
	}
	p, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	sv := &server{t: t, p: p, now: 1000}
	sv.step()
	return sv
}

func (s *server) step(events ...Event) []Action { return s.p.Step(s.now, events, nil) }

// stepAfter advances the clock and passes events to the policy.
func (s *server) stepAfter(ms float64, events ...Event) []Action {
	s.now += ms
	return s.step(events...)
}

func newArrival(n, class int, now float64) Arrival {
	return Arrival{ID: requestID(n), Due: now + 3000, MemoryKB: 20, Class: class}
}

// actionsOf returns the actions of type T.
func actionsOf[T Action](actions []Action) (found []T) {
	for _, a := range actions {
		if v, ok := a.(T); ok {
			found = append(found, v)
		}
	}
	return found
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Cores":        func(s *Settings) { s.Cores = 0 },
		"Classes is":   func(s *Settings) { s.Classes = nil },
		"Aim":          func(s *Settings) { s.Classes[0].Aim = -1 },
		"Memory":       func(s *Settings) { s.Memory = 0 },
		"Halt":         func(s *Settings) { s.Halt = "maybe" },
		"Repeat":       func(s *Settings) { s.Classes[1].Repeat = "" },
		"DrainGrace":   func(s *Settings) { s.Rules.DrainGrace = -1 },
		"Tick is NaN":  func(s *Settings) { s.Tick = math.NaN() },
		"KeepAlive":    func(s *Settings) { s.KeepAlive = math.Inf(1) },
		"Window":       func(s *Settings) { s.Classes[1].Window = math.Inf(1) },
		"FallMultiple": func(s *Settings) { s.Rules.FallMultiple = 0 },
	} {
		s := settings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

func TestStartsAnArrivalAtOnce(t *testing.T) {
	s := newServer(t, nil)
	if got := actionsOf[Run](s.step(newArrival(1, 0, s.now))); len(got) != 1 || got[0].ID != requestID(1) {
		t.Fatalf("got runs %v, want one of request 1", got)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (all []Action) {
		s := newServer(t, nil)
		rng := rand.New(rand.NewPCG(7, 7))
		for n := range 300 {
			all = append(all, s.stepAfter(rng.Float64()*50, newArrival(n, n%2, s.now))...)
			if n > 20 {
				all = append(all, s.step(Ended{ID: requestID(n - 20), Code: OK})...)
			}
		}
		return all
	}
	if !slices.Equal(run(), run()) {
		t.Fatal("two policies with the same events and seed gave different actions")
	}
}

// startRunning starts n requests that do not end.
func (s *server) startRunning(n int) {
	s.t.Helper()
	for i := range n {
		a := newArrival(9000+i, 0, s.now)
		a.Due = s.now + 1e6
		s.step(a)
	}
}

func gaugeTimer(cpu, runnable float64) Timer {
	return Timer{Token: 1, Gauges: Gauges{CPU: cpu, Runnable: runnable}}
}

func TestRefusesAtOnceBeyondTheLimit(t *testing.T) {
	s := newServer(t, nil)
	refused, ran := 0, 0
	for n := range 60 {
		got := s.step(newArrival(n, 0, s.now))
		refused += len(actionsOf[Refuse](got))
		ran += len(actionsOf[Run](got))
	}
	if ran != 4 || refused == 0 {
		t.Fatalf("got %d runs and %d refusals, want 4 runs on 4 cores and refusals in the same step", ran, refused)
	}
}

func TestLimitGrowsOnlyWithIdleCores(t *testing.T) {
	for cpu, want := range map[float64]bool{0.5: true, 1: false} {
		s := newServer(t, nil)
		s.startRunning(4)
		for range 30 {
			s.stepAfter(50, gaugeTimer(cpu, 4))
		}
		if got := s.p.limit > 4; got != want {
			t.Errorf("utilization %v: limit %v, want growth %v", cpu, s.p.limit, want)
		}
	}
}

func TestLimitFallsToTheCoresWhenLatencyRises(t *testing.T) {
	s := newServer(t, nil)
	s.p.classes[0].cost = estimate.Regression{N: 100, Y: 100}
	s.p.limit = 12
	for range 5 {
		for n := range 10 {
			a := newArrival(s.p.cfg.Cores*1000+int(s.now)*20+n, 0, s.now)
			s.step(a)
			s.p.requests[a.ID].stretchStart -= 900 // the run seems to have taken 900 ms longer
			s.step(Ended{ID: a.ID, Code: OK})
		}
		s.stepAfter(500, gaugeTimer(1, 12))
		s.stepAfter(50, gaugeTimer(1, 12))
	}
	if s.p.limit < 4 || s.p.limit > 6 {
		t.Fatalf("got limit %v, want 4 (the cores) to 6", s.p.limit)
	}
}

func TestProcessStallDoesNotCountAsLatency(t *testing.T) {
	s := newServer(t, nil)
	s.step(newArrival(1, 0, s.now))
	s.stepAfter(100, gaugeTimer(1, 1))
	s.stepAfter(2050, gaugeTimer(1, 1)) // a timer that was due after 50 ms comes two seconds late
	s.step(Ended{ID: requestID(1), Code: OK})
	if s.p.period.latency > 200 {
		t.Fatalf("got latency %v, want at most 200 without the stall", s.p.period.latency)
	}
}

func TestSlowdownCountsRunsThatNeverEnd(t *testing.T) {
	// A server that becomes ten times slower must notice although no run ends from which it could learn new costs.
	s := newServer(t, nil)
	s.p.classes[0].cost = estimate.Regression{N: 100, Y: 100}
	s.startRunning(4)
	for range 60 {
		s.stepAfter(50, gaugeTimer(1, 4))
	}
	if s.p.slowdown < 5 {
		t.Fatalf("got slowdown %v after three seconds without an end, want at least 5", s.p.slowdown)
	}
}

func TestSingleSlowServerFailsHealthChecks(t *testing.T) {
	// A server that is ten times slower than the others does nothing but read requests that are already too late.
	s := newServer(t, nil)
	s.p.classes[0] = classStats{cost: estimate.Regression{N: 100, Y: 100}, demand: 10}
	s.p.readDelay, s.p.offeredLoad = 1500, 0.1
	if got := actionsOf[Health](s.stepAfter(4)); len(got) != 1 || got[0].Healthy {
		t.Fatalf("got %v, want failing health checks", got)
	}
	s.p.readDelay = 0
	if got := actionsOf[Health](s.stepAfter(unhealthyMs + 1)); len(got) != 1 || !got[0].Healthy {
		t.Fatalf("got %v, want passing health checks again", got)
	}
}

func TestOverloadedFleetStaysHealthyAndAdvisesAgainstRetryElsewhere(t *testing.T) {
	// Refused requests must not be retried at every server of an overloaded fleet: each of them would have to read
	// them.
	s := newServer(t, nil)
	s.p.classes[0] = classStats{cost: estimate.Regression{N: 100, Y: 100}, demand: 10}
	s.p.slowdown, s.p.offeredLoad, s.p.utilization = 15, 1.5, 1
	if got := actionsOf[Health](s.stepAfter(4)); len(got) != 0 {
		t.Fatalf("got %v, want no change of health", got)
	}
	s.p.slowdown = 1
	s.startRunning(4)
	for n := range 50 {
		for _, r := range actionsOf[Refuse](s.step(newArrival(n, 0, s.now))) {
			if !r.NoRetryElsewhere || r.RetryAfter > 0 {
				t.Fatalf("got %+v, want NoRetryElsewhere and no RetryAfter", r)
			}
		}
	}
}

func TestReadDelayReducesRunSlots(t *testing.T) {
	// Six readers and six runs shared six cores, and every request was too late by the time it was read.
	s := newServer(t, nil)
	s.p.limit = 8
	if got := s.p.runSlots(); got != 8 {
		t.Fatalf("got %v slots without read delay, want 8", got)
	}
	s.p.readDelay = 600
	if got := s.p.runSlots(); got >= 1.5 {
		t.Fatalf("got %v slots with a read delay of most of the aim, want below 1.5", got)
	}
}

func TestHoldsOnlyRequestsThatCanStartSoon(t *testing.T) {
	// A queue of three seconds must not become permanent even if all requests in it meet their aim by the server's
	// clock.
	s := newServer(t, nil)
	s.p.classes[0].cost = estimate.Regression{N: 100, Y: 100}
	s.startRunning(4)
	for n := range 40 {
		s.step(newArrival(n, 0, s.now))
	}
	if n := s.p.phaseCount[held]; n == 0 || float64(n-1)*100/s.p.effectiveCores > maxHoldAimRatio*1000 {
		t.Fatalf("got %d held requests, want at least 1 and at most %v ms of work", n, maxHoldAimRatio*1000)
	}
}

func TestMoreValuableRequestStartsFirst(t *testing.T) {
	s := newServer(t, func(s *Settings) { s.Classes[1].Repeat = Safe; s.Classes[1].Worth = 5 })
	s.startRunning(4)
	s.step(newArrival(1, 0, s.now))
	s.step(newArrival(2, 1, s.now))
	got := actionsOf[Run](s.stepAfter(100, Ended{ID: requestID(9000), Code: OK}))
	if len(got) != 1 || got[0].ID != requestID(2) {
		t.Fatalf("got runs %v, want one of the more valuable request 2", got)
	}
}

func TestTenantBeyondItsQuotaWaits(t *testing.T) {
	s := newServer(t, func(s *Settings) {
		s.Tenants, s.OverShareWorth = []Tenant{{QuotaPerSecond: 1}, {QuotaPerSecond: 100}}, 0.1
	})
	s.startRunning(4)
	s.p.quotaTokens[0] = 0
	overQuota, withinQuota := newArrival(1, 0, s.now), newArrival(2, 0, s.now)
	withinQuota.Tenant = 1
	s.step(overQuota, withinQuota)
	got := actionsOf[Run](s.step(Ended{ID: requestID(9000), Code: OK}))
	if len(got) != 1 || got[0].ID != requestID(2) {
		t.Fatalf("got runs %v, want one of request 2, within its quota", got)
	}
}

func TestKeyedRepeatsShareTheFirstAnswer(t *testing.T) {
	s := newServer(t, nil)
	first, repeat := newArrival(1, 1, s.now), newArrival(2, 1, s.now)
	repeat.RepeatOf = requestID(1)
	got := s.step(first, repeat) // in one step
	if len(actionsOf[Keep](got)) != 1 || len(actionsOf[Run](got)) != 1 || len(actionsOf[Reuse](got)) != 1 {
		t.Fatalf("got %v, want one Keep, one Run and one Reuse", got)
	}
	s.stepAfter(100, Ended{ID: requestID(1), Code: Error}, Ended{ID: requestID(2), Code: Error})
	late := newArrival(3, 1, s.now)
	late.RepeatOf = requestID(1)
	if got := s.stepAfter(100, late); len(actionsOf[Run](got)) != 0 || len(actionsOf[Refuse](got)) != 0 {
		t.Fatalf("got %v for a repeat of a failed original, want neither Run nor Refuse", got)
	}
}

func TestKeyOfARefusedRequestIsForgotten(t *testing.T) {
	s := newServer(t, nil)
	s.startRunning(4)
	for n := range 60 {
		got := s.step(newArrival(n, 1, s.now))
		if len(actionsOf[Refuse](got)) != len(actionsOf[Forget](got)) {
			t.Fatalf("got %v, want one Forget for each Refuse", got)
		}
	}
}

func TestCallsAreNotRepeatedUnlessProvenUnrun(t *testing.T) {
	for code, want := range map[Code]int{Rejected: 1, ConnectFailed: 1, Timeout: 0, Reset: 0} {
		s := newServer(t, func(s *Settings) { s.Classes[1].CallsDependency = true })
		s.step(newArrival(1, 1, s.now))
		if got := actionsOf[Call](s.stepAfter(10, AtCall{requestID(1)})); len(got) != 1 {
			t.Fatalf("got calls %v, want one", got)
		}
		if got := actionsOf[Call](s.stepAfter(10, Called{requestID(1), code, 10})); len(got) != want {
			t.Errorf("after %s: got %d calls, want %d", code, len(got), want)
		}
	}
}

func TestCallIsSkippedInTimeWhereWorthRemains(t *testing.T) {
	s := newServer(t, func(s *Settings) { s.Classes[0].CallsDependency, s.Classes[0].SkipWorth = true, 0.3 })
	s.p.callLatency = 2000 // no call would end within the aim
	s.step(newArrival(1, 0, s.now))
	if got := actionsOf[Skip](s.stepAfter(10, AtCall{requestID(1)})); len(got) != 1 {
		t.Fatalf("got skips %v, want one", got)
	}
}

func TestCallsStayWithinTheShare(t *testing.T) {
	s := newServer(t, func(s *Settings) {
		s.Classes[0].CallsDependency, s.CallShare, s.CallShareWindow = true, 2, 5000
	})
	calls := 0
	for n := range 4 {
		s.step(newArrival(n, 0, s.now))
		calls += len(actionsOf[Call](s.step(AtCall{requestID(n)})))
	}
	if calls < 1 || calls > 2 {
		t.Fatalf("got %d outstanding calls with a share of 2, want 1 or 2", calls)
	}
}

func TestDrain(t *testing.T) {
	s := newServer(t, func(s *Settings) { s.Classes[0].Aim = 3000 })
	s.startRunning(4)
	got := s.step(Notice{StopAt: s.now + 3000})
	if h := actionsOf[Health](got); len(h) != 1 || h[0].Healthy {
		t.Fatalf("got %v, want failing health checks", got)
	}
	if v := actionsOf[Advertise](got); len(v) != 1 || v[0].Credit != 0 {
		t.Fatalf("got %v, want a credit of 0", got)
	}
	if got := s.stepAfter(2500, newArrival(2, 0, s.now+2500)); len(actionsOf[Refuse](got)) != 1 {
		t.Fatalf("got %v, want the late arrival refused", got)
	}
	if got := s.stepAfter(490, Timer{}); len(actionsOf[Fail](got)) != 4 {
		t.Fatalf("got %v, want all 4 runs answered before the stop", got)
	}
}

// Without this server the others would be overloaded, and callers learn of its successor seconds later.
func TestNeededServerStaysOpenDuringShutdown(t *testing.T) {
	s := newServer(t, nil)
	s.p.offeredLoad = 0.7 // of four servers: 0.93 of the capacity of the other three
	if got := s.step(Notice{StopAt: s.now + 3500}); len(actionsOf[Health](got))+len(actionsOf[Advertise](got)) != 0 {
		t.Fatalf("got %v at the notice, want no change of health or credit", got)
	}
	s.stepAfter(1400, newArrival(1, 0, s.now+1400))
	if v := s.p.advertised; v <= 0 {
		t.Fatalf("got credit %v within the grace time, want more than 0", v)
	}
	got := s.stepAfter(350) // half of the time to the stop, which is earlier than 0.9 of the grace time
	h, v := actionsOf[Health](got), actionsOf[Advertise](got)
	if len(h) != 1 || h[0].Healthy || len(v) != 1 || v[0].Credit != 0 {
		t.Fatalf("got %v near the end of the grace time, want failing health checks and a credit of 0", got)
	}
}

func TestMemoryIsCheckedBeforeStarting(t *testing.T) {
	s := newServer(t, func(s *Settings) { s.Memory = 400 }) // two running requests of 160 KB fit
	ran := 0
	for n := range 10 {
		ran += len(actionsOf[Run](s.step(newArrival(n, 0, s.now))))
	}
	if ran != 2 {
		t.Fatalf("got %d runs, want 2", ran)
	}
}

func TestUnknownAndFinishedRequestsAreIgnored(t *testing.T) {
	s := newServer(t, nil)
	s.step(newArrival(1, 0, s.now))
	s.step(Ended{ID: requestID(1), Code: OK})
	got := s.stepAfter(4, Ended{ID: requestID(1), Code: OK}, Gone{requestID(1)}, AtCall{requestID(7)},
		Called{ID: requestID(8), Code: OK},
		Ended{ID: requestID(9), Code: Moot}, Timer{Token: 99})
	if len(got) != 0 {
		t.Fatalf("got %v, want no action", got)
	}
}

func TestCreditIsTheLimitOverTheCallers(t *testing.T) {
	s := newServer(t, nil)
	for n := range 4 {
		a := newArrival(n, 0, s.now)
		a.Caller = n % 4
		s.step(a)
	}
	if got := s.p.credit(); got != 1 {
		t.Fatalf("got credit %v, want the limit of 4 over 4 callers", got)
	}
	s.p.phaseCount[held] += s.p.startedCount() // as many held as running
	if got := s.p.credit(); got != 0.25 {
		t.Fatalf("got credit %v with twice the room in hand, want 0.25", got)
	}
}

// The demand of few callers is uneven: with shares alone they would withhold requests that idle cores could serve.
func TestCreditIncludesAShareOfTheFreeRoom(t *testing.T) {
	for callers, want := range map[int]float64{1: 4, 2: 4.0/2 + freeRoomRatio*2} {
		s := newServer(t, nil)
		for n := range 2 {
			a := newArrival(n, 0, s.now)
			a.Caller = n % callers
			s.step(a)
		}
		if got := s.p.credit(); got != want {
			t.Errorf("got credit %v with a limit of 4 and 2 runs of %d callers, want %v", got, callers, want)
		}
	}
}

// A client that invents callers and requests must neither reduce the credit of the others nor exhaust the memory.
func TestMootRequestsDoNotChangeTheStatistics(t *testing.T) {
	s := newServer(t, nil)
	s.step(newArrival(0, 0, s.now))
	credit := s.p.credit()
	for n := range 2 * maxTrackedCallers {
		a := newArrival(n+1, 0, s.now)
		a.Caller = n + 1
		s.step(a)
		s.step(Ended{ID: requestID(n + 1), Code: Moot})
	}
	if got := s.p.credit(); got != credit {
		t.Errorf("got credit %v, want %v as before", got, credit)
	}
	if len(s.p.callers) > maxTrackedCallers || s.p.period.offeredWork != 0 || len(s.p.requests) != 1 {
		t.Errorf("got %d callers, %v offered work and %d requests, want at most %d, 0 and 1", len(s.p.callers),
			s.p.period.offeredWork, len(s.p.requests), maxTrackedCallers)
	}
}

func TestCreditInTheOtherModes(t *testing.T) {
	for mode, want := range map[CreditMode][2]float64{CreditShare: {1, 0.5}, CreditThreshold: {0, 0.5}} {
		s := newServer(t, func(s *Settings) { s.CreditMode = mode })
		idle := s.p.credit()
		s.startRunning(4)
		s.p.phaseCount[held] += s.p.startedCount() // twice the room in hand
		if full := s.p.credit(); idle != want[0] || full != want[1] {
			t.Errorf("%s: got credit %v when idle and %v when full, want %v", mode, idle, full, want)
		}
	}
	s := newServer(t, func(s *Settings) { s.CreditMode = CreditNone })
	if got := actionsOf[Advertise](s.stepAfter(50, gaugeTimer(1, 4))); len(got) != 0 {
		t.Errorf("got %v in mode none, want no Advertise", got)
	}
}

func TestColdServerHasALowerCeiling(t *testing.T) {
	s := newServer(t, func(s *Settings) { s.Cold = true })
	cold := s.p.maxRunning()
	if bound := (1 + 5*0.2) * 4; cold >= bound {
		t.Fatalf("got a ceiling of %v when cold, want below %v, the most that the server survives", cold, bound)
	}
	s.stepAfter(10000)
	if warm := s.p.maxRunning(); warm <= cold || warm >= 24 {
		t.Fatalf("got a ceiling of %v when warm, want above %v and below 24", warm, cold)
	}
}

func TestKeyedRequestIsRefusedIfItsEntryDoesNotFit(t *testing.T) {
	s := newServer(t, func(s *Settings) { s.Memory, s.EntryKB = 200, 190 })
	if got := s.step(newArrival(1, 1, s.now)); len(actionsOf[Refuse](got)) != 1 || len(actionsOf[Keep](got)) != 0 {
		t.Fatalf("got %v, want one Refuse and no Keep", got)
	}
}

func TestShortWaitRevealsTheAgeOfARetry(t *testing.T) {
	// Retries that cannot be answered in time any more must not run. Their wait is shorter than the usual one, because
	// it is cut short by the client's deadline.
	s := newServer(t, nil)
	for n := range 20 {
		a := newArrival(n, 0, s.now)
		a.Due = s.now + 1200 // the usual wait of a try
		s.step(a)
		s.step(Ended{ID: a.ID, Code: OK})
	}
	late := newArrival(100, 0, s.now)
	late.Due = s.now + 1500 // the rest of 3000: the client has already waited for longer than the aim
	if got := actionsOf[Refuse](s.step(late)); len(got) != 1 {
		t.Fatalf("got refusals %v, want one of the late try", got)
	}
	usual := newArrival(101, 0, s.now)
	usual.Due = s.now + 1201
	if got := actionsOf[Run](s.step(usual)); len(got) != 1 {
		t.Fatalf("got runs %v, want one of the usual try", got)
	}
}

func TestIdleConnectionsOfRareCallersAreClosed(t *testing.T) {
	// A thousand callers that each come back after minutes fill the connection table and keep others from connecting.
	for callers, want := range map[int]bool{1000: true, 3: false} {
		s := newServer(t, func(s *Settings) { s.KeepAlive, s.Callers = 30000, callers })
		for n := range 400 {
			a := newArrival(n, 0, s.now)
			a.Caller = n % callers
			s.stepAfter(100, a, gaugeTimer(0.5, 1))
			s.step(Ended{ID: a.ID, Code: OK})
		}
		if closed := s.p.idleTimeout < 3000; closed != want {
			t.Errorf("%d callers: got an idle timeout of %v ms, want below 3000: %v", callers, s.p.idleTimeout, want)
		}
	}
}

func TestOverloadedServerStaysHealthy(t *testing.T) {
	// If the whole fleet is slow, long read delays must not make all servers fail their checks: the list would empty.
	s := newServer(t, nil)
	s.p.classes[0] = classStats{cost: estimate.Regression{N: 100, Y: 100}, demand: 10}
	s.p.readDelay, s.p.offeredLoad = 1500, 0.9
	if got := actionsOf[Health](s.stepAfter(4)); len(got) != 0 {
		t.Fatalf("got %v, want no change of health", got)
	}
}

func TestCallsStayWithinTheShareFromTheStart(t *testing.T) {
	// A mean over the whole window starts at 0 and would allow too many calls in the first seconds.
	s := newServer(t, func(s *Settings) {
		s.Classes[0].CallsDependency, s.CallShare, s.CallShareWindow = true, 0.47, 5000
		s.Classes[0].Aim, s.Classes[0].Deadline = 1e5, 1e5
	})
	outstandingSum, outstanding, callStart := 0.0, RequestID(""), 0.0
	for n := range 1250 {
		a := newArrival(n, 0, s.now)
		a.Due = s.now + 1e5
		s.step(a)
		events := []Event{AtCall{a.ID}}
		if outstanding != "" {
			outstandingSum += 4
			if s.now-callStart > 200 {
				events = append(events, Called{ID: outstanding, Code: OK, Latency: 200},
					Ended{ID: outstanding, Code: OK})
				outstanding = ""
			}
		}
		if got := actionsOf[Call](s.stepAfter(4, events...)); len(got) > 0 {
			outstanding, callStart = got[0].ID, s.now
		}
	}
	if mean := outstandingSum / 5000; mean > 0.47 || mean < 0.2 {
		t.Fatalf("got a mean of %.2f outstanding calls in the first five seconds, want 0.2 to 0.47 (the share)", mean)
	}
}

func TestStartsRequestsWhoseMedianCostFitsTheAim(t *testing.T) {
	// Costs are long-tailed: by their mean instead of their median, idle slow machines would refuse large writes.
	for cost, want := range map[float64]int{1200: 1, 1500: 0} {
		s := newServer(t, nil)
		s.p.classes[0].cost = estimate.Regression{N: 100, Y: cost}
		if got := actionsOf[Run](s.step(newArrival(1, 0, s.now))); len(got) != want {
			t.Errorf("cost %v with an aim of 1000: got %d runs, want %d", cost, len(got), want)
		}
	}
}

func TestReadDelayDoesNotShortenTheHold(t *testing.T) {
	// On slow machines reading alone takes an eighth of the aim; requests must still be held there.
	s := newServer(t, nil)
	s.p.classes[0].cost = estimate.Regression{N: 100, Y: 100}
	s.startRunning(4)
	a := newArrival(1, 0, s.now)
	a.ReadDelay = 200
	if got := actionsOf[Refuse](s.step(a)); len(got) != 0 || s.p.phaseCount[held] != 1 {
		t.Fatalf("got refusals %v and %d held requests, want none and 1", got, s.p.phaseCount[held])
	}
}

func TestRefusalsAllowRetryElsewhereWhileCoresAreIdle(t *testing.T) {
	// Waits for the disk count as cost and raise the offered load, but half of the cores are idle.
	s := newServer(t, nil)
	s.startRunning(4)
	s.p.offeredLoad, s.p.utilization = 1.5, 0.6
	for n := range 50 {
		for _, r := range actionsOf[Refuse](s.step(newArrival(n, 0, s.now))) {
			if r.NoRetryElsewhere {
				t.Fatalf("got %+v, want a refusal that allows a retry elsewhere", r)
			}
		}
	}
}

// A run whose answer others wait for goes on when its own caller gives up. It is stopped when nobody waits any more.
func TestRunWithReusersIsNotStopped(t *testing.T) {
	for _, test := range []struct {
		name  string
		gone  []int
		stops int
	}{
		{"its caller gave up", []int{0}, 0},
		{"the reusing caller gave up, then its own", []int{1, 0}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newServer(t, func(s *Settings) { s.Fresh = 1000 })
			original, repeat := newArrival(0, 0, s.now), newArrival(1, 0, s.now)
			original.Key, repeat.Key, repeat.RepeatOf = "k", "k", original.ID
			if got := actionsOf[Run](s.step(original)); len(got) != 1 {
				t.Fatalf("got runs %v, want one", got)
			}
			if got := actionsOf[Reuse](s.step(repeat)); len(got) != 1 {
				t.Fatalf("got reuses %v, want one", got)
			}
			var stops []Stop
			for _, n := range test.gone {
				stops = append(stops, actionsOf[Stop](s.step(Gone{requestID(n)}))...)
			}
			if len(stops) != test.stops {
				t.Errorf("got stops %v, want %d", stops, test.stops)
			}
		})
	}
}
