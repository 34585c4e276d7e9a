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

// call drives one call: the machine says what to do, each try runs on a goroutine of its own.
type call struct {
	c       *Client
	ctx     context.Context
	request wire.Request
	began   float64
	due     float64
	key     uint64
	keyed   bool
	wake    chan struct{} // a try has ended

	// Under the client's lock.
	m      *attempt.Call
	tries  []Try
	tried  []string
	result *Response
	cause  error
}

// run drives the machine until the call is over. Tries that are still out are taken back.
func (k *call) run() (*Response, error) {
	c := k.c
	ctx, cancel := context.WithCancel(k.ctx)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		now := c.now()
		if c.closed || k.ctx.Err() == context.Canceled {
			k.m.Cancel()
		}
		do := k.m.Next(now, rand.Float64())
		switch do.Kind {
		case attempt.Done:
			if do.Reason == attempt.None {
				return k.result, nil
			}
			err := &Error{Reason: do.Reason, Class: k.request.Class, Tries: append([]Try(nil), k.tries...), Cause: k.cause,
				Wait: time.Duration(k.m.RetryAfter() * float64(time.Millisecond))}
			if cause := k.ctx.Err(); cause != nil {
				err.Cause = cause
			} else if c.closed {
				err.Cause = errClosed
			}
			return nil, err
		case attempt.Sleep:
			k.sleep(math.Min(do.At, k.due))
			continue
		}
		use := c.members.InUse(now)
		m, until := c.router.Pick(now, use, route.Query{Key: k.key, Keyed: k.keyed && len(k.tried) == 0, Exclude: k.tried, AllowExcluded: !do.Hedge,
			Draws: [3]float64{rand.Float64(), rand.Float64(), rand.Float64()}})
		if m == nil {
			k.m.NoNodeFree(now, until)
			continue
		}
		k.m.TrySent(now)
		c.router.TrySent(now, m.ID)
		k.tried = append(k.tried, m.Name)
		r := k.request
		r.ID, r.Retry = fmt.Sprintf("%016x", rand.Uint64()), do.Retry
		k.tries = append(k.tries, Try{Node: m.Name, ID: r.ID, Outcome: "open"})
		i, due := len(k.tries)-1, do.Due
		if h := c.options.Hooks.Try; h != nil {
			h(r.Class, m.Name, do.Retry, do.Hedge)
		}
		c.work.Add(1)
		go func() {
			defer c.work.Done()
			k.try(ctx, i, m, r, now, due)
		}()
	}
}

