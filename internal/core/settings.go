package core

import "whinrudder/internal/counters"

// SetCounters lets the core count what becomes of requests, by the place of their class. It must be called before the first
// step.
func (c *Core) SetCounters(counts []*counters.Class) { c.counts = counts }

// told counts an answer.
func (c *Core) told(class int, how Outcome) {
	if class >= len(c.counts) {
		return
	}
	switch k := c.counts[class]; how {
	case Served:
		k.Answered.Add(1)
	case Refused:
		k.Deferred.Add(1)
	default:
		k.Errored.Add(1)
	}
}

// spawn hands a run to the worker pool.
func (c *Core) spawn(r *request) {
	if r.Class < len(c.counts) {
		c.counts[r.Class].Sends.Add(1)
	}
	c.do(Spawn{r.ID, r.Class, r.Body})
}

// retune takes over new settings. What is in hand keeps its class, whatever the new settings say of it.
func (c *Core) retune(r ChangeSettings) {
	if c.kept != nil {
		c.kept = r.KeptClasses
	}
	r.Settings.Classes = c.keyed(r.Settings.Classes)
	c.settings, c.counts = r.Settings, r.Counters
	for _, k := range c.settings.Classes {
		c.recent.keep = max(c.recent.keep, k.Deadline+maxAhead)
	}
	if c.policy == nil {
		return
	}
	s := c.settings
	s.Cold = c.cold
	c.policy.Reconfigure(s, r.NewIndices...)
	for _, i := range r.NewIndices {
		c.trial.DropClass(i)
	}
}
