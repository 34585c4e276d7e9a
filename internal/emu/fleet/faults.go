package fleet

import (
	"whinrudder/internal/emu/network"
)

// scheduleFault sets up a fault. Bursts are part of the workload.
func (sim *simulation) scheduleFault(i int, t Fault) {
	targets := sim.day.chooseTargets(i, t.Share, sim.day.Nodes, "trouble")
	atTargets := func(at float64, do func(s *server)) {
		sim.kernel.After(at, func(float64) {
			for _, n := range targets {
				do(sim.servers[n])
			}
		})
	}
	switch t.Kind {
	case Crash:
		atTargets(t.At, func(s *server) { s.kill("crashed") })
		atTargets(t.At+t.Duration, func(s *server) {
			if !s.up {
				s.start(true)
			}
		})
	case Slowdown:
		setSlowdown := func(by float64) func(*server) {
			return func(s *server) {
				if s.slowdown = by; s.pool != nil {
					s.pool.SetSlowdown(by)
				}
			}
		}
		atTargets(t.At, setSlowdown(t.Factor))
		atTargets(t.At+t.Duration, setSlowdown(1))
	case PoolPause:
		setPaused := func(on bool) func(*server) {
			return func(s *server) {
				if s.pool != nil {
					s.pool.SetPaused(on)
				}
			}
		}
		atTargets(t.At, setPaused(true))
		atTargets(t.At+t.Duration, setPaused(false))
	case Deploy:
		for j, n := range targets {
			sim.kernel.After(t.At+t.Duration*float64(j)/float64(len(targets)), func(float64) { sim.servers[n].drain() })
		}
	case RetryStorm, LimitRetries, HonorCredit:
		for _, n := range sim.day.chooseTargets(i, t.Share, len(sim.callers), t.Kind.String()) {
			c := sim.callers[n]
			sim.kernel.After(t.At, func(float64) {
				switch t.Kind {
				case RetryStorm:
					c.MaxTries, c.HonorsCredit, c.RetryBudget, c.BackoffBase = 0, false, 0, 0
				case LimitRetries:
					c.MaxTries, c.RetryBudget = 3, t.Factor
				case HonorCredit:
					c.HonorsCredit = true
				}
			})
			sim.kernel.After(t.At+t.Duration, func(float64) { c.Behavior = sim.day.Callers[n] })
		}
	case Partition:
		partition := network.Partition{From: t.At, To: t.At + t.Duration, Nodes: make([]bool, sim.day.Nodes)}
		for _, n := range targets {
			partition.Nodes[n] = true
		}
		if t.Factor < 1 {
			partition.Callers = make([]bool, len(sim.callers))
			for _, n := range sim.day.chooseTargets(i, t.Factor, len(sim.callers), "cut") {
				partition.Callers[n] = true
			}
			sim.net.AddPartition(partition)
			return
		}
		sim.net.AddPartition(partition)
		atTargets(t.At, func(s *server) { sim.setDisconnected(s, true) })
		atTargets(t.At+t.Duration, func(s *server) { sim.setDisconnected(s, false) })
	case ProcessStall:
		atTargets(t.At, func(s *server) { s.stall(t.At + t.Duration) })
	case ClockSkew:
		atTargets(t.At, func(s *server) { s.clockSkew += t.Factor })
		atTargets(t.At+t.Duration, func(s *server) { s.clockSkew -= t.Factor })
	case BlackHole:
		atTargets(t.At, func(s *server) { s.blackHole = true })
		atTargets(t.At+t.Duration, func(s *server) { s.blackHole = false })
	case BogusCredit:
		atTargets(t.At, func(s *server) { s.bogusCredit = t.Factor })
		atTargets(t.At+t.Duration, func(s *server) { s.bogusCredit = 0 })
	case Flap:
		for at, on := t.At, false; at < t.At+t.Duration; at, on = at+1000*t.Factor, !on {
			atTargets(at, func(s *server) { sim.setListed(s, on) })
		}
		atTargets(t.At+t.Duration, func(s *server) { sim.setListed(s, true) })
	case MessageLoss:
		sim.net.AddLoss(network.LossPeriod{From: t.At, To: t.At + t.Duration, Rate: t.Share})
	case EnsembleOutage:
		sim.kernel.After(t.At, func(now float64) { sim.ensemble.BeginOutage(now); sim.notifyCallers() })
		sim.kernel.After(t.At+t.Duration, func(now float64) { sim.ensemble.EndOutage(now); sim.notifyCallers() })
	}
}

// setDisconnected stops or resumes the heartbeats of a node to the ensemble.
func (sim *simulation) setDisconnected(s *server, disconnected bool) {
	if disconnected {
		sim.ensemble.Disconnect(sim.kernel.Now(), s.index)
	} else if s.up && !s.draining {
		sim.ensemble.Join(sim.kernel.Now(), s.index)
	}
	sim.notifyCallers()
}

// setListed adds a node to the list or removes it, without the knowledge of the node.
func (sim *simulation) setListed(s *server, listed bool) {
	if listed && s.up && !s.draining {
		sim.ensemble.Join(sim.kernel.Now(), s.index)
	} else if !listed {
		sim.ensemble.Leave(sim.kernel.Now(), s.index)
	}
	sim.notifyCallers()
}

// notifyCallers applies the changes of the list that are due, and sets the timer for the next ones.
func (sim *simulation) notifyCallers() {
	changes := sim.ensemble.Step(sim.kernel.Now())
	for _, c := range changes {
		sim.listed[c.Node] = c.Listed
	}
	for _, l := range sim.libraries {
		if l != nil && len(changes) > 0 {
			l.updateList()
		}
	}
	if at := sim.ensemble.Next(); at < sim.until {
		sim.kernel.Set(&sim.ensembleTimer, at)
	} else {
		sim.kernel.Cancel(&sim.ensembleTimer)
	}
}

// stall stops the process of a node until a time. Its inputs are queued meanwhile.
func (s *server) stall(until float64) {
	if !s.up {
		return
	}
	incarnation := s.incarnation
	s.stalled, s.stallFrom, s.stallTo = true, s.sim.kernel.Now(), until
	s.sim.setDisconnected(s, true)
	s.sim.kernel.After(until-s.sim.kernel.Now(), func(now float64) {
		if s.incarnation != incarnation || s.stallTo > now {
			return
		}
		s.stalled = false
		s.sim.setDisconnected(s, false)
		s.step()
	})
}

// excusesLate reports whether a late answer to a try breaks no rule: the node read the request after its due time, its
// process was stalled when it was due, or its clock was behind when it read the request.
func (s *server) excusesLate(t *try) bool {
	return t.readAt > t.due || t.due+s.sim.day.answerSlack() >= s.stallFrom && t.due <= s.stallTo+s.sim.day.answerSlack() || t.clockSkew < 0
}
