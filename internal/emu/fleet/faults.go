package fleet

import (
	"whinrudder/internal/emu/network"
)

// trouble sets up what goes wrong. Bursts are the clients' own.
func (p *play) trouble(i int, t Fault) {
	hit := p.day.some(i, t.Share, p.day.Nodes, "trouble")
	each := func(at float64, do func(s *server)) {
		p.k.After(at, func(float64) {
			for _, n := range hit {
				do(p.servers[n])
			}
		})
	}
	switch t.Kind {
	case Crash:
		each(t.At, func(s *server) { s.die("crashed") })
		each(t.At+t.Duration, func(s *server) {
			if !s.up {
				s.start(true)
			}
		})
	case Slowdown:
		slow := func(by float64) func(*server) {
			return func(s *server) {
				if s.crawl = by; s.pool != nil {
					s.pool.SetSlowdown(by)
				}
			}
		}
		each(t.At, slow(t.Factor))
		each(t.At+t.Duration, slow(1))
	case PoolPause:
		hold := func(on bool) func(*server) {
			return func(s *server) {
				if s.pool != nil {
					s.pool.SetPaused(on)
				}
			}
		}
		each(t.At, hold(true))
		each(t.At+t.Duration, hold(false))
	case Deploy:
		for j, n := range hit {
			p.k.After(t.At+t.Duration*float64(j)/float64(len(hit)), func(float64) { p.servers[n].leave() })
		}
	case RetryStorm, LimitRetries, HonorCredit:
		for _, n := range p.day.some(i, t.Share, len(p.callers), t.Kind.String()) {
			c := p.callers[n]
			p.k.After(t.At, func(float64) {
				switch t.Kind {
				case RetryStorm:
					c.MaxTries, c.HonorsCredit, c.RetryBudget, c.BackoffBase = 0, false, 0, 0
				case LimitRetries:
					c.MaxTries, c.RetryBudget = 3, t.Factor
				case HonorCredit:
					c.HonorsCredit = true
				}
			})
			p.k.After(t.At+t.Duration, func(float64) { c.Behavior = p.day.Callers[n] })
		}
	case Partition:
		cut := network.Partition{From: t.At, To: t.At + t.Duration, Nodes: make([]bool, p.day.Nodes)}
		for _, n := range hit {
			cut.Nodes[n] = true
		}
		if t.Factor < 1 {
			cut.Callers = make([]bool, len(p.callers))
			for _, n := range p.day.some(i, t.Factor, len(p.callers), "cut") {
				cut.Callers[n] = true
			}
			p.net.AddPartition(cut)
			return
		}
		p.net.AddPartition(cut)
		each(t.At, func(s *server) { p.silent(s, true) })
		each(t.At+t.Duration, func(s *server) { p.silent(s, false) })
	case ProcessStall:
		each(t.At, func(s *server) { s.stall(t.At + t.Duration) })
	case ClockSkew:
		each(t.At, func(s *server) { s.clock += t.Factor })
		each(t.At+t.Duration, func(s *server) { s.clock -= t.Factor })
	case BlackHole:
		each(t.At, func(s *server) { s.hole = true })
		each(t.At+t.Duration, func(s *server) { s.hole = false })
	case BogusCredit:
		each(t.At, func(s *server) { s.absurd = t.Factor })
		each(t.At+t.Duration, func(s *server) { s.absurd = 0 })
	case Flap:
		for at, on := t.At, false; at < t.At+t.Duration; at, on = at+1000*t.Factor, !on {
			each(at, func(s *server) { p.flap(s, on) })
		}
		each(t.At+t.Duration, func(s *server) { p.flap(s, true) })
	case MessageLoss:
		p.net.AddLoss(network.LossPeriod{From: t.At, To: t.At + t.Duration, Rate: t.Share})
	case EnsembleOutage:
		p.k.After(t.At, func(now float64) { p.list.BeginOutage(now); p.watch() })
		p.k.After(t.At+t.Duration, func(now float64) { p.list.EndOutage(now); p.watch() })
	}
}

// silent keeps the ensemble from hearing of a node, or lets it hear of it again.
func (p *play) silent(s *server, on bool) {
	if on {
		p.list.Disconnect(p.k.Now(), s.no)
	} else if s.up && !s.draining {
		p.list.Join(p.k.Now(), s.no)
	}
	p.watch()
}

// flap takes a node off the list, or puts it back. The node knows nothing of it.
func (p *play) flap(s *server, on bool) {
	if on && s.up && !s.draining {
		p.list.Join(p.k.Now(), s.no)
	} else if !on {
		p.list.Leave(p.k.Now(), s.no)
	}
	p.watch()
}

// watch lets callers hear of what changed on the list.
func (p *play) watch() {
	changes := p.list.Step(p.k.Now())
	for _, c := range changes {
		p.listed[c.Node] = c.Listed
	}
	for _, l := range p.libs {
		if l != nil && len(changes) > 0 {
			l.list()
		}
	}
	if at := p.list.Next(); at < p.until {
		p.k.Set(&p.lists, at)
	} else {
		p.k.Cancel(&p.lists)
	}
}

// stall lets the process of a node stand still until a time. What it is told waits for it.
func (s *server) stall(until float64) {
	if !s.up {
		return
	}
	life := s.life
	s.stalled, s.stallFrom, s.stallTo = true, s.p.k.Now(), until
	s.p.silent(s, true)
	s.p.k.After(until-s.p.k.Now(), func(now float64) {
		if s.life != life || s.stallTo > now {
			return
		}
		s.stalled = false
		s.p.silent(s, false)
		s.step()
	})
}

// excused tells whether a node can't be blamed that there is no answer by the due time: it read the request after that, its
// process stood still when it was due, or its clock says that it is not yet due.
func (s *server) excused(t *try) bool {
	return t.readAt > t.due || t.due+s.p.day.slack() >= s.stallFrom && t.due <= s.stallTo+s.p.day.slack() || t.clock < 0
}
