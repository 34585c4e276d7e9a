package core

import "whinrudder/internal/counters"

// SetCounters makes the core count the outcomes of requests, by class index. It must be called before the first step.
func (c *Core) SetCounters(counts []*counters.Class) { c.counters = counts }

// countAnswer counts an answer by its outcome.
func (c *Core) countAnswer(class int, outcome Outcome) {
	if class >= len(c.counters) {
		return
	}
	switch k := c.counters[class]; outcome {
	case Served:
		k.Answered.Add(1)
	case Refused:
		k.Deferred.Add(1)
	default:
		k.Errored.Add(1)
	}
}

// spawn starts a run in the worker pool.
func (c *Core) spawn(r *request) {
	if r.Class < len(c.counters) {
		c.counters[r.Class].Sends.Add(1)
	}
	r.maybeRan = true
	c.startsSincePoll++
	c.emit(Spawn{r.ID, r.Class, r.Body})
}

// changeSettings applies new settings. Unfinished requests keep their class, whatever the new settings say about it.
func (c *Core) changeSettings(r ChangeSettings) {
	if c.keptClasses != nil {
		c.keptClasses = r.KeptClasses
	}
	r.Settings.Classes = c.moduleClasses(r.Settings.Classes)
	c.settings, c.counters, c.classNames = r.Settings, r.Counters, r.ClassNames
	c.recentIDs.setLongestWait(longestWait(c.settings.Classes))
	c.wakeups.setHorizon(longestWait(c.settings.Classes))
	c.keys.limitAge(c.now, c.settings.Fresh)
	for _, i := range r.NewIndices {
		c.keys.dropClass(i, c.answerRepeat)
	}
	if c.policy == nil {
		return
	}
	s := c.settings
	s.Cold = c.poolCold
	c.policy.Reconfigure(s, r.NewIndices...)
	for _, i := range r.NewIndices {
		c.priorValidator.DropClass(i)
	}
}

// classesInUse returns the classes of the requests that have no answer or whose run has not ended.
func (c *Core) classesInUse() map[int]bool {
	inUse := map[int]bool{}
	for _, r := range c.requests {
		inUse[r.Class] = true
	}
	return inUse
}
