package client

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"whinrudder/internal/client/attempt"
	"whinrudder/internal/client/connpool"
	"whinrudder/internal/client/members"
	"whinrudder/internal/client/route"
	"whinrudder/internal/client/wire"
)

// call carries out one call. The state machine attempt.Call decides the next step; each try runs in its own goroutine.
type call struct {
	client      *Client
	ctx         context.Context // ends at the deadline of the call
	request     wire.Request    // without ID, Retry, Sent and Wait, which each try sets in its copy
	startedMs   float64         // start of the call, in the time of Client.now
	deadlineMs  float64         // deadline of the call, in the time of Client.now
	affinityKey uint64          // hash of Request.Subject
	hasKey      bool            // affinityKey decides the node of the first try
	tryEnded    chan struct{}   // has a value when a try has ended; buffer of one

	// Guarded by the client's lock.
	machine    *attempt.Call
	tries      []Try
	triedNodes []string  // names of the nodes of tries
	result     *Response // of the first try that was served; nil: none
	cause      error     // the last error of a try; nil: none
}

// run executes the steps of the state machine until the call has ended. Tries that have not ended by then are
// cancelled.
func (k *call) run() (*Response, error) {
	c := k.client
	ctx, cancel := context.WithCancel(k.ctx)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		now := c.now()
		if c.closed || k.ctx.Err() == context.Canceled {
			k.machine.Cancel()
		}
		step := k.machine.Next(now, rand.Float64())
		switch step.Kind {
		case attempt.Done:
			if step.Reason == attempt.None {
				return k.result, nil
			}
			err := &Error{Reason: step.Reason, Class: k.request.Class, Tries: append([]Try(nil), k.tries...),
				Cause: k.cause, Wait: time.Duration(k.machine.RetryAfter() * float64(time.Millisecond))}
			if cause := k.ctx.Err(); cause != nil {
				err.Cause = cause
			} else if c.closed {
				err.Cause = errClosed
			}
			return nil, err
		case attempt.Sleep:
			k.sleep(math.Min(step.At, k.deadlineMs))
			continue
		}
		inUse := c.members.InUse(now)
		member, untilMs := c.router.Pick(now, inUse, route.Query{Key: k.affinityKey,
			Keyed: k.hasKey && len(k.triedNodes) == 0, Exclude: k.triedNodes, AllowExcluded: !step.Hedge,
			Draws: [3]float64{rand.Float64(), rand.Float64(), rand.Float64()}})
		if member == nil {
			k.machine.NoNodeFree(now, untilMs)
			continue
		}
		k.machine.TrySent(now)
		c.router.TrySent(now, member.ID)
		k.triedNodes = append(k.triedNodes, member.Name)
		r := k.request
		r.ID, r.Retry = fmt.Sprintf("%016x", rand.Uint64()), step.Retry
		k.tries = append(k.tries, Try{Node: member.Name, ID: r.ID, Outcome: "open"})
		index, deadlineMs := len(k.tries)-1, step.Due
		if hook := c.options.Hooks.Try; hook != nil {
			hook(r.Class, member.Name, step.Retry, step.Hedge)
		}
		c.goroutines.Add(1)
		go func() {
			defer c.goroutines.Done()
			k.try(ctx, index, member, r, now, deadlineMs)
		}()
	}
}

