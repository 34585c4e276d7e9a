package upgrade

import (
	"errors"
	"net"
	"sync"

	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/handover"
)

// claimQueue holds the IDs that are to be claimed from the successor. The core's goroutine adds to it and does not wait. Their
// number is bounded by that of open requests.
type claimQueue struct {
	mu    sync.Mutex
	ids   []string
	added chan struct{} // has an element once there are IDs
}

func newClaimQueue() *claimQueue { return &claimQueue{added: make(chan struct{}, 1)} }

func (q *claimQueue) add(ids []string) {
	q.mu.Lock()
	q.ids = append(q.ids, ids...)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

func (q *claimQueue) take() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	ids := q.ids
	q.ids = nil
	return ids
}

// sendClaims sends the claims of this process until the connection to the successor ends.
func (p *predecessorSide) sendClaims(over <-chan struct{}) {
	defer p.u.goroutines.Done()
	for {
		select {
		case <-over:
			return
		case <-p.claims.added:
		}
		p.conn.mu.Lock()
		p.machine.SendClaim(p.claims.take())
		err := p.conn.write(p.machine.Messages(), clock.Now()+writeTimeoutMs, p.u.host.Listeners)
		p.conn.mu.Unlock()
		if err != nil {
			p.conn.close() // a frame may be written in part, so nothing can follow it
			return
		}
	}
}

// yield passes on the IDs of all requests that this process has read, and has it claim those that it reads from now on. It
// reports whether the core answered in time.
func (p *predecessorSide) yield(query *loadQuery) bool {
	p.conn.mu.Lock()
	claims := p.machine.AnswersClaims()
	p.conn.mu.Unlock()
	if claims {
		p.u.claimant.Store(p)
	}
	load, ok := query.runWith(p.u.host.Submit, claims)
	if !ok {
		return false
	}
	p.conn.mu.Lock()
	p.machine.SendLoad(load.Beside, load.IDs, p.u.host.OperatorDrain())
	p.machine.SendLinks(p.u.host.PoolLinks())
	p.machine.SendYielded()
	p.yielded = true
	p.conn.mu.Unlock()
	return true
}

// answerClaim has the core answer a claim of the predecessor.
func (s *successorSide) answerClaim(e handover.ClaimReceived) {
	s.u.host.Submit(core.ClaimIDs{IDs: e.IDs, Reply: func(granted, known []string) { go s.sendClaimed(granted, known) }})
}

// sendClaimed sends the answer to a claim.
func (s *successorSide) sendClaimed(granted, known []string) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.machine.SendClaimed(granted, known)
	if err := s.conn.write(s.machine.Messages(), clock.Now()+writeTimeoutMs, nil); err != nil && !errors.Is(err, net.ErrClosed) {
		s.conn.close()
	}
}
