// Package clock is the time of a node. It counts in Unix milliseconds from the start of the process, but advances with the
// monotonic clock: when the system's wall clock steps, deadlines and waits remain spans of real time.
package clock

import (
	"math"
	"sync"
	"time"
)

// processStart has a reading of the monotonic clock, on which all times of this package are based.
var processStart = time.Now()

var processStartMs = unixMs(processStart)

func unixMs(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// Now returns the current time in milliseconds.
func Now() float64 { return processStartMs + float64(time.Since(processStart))/1e6 }

// Time converts a time in milliseconds to one for the deadlines of sockets and timers; 0 means no deadline.
func Time(ms float64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration((ms - processStartMs) * 1e6))
}

// Expired returns a time in the past. Set as a deadline, it wakes a goroutine that waits for a socket.
func Expired() time.Time { return processStart.Add(-time.Hour) }

// wall converts the timestamps that other processes take from the system's wall clock.
var wall Converter

// FromUnix converts a timestamp that another process of this machine took from the wall clock a moment ago.
func FromUnix(ms float64) float64 { return wall.Convert(ms, Now(), unixMs(time.Now())) }

const (
	stepToleranceMs = 20    // smaller differences of the two clocks come from slewing and from the measurement
	stepMemoryMs    = 10000 // how long after a step a timestamp from before it may arrive
	maxSteps        = 8     // steps that are remembered
)

// step is a step of the wall clock.
type step struct {
	at       float64 // when it was noticed
	offsetMs float64 // of the wall clock from this clock before it
}

// Converter converts timestamps of the wall clock. It follows the steps of that clock, and remembers them for a while,
// because a timestamp may have been taken before a step and arrive after it. It may be used by several goroutines.
type Converter struct {
	mu       sync.Mutex
	started  bool
	offsetMs float64 // of the wall clock from this clock
	steps    []step  // the latest last
}

// Convert converts a timestamp, given the present readings of this clock and of the wall clock. Of the times that the
// timestamp can stand for it returns the latest that is not in the future, or else the present.
func (c *Converter) Convert(ms, now, wallNow float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follow(now, wallNow-now)
	converted := math.Inf(-1)
	consider := func(offsetMs float64) {
		if t := ms - offsetMs; t <= now {
			converted = max(converted, t)
		}
	}
	consider(c.offsetMs)
	for _, s := range c.steps {
		consider(s.offsetMs)
	}
	if math.IsInf(converted, -1) {
		return now
	}
	return converted
}

// follow notes the present offset, and a step if it differs from the one before.
func (c *Converter) follow(now, offsetMs float64) {
	for len(c.steps) > 0 && now-c.steps[0].at > stepMemoryMs {
		c.steps = c.steps[1:]
	}
	if c.started && math.Abs(offsetMs-c.offsetMs) > stepToleranceMs {
		if len(c.steps) >= maxSteps {
			c.steps = c.steps[1:]
		}
		c.steps = append(c.steps, step{now, c.offsetMs})
	}
	c.started, c.offsetMs = true, offsetMs
}