// sleep releases the lock and waits until the given time, the end of a try, or the end of the call or the client.
func (k *call) sleep(untilMs float64) {
	k.client.mu.Unlock()
	defer k.client.mu.Lock()
	timer := time.NewTimer(time.Until(k.client.timeAt(untilMs)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.tryEnded:
	case <-k.ctx.Done():
	case <-k.client.ctx.Done():
	}
}

// tryResult is the result of a try.
type tryResult struct {
	outcome attempt.Outcome
	answer  *wire.Response // nil: no answer
	err     error          // nil: the node answered without an error
}

// try makes one try and reports its result to the router, the member list and the state machine.
func (k *call) try(ctx context.Context, index int, member *members.Member, r wire.Request, sentMs, deadlineMs float64) {
	c := k.client
	ctx, cancel := context.WithDeadline(ctx, c.timeAt(deadlineMs))
	defer cancel()
	result := c.exchange(ctx, member, r, deadlineMs)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	tookMs := now - sentMs
	feedback := route.Result{Took: tookMs, Credit: -1}
	noRetry := false
	if result.answer != nil {
		feedback.Credit, feedback.RetryAfter, noRetry =
			result.answer.Credit, result.answer.RetryAfter, result.answer.NoRetry
		if result.answer.Close && result.answer.Credit == 0 {
			c.members.MarkDraining(now, member.Name) // credit 0 and a closed connection: the node is draining
		} else {
			c.members.MarkServing(now, member.Name)
		}
	}
	switch result.outcome {
	case attempt.Refused:
		feedback.Refused = true
	case attempt.Unsent, attempt.Broken:
		feedback.Failed, feedback.NoResponse = true, true
	case attempt.Failed, attempt.Late:
		feedback.Failed = true
	case attempt.Withdrawn:
		feedback.Cancelled = true
	}
	c.router.TryEnded(now, member.ID, feedback, len(c.members.InUse(now)))
	k.machine.TryEnded(now, result.outcome, tookMs, feedback.RetryAfter, noRetry)
	record := &k.tries[index]
	record.Outcome, record.Took = outcomeNames[result.outcome], time.Duration(tookMs*float64(time.Millisecond))
	if result.answer != nil {
		record.Status = result.answer.Status
	}
	if result.outcome == attempt.Served && k.result == nil {
		k.result = &Response{Body: result.answer.Body, Node: member.Name, Kept: result.answer.Kept, Tries: len(k.tries)}
	}
	if result.err != nil {
		k.cause = result.err
	}
	if hook := c.options.Hooks.End; hook != nil {
		hook(r.Class, member.Name, record.Outcome, record.Took)
	}
	select {
	case k.tryEnded <- struct{}{}:
	default:
	}
}

// outcomeNames are the values of Try.Outcome.
var outcomeNames = map[attempt.Outcome]string{attempt.Served: "served", attempt.Refused: "refused",
	attempt.Unsent: "unsent", attempt.Failed: "failed", attempt.Broken: "broken",
	attempt.Late: "late", attempt.Withdrawn: "withdrawn"}

// exchange acquires a connection to a node, sends a request over it and returns the result.
func (c *Client) exchange(ctx context.Context, member *members.Member, r wire.Request, deadlineMs float64) tryResult {
	pooled, nodeConn, err := c.connection(ctx, member)
	if err != nil {
		return tryResult{outcome: attempt.Unsent, err: err} // nothing was sent
	}
	// Req-Wait-Ms is the time that remains when the request is sent, not when the try began: connecting takes time.
	now := time.Now()
	r.Sent = float64(now.UnixNano()) / 1e6
	if r.Wait = deadlineMs - c.now(); r.Wait <= 0 {
		c.release(pooled, nodeConn)
		return tryResult{outcome: attempt.Unsent, err: context.DeadlineExceeded}
	}
	result := nodeConn.roundTrip(ctx, &r)
	if result.answer != nil {
		switch status := result.answer.Status; {
		case status == 200:
			result.outcome = attempt.Served
		case status == 503 || status == 429:
			result.outcome = attempt.Refused
		default:
			result.outcome, result.err = attempt.Failed, fmt.Errorf("client: status %d", status)
		}
	}
	c.release(pooled, nodeConn)
	return result
}

// connection returns a connection to a node that can take one more request. It waits while the pool's limits allow
// neither a free connection nor a new one.
func (c *Client) connection(ctx context.Context, member *members.Member) (*connpool.Conn, conn, error) {
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return nil, nil, errClosed
		}
		now := c.now()
		action := c.pools.Acquire(now, member.ID)
		connFreed := c.connFreed
		var nodeConn conn
		if action.Kind == connpool.Use {
			nodeConn = c.conns[action.Conn.ID]
		}
		c.mu.Unlock()
		switch action.Kind {
		case connpool.Use:
			if nodeConn.unusable() {
				c.mu.Lock()
				c.pools.Release(c.now(), action.Conn)
				c.dropConn(action.Conn)
				c.mu.Unlock()
				continue
			}
			return action.Conn, nodeConn, nil
		case connpool.Connect:
			nodeConn, err := dial(ctx, c.options.Protocol, member.Addr)
			c.mu.Lock()
			if err == nil && c.closed {
				nodeConn.close()
				err = errClosed
			}
			if err != nil {
				c.pools.Remove(action.Conn)
				c.notifyConnFreed()
				c.mu.Unlock()
				return nil, nil, err
			}
			c.pools.MarkConnected(c.now(), action.Conn, nodeConn.maxStreams())
			c.conns[action.Conn.ID] = nodeConn
			if nodeConn.maxStreams() > 1 {
				c.notifyConnFreed()
			}
			c.mu.Unlock()
			return action.Conn, nodeConn, nil
		}
		var timer <-chan time.Time
		if !math.IsInf(action.At, 1) {
			t := time.NewTimer(time.Until(c.timeAt(action.At)))
			defer t.Stop()
			timer = t.C
		}
		select {
		case <-connFreed:
		case <-timer:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// release returns a connection to the pool, or closes it if it can carry no more requests.
func (c *Client) release(pooled *connpool.Conn, nodeConn conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools.Release(c.now(), pooled)
	if nodeConn.unusable() {
		c.pools.Drain(pooled)
	}
	if c.conns[pooled.ID] == nil {
		return // the client was closed, or the connection was dropped
	}
	if c.pools.ShouldClose(c.now(), pooled) {
		c.dropConn(pooled)
		return
	}
	c.notifyConnFreed()
}