// sleep waits for a time, for the end of a try, or for the end of the call, without the lock.
func (k *call) sleep(until float64) {
	k.c.mu.Unlock()
	defer k.c.mu.Lock()
	timer := time.NewTimer(time.Until(k.c.at(until)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.wake:
	case <-k.ctx.Done():
	case <-k.c.ctx.Done():
	}
}

// outcome is what came of a try.
type outcome struct {
	end    attempt.Outcome
	answer *wire.Response // nil: none
	err    error
}

// try makes one try and tells the decisions how it ended.
func (k *call) try(ctx context.Context, i int, m *members.Member, r wire.Request, sent, due float64) {
	c := k.c
	ctx, cancel := context.WithDeadline(ctx, c.at(due))
	defer cancel()
	o := c.exchange(ctx, m, r, due)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	took := now - sent
	a := route.Result{Took: took, Credit: -1}
	stay := false
	if o.answer != nil {
		a.Credit, a.RetryAfter, stay = o.answer.Credit, o.answer.RetryAfter, o.answer.NoRetry
		if o.answer.Close && o.answer.Credit == 0 {
			c.members.MarkDraining(now, m.Name) // it wants no more, and closes: it drains
		} else {
			c.members.MarkServing(now, m.Name)
		}
	}
	switch o.end {
	case attempt.Refused:
		a.Refused = true
	case attempt.Unsent, attempt.Broken:
		a.Failed, a.NoResponse = true, true
	case attempt.Failed, attempt.Late:
		a.Failed = true
	case attempt.Withdrawn:
		a.Cancelled = true
	}
	c.router.TryEnded(now, m.ID, a, len(c.members.InUse(now)))
	k.m.TryEnded(now, o.end, took, a.RetryAfter, stay)
	t := &k.tries[i]
	t.Outcome, t.Took = outcomes[o.end], time.Duration(took*float64(time.Millisecond))
	if o.answer != nil {
		t.Status = o.answer.Status
	}
	if o.end == attempt.Served && k.result == nil {
		k.result = &Response{Body: o.answer.Body, Node: m.Name, Kept: o.answer.Kept, Tries: len(k.tries)}
	}
	if o.err != nil {
		k.cause = o.err
	}
	if h := c.options.Hooks.End; h != nil {
		h(r.Class, m.Name, t.Outcome, t.Took)
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// outcomes are the words for the ends of tries.
var outcomes = map[attempt.Outcome]string{attempt.Served: "served", attempt.Refused: "refused", attempt.Unsent: "unsent", attempt.Failed: "failed",
	attempt.Broken: "broken", attempt.Late: "late", attempt.Withdrawn: "withdrawn"}

// exchange has a connection and sends a request over it.
func (c *Client) exchange(ctx context.Context, m *members.Member, r wire.Request, due float64) outcome {
	p, w, err := c.connection(ctx, m)
	if err != nil {
		return outcome{end: attempt.Unsent, err: err} // nothing was sent
	}
	// The remaining time goes out with the try, as of now.
	now := time.Now()
	r.Sent = float64(now.UnixNano()) / 1e6
	if r.Wait = due - c.now(); r.Wait <= 0 {
		c.release(p, w)
		return outcome{end: attempt.Unsent, err: context.DeadlineExceeded}
	}
	o := w.do(ctx, &r)
	if o.answer != nil {
		switch s := o.answer.Status; {
		case s == 200:
			o.end = attempt.Served
		case s == 503 || s == 429:
			o.end = attempt.Refused
		default:
			o.end, o.err = attempt.Failed, fmt.Errorf("client: status %d", s)
		}
	}
	c.release(p, w)
	return o
}

// connection returns a connection to a node with room for a request, a new one if need be.
func (c *Client) connection(ctx context.Context, m *members.Member) (*connpool.Conn, conn, error) {
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return nil, nil, errClosed
		}
		now := c.now()
		do := c.pools.Acquire(now, m.ID)
		free := c.free
		var w conn
		if do.Kind == connpool.Use {
			w = c.conns[do.Conn.ID]
		}
		c.mu.Unlock()
		switch do.Kind {
		case connpool.Use:
			if w.dead() {
				c.mu.Lock()
				c.pools.Release(c.now(), do.Conn)
				c.drop(do.Conn)
				c.mu.Unlock()
				continue
			}
			return do.Conn, w, nil
		case connpool.Connect:
			w, err := dial(ctx, c.options.Protocol, m.Addr)
			c.mu.Lock()
			if err == nil && c.closed {
				w.close()
				err = errClosed
			}
			if err != nil {
				c.pools.Remove(do.Conn)
				c.wakeFree()
				c.mu.Unlock()
				return nil, nil, err
			}
			c.pools.MarkConnected(c.now(), do.Conn, w.streams())
			c.conns[do.Conn.ID] = w
			if w.streams() > 1 {
				c.wakeFree()
			}
			c.mu.Unlock()
			return do.Conn, w, nil
		}
		var timer <-chan time.Time
		if !math.IsInf(do.At, 1) {
			t := time.NewTimer(time.Until(c.at(do.At)))
			defer t.Stop()
			timer = t.C
		}
		select {
		case <-free:
		case <-timer:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// release gives a connection back, or closes it if it carries nothing more.
func (c *Client) release(p *connpool.Conn, w conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools.Release(c.now(), p)
	if w.dead() {
		c.pools.Drain(p)
	}
	if c.conns[p.ID] == nil {
		return // the client was closed
	}
	if c.pools.ShouldClose(c.now(), p) {
		c.drop(p)
		return
	}
	c.wakeFree()
}
