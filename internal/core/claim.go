package core

// While another process of this node has taken over, a request that this process reads may have come to the other one as
// well. The other one decides which of them runs it: this process claims the id and holds the request until the claim is
// answered.

// Inputs and the output for claims.
type (
	// ClaimIDs asks, on behalf of another process of this node, whether it may run the requests with some ids. Reply must not
	// block. Those that are granted count as read here from then on.
	ClaimIDs struct {
		IDs   []string
		Reply func(granted, known []string)
	}
	// ClaimAnswered delivers the answer to claims of this process.
	ClaimAnswered struct{ Granted, Known []string }

	// Claim asks the other process of this node whether this one may run the requests with some ids.
	Claim struct{ IDs []string }
)

func (ClaimIDs) input()      {}
func (ClaimAnswered) input() {}
func (Claim) output()        {}

// handleClaimIDs grants the ids that this process does not know.
func (c *Core) handleClaimIDs(q ClaimIDs) {
	var granted, known []string
	for _, id := range q.IDs {
		if c.isKnown(id) {
			known = append(known, id)
			continue
		}
		c.recentIDs.add(id, true, c.now)
		granted = append(granted, id)
	}
	q.Reply(granted, known)
}

// holdForClaim holds a request until its claim is answered.
func (c *Core) holdForClaim(r *request) {
	r.claimPending = true
	c.unclaimedIDs = append(c.unclaimedIDs, r.ID)
}

// emitClaims claims the ids of the requests that were read in this step.
func (c *Core) emitClaims() {
	if len(c.unclaimedIDs) > 0 {
		c.emit(Claim{c.unclaimedIDs})
		c.unclaimedIDs = nil
	}
}

// handleClaimAnswered goes on with the requests whose claims are granted. The others are duplicates.
func (c *Core) handleClaimAnswered(a ClaimAnswered) {
	for _, id := range a.Granted {
		if r := c.claimedRequest(id); r != nil {
			c.admit(r)
		}
	}
	for _, id := range a.Known {
		if r := c.claimedRequest(id); r != nil {
			c.logEvent("request", "id", id, "code", "duplicate")
			c.answer(r, Answer{Outcome: Duplicate})
		}
	}
}

// claimedRequest ends the claim of an open request and returns it, or nil if there is none.
func (c *Core) claimedRequest(id string) *request {
	r := c.requests[id]
	if r == nil || !r.open || !r.claimPending {
		return nil
	}
	r.claimPending = false
	return r
}

// setClaiming makes this process claim the requests that it reads, or stops that: the other process is lost, so what waits
// for its answer goes on.
func (c *Core) setClaiming(on bool) {
	c.claiming = on
	if on {
		return
	}
	c.unclaimedIDs = nil
	for _, r := range c.requests {
		if r.open && r.claimPending {
			r.claimPending = false
			c.admit(r)
		}
	}
}
