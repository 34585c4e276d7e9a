package fleet

import (
	"strconv"

	"whinrudder/internal/client/attempt"
	"whinrudder/internal/client/members"
	"whinrudder/internal/client/route"
	"whinrudder/internal/core"
	"whinrudder/internal/vtime"
)

// library drives the decision code of the client library, unchanged, for one caller.
type library struct {
	sim       *simulation
	seed      vtime.Seed
	drawCount int
	members   *members.Members
	router    *route.Router
	shared    *attempt.ClientState
	classes   []attempt.Class
}

func newLibrary(sim *simulation, b Behavior, seed vtime.Seed) *library {
	l := &library{sim: sim, seed: seed, members: members.New(uint64(seed), b.SubsetSize), router: route.New(),
		shared: &attempt.ClientState{RetryBudget: attempt.NewBudget(), WaitBudget: attempt.NewBudget(), Throttle: attempt.NewThrottle(), Latencies: attempt.NewLatencies(len(sim.day.Classes))}}
	for _, c := range sim.day.Classes {
		l.classes = append(l.classes, attempt.Class{Write: c.Write, Hedge: false})
	}
	l.updateList()
	return l
}

// updateList passes the current list of nodes to the client library.
func (l *library) updateList() {
	var nodes []members.Node
	for i, on := range l.sim.listed {
		if on {
			nodes = append(nodes, members.Node{Name: strconv.Itoa(i)})
		}
	}
	now := l.sim.kernel.Now()
	l.members.SetList(now, max(0, now-l.sim.day.ListLag), nodes)
}

// draw returns a number from 0 to 1 for a request, derived from the number of the request and that of the draw.
func (l *library) draw(req *request) float64 {
	l.drawCount++
	return l.seed.Split("draw", req.Number).Split("", l.drawCount).Uniform()
}

// begin starts a request.
func (l *library) begin(req *request) {
	req.call = attempt.New(l.sim.kernel.Now(), req.At+l.sim.day.Classes[req.Class].Deadline, l.classes[req.Class], req.Class, l.shared, l.draw(req))
	req.wake.Do = func(float64) { l.step(req) }
	l.step(req)
}

// step carries out the next actions of a request.
func (l *library) step(req *request) {
	now := l.sim.kernel.Now()
	for !req.closed {
		action := req.call.Next(now, l.draw(req))
		switch action.Kind {
		case attempt.Done:
			if req.tryCount == 0 {
				l.sim.result.Unsent++
			}
			l.sim.fail(req)
			return
		case attempt.Sleep:
			l.sim.kernel.Set(&req.wake, min(action.At, req.call.Due()))
			return
		}
		inUse := l.members.InUse(now)
		query := route.Query{Draws: [3]float64{l.draw(req), l.draw(req), req.Draw}, AllowExcluded: !action.Hedge}
		for _, n := range req.tried {
			query.Exclude = append(query.Exclude, strconv.Itoa(n))
		}
		m, until := l.router.Pick(now, inUse, query)
		if m == nil {
			req.call.NoNodeFree(now, until)
			continue
		}
		n, _ := strconv.Atoi(m.Name)
		req.call.TrySent(now)
		l.router.TrySent(now, m.ID)
		l.sim.sendTo(req, n, action.Due)
		req.openTries[len(req.openTries)-1].member = m
	}
}

// withdraw cancels a try.
func (l *library) withdraw(t *try) {
	now := l.sim.kernel.Now()
	l.router.TryEnded(now, t.member.ID, route.Result{Took: now - t.sentAt, Credit: -1, Cancelled: true}, len(l.members.InUse(now)))
	t.req.call.TryEnded(now, attempt.Withdrawn, now-t.sentAt, 0, false)
}

// receive handles the answer to a try or the end of its connection.
func (l *library) receive(t *try, r reply) {
	outcome := attempt.Failed
	switch {
	case r.connectFailed:
		outcome = attempt.Unsent
	case r.connReset:
		outcome = attempt.Broken
	case r.outcome == core.Served:
		outcome = attempt.Served
	case r.outcome == core.Refused:
		outcome = attempt.Refused
	}
	l.tryEnded(t, outcome, r)
}

// tryEnded reports the outcome of a try to the client library.
func (l *library) tryEnded(t *try, outcome attempt.Outcome, r reply) {
	now, req := l.sim.kernel.Now(), t.req
	result := route.Result{Took: now - t.sentAt, Credit: -1}
	switch outcome {
	case attempt.Served:
	case attempt.Refused:
		result.Refused = true
		l.sim.result.Refused++
		l.sim.score.bucket(now).Refused++
	case attempt.Unsent, attempt.Broken:
		result.Failed, result.NoResponse = true, true
		l.sim.result.Disconnected++
	default:
		result.Failed = true
		l.sim.result.Failed++
	}
	if !result.NoResponse && outcome != attempt.Late {
		result.Credit, result.RetryAfter = r.credit, r.retryAfter
		if r.draining {
			l.members.MarkDraining(now, t.member.Name)
		} else {
			l.members.MarkServing(now, t.member.Name)
		}
	}
	l.router.TryEnded(now, t.member.ID, result, len(l.members.InUse(now)))
	req.call.TryEnded(now, outcome, now-t.sentAt, r.retryAfter, r.notElsewhere)
	if outcome == attempt.Served {
		l.sim.serve(req)
		return
	}
	if !req.closed {
		l.step(req)
	}
}
