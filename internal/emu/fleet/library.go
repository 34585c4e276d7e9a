package fleet

import (
	"strconv"

	"whinrudder/internal/client/attempt"
	"whinrudder/internal/client/members"
	"whinrudder/internal/client/route"
	"whinrudder/internal/core"
	"whinrudder/internal/vtime"
)

// library is a caller that is built on the client library: its decisions run unchanged, this is their driver.
type library struct {
	p       *play
	seed    vtime.Seed
	draws   int
	members *members.Members
	router  *route.Router
	shared  *attempt.ClientState
	classes []attempt.Class
}

func newLibrary(p *play, h Behavior, seed vtime.Seed) *library {
	l := &library{p: p, seed: seed, members: members.New(uint64(seed), h.SubsetSize), router: route.New(),
		shared: &attempt.ClientState{RetryBudget: attempt.NewBudget(), WaitBudget: attempt.NewBudget(), Throttle: attempt.NewThrottle(), Latencies: attempt.NewLatencies(len(p.day.Classes))}}
	for _, c := range p.day.Classes {
		l.classes = append(l.classes, attempt.Class{Write: c.Write, Hedge: false})
	}
	l.list()
	return l
}

// list takes what callers know of the list by now.
func (l *library) list() {
	var nodes []members.Node
	for i, on := range l.p.listed {
		if on {
			nodes = append(nodes, members.Node{Name: strconv.Itoa(i)})
		}
	}
	now := l.p.k.Now()
	l.members.SetList(now, max(0, now-l.p.day.ListLag), nodes)
}

// draw is a number from 0 to 1 for a request. It goes by the request, so that no other is shifted.
func (l *library) draw(q *ask) float64 {
	l.draws++
	return l.seed.Split("draw", q.Number).Split("", l.draws).Uniform()
}

func (l *library) begin(q *ask) {
	q.call = attempt.New(l.p.k.Now(), q.At+l.p.day.Classes[q.Class].Deadline, l.classes[q.Class], q.Class, l.shared, l.draw(q))
	q.wake.Do = func(float64) { l.step(q) }
	l.step(q)
}

// step does what is to be done for a request.
func (l *library) step(q *ask) {
	now := l.p.k.Now()
	for !q.over {
		do := q.call.Next(now, l.draw(q))
		switch do.Kind {
		case attempt.Done:
			if q.tries == 0 {
				l.p.res.Unsent++
			}
			l.p.lose(q)
			return
		case attempt.Sleep:
			l.p.k.Set(&q.wake, min(do.At, q.call.Due()))
			return
		}
		use := l.members.InUse(now)
		w := route.Query{Draws: [3]float64{l.draw(q), l.draw(q), q.Draw}, AllowExcluded: !do.Hedge}
		for _, n := range q.tried {
			w.Exclude = append(w.Exclude, strconv.Itoa(n))
		}
		m, until := l.router.Pick(now, use, w)
		if m == nil {
			q.call.NoNodeFree(now, until)
			continue
		}
		n, _ := strconv.Atoi(m.Name)
		q.call.TrySent(now)
		l.router.TrySent(now, m.ID)
		l.p.launch(q, n, do.Due)
		q.open[len(q.open)-1].member = m
	}
}

// withdraw takes a try back.
func (l *library) withdraw(t *try) {
	now := l.p.k.Now()
	l.router.TryEnded(now, t.member.ID, route.Result{Took: now - t.sent, Credit: -1, Cancelled: true}, len(l.members.InUse(now)))
	t.q.call.TryEnded(now, attempt.Withdrawn, now-t.sent, 0, false)
}

// heard takes what came of a try.
func (l *library) heard(t *try, r reply) {
	end := attempt.Failed
	switch {
	case r.refused:
		end = attempt.Unsent
	case r.lost:
		end = attempt.Broken
	case r.outcome == core.Served:
		end = attempt.Served
	case r.outcome == core.Refused:
		end = attempt.Refused
	}
	l.ended(t, end, r)
}

func (l *library) ended(t *try, end attempt.Outcome, r reply) {
	now, q := l.p.k.Now(), t.q
	a := route.Result{Took: now - t.sent, Credit: -1}
	switch end {
	case attempt.Served:
	case attempt.Refused:
		a.Refused = true
		l.p.res.Refused++
		l.p.score.bin(now).Refused++
	case attempt.Unsent, attempt.Broken:
		a.Failed, a.NoResponse = true, true
		l.p.res.Disconnected++
	default:
		a.Failed = true
		l.p.res.Failed++
	}
	if !a.NoResponse && end != attempt.Late {
		a.Credit, a.RetryAfter = r.load, r.wait
		if r.leaves {
			l.members.MarkDraining(now, t.member.Name)
		} else {
			l.members.MarkServing(now, t.member.Name)
		}
	}
	l.router.TryEnded(now, t.member.ID, a, len(l.members.InUse(now)))
	q.call.TryEnded(now, end, now-t.sent, r.wait, r.stay)
	if end == attempt.Served {
		l.p.serve(q)
		return
	}
	if !q.over {
		l.step(q)
	}
}
