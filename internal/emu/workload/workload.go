// Package workload is a model of those who want payouts: what they ask for, when, of which class and about whom, and whether
// they ask again when nothing came of it. Requests are drawn one by one as time goes on. It knows no clock of its own.
//
// Times are milliseconds, work is milliseconds of a standard core.
package workload

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"whinrudder/internal/emu/workers"
	"whinrudder/internal/vtime"
)

// Class is one class of requests.
type Class struct {
	Name                            string
	Share                           float64
	Aim, Deadline, Worth, LateWorth float64     // LateWorth is the share of the worth that is left after the aim
	Work, Sleep                     vtime.Range // of the mean of a day
	Write                           bool        // it must never run twice
}

// Surge is a time of more traffic.
type Surge struct{ From, To, Factor float64 }

// Params describe the clients of a day.
type Params struct {
	DurationMs    float64 // the last request comes before
	Rate          float64 // requests a millisecond outside of surges
	Surges        []Surge
	Classes       []Class
	RunWork       []float64 // mean work of a run of each class
	SleepTime     []float64
	ReadWork      float64 // work of reading a request
	WorkCV        float64 // coefficient of variation of the work of one class
	Callers       int
	Subjects      int
	ClientRetries ClientRetries
}

// ClientRetries says how clients ask again for what failed: a person at a counter.
type ClientRetries struct {
	Share float64     // of failed requests that are asked for again
	Delay vtime.Range // the time in between
	Max   int         // times that one wish is asked for again
}

// Request is what a client wants.
type Request struct {
	Number     int
	RetryCount int // how often the same was asked for before
	At         float64
	Class      int
	Caller     int
	Subject    int
	Draw       float64
	Rank       float64
	KB         float64
	Work       workers.Work
}

// Generator draws requests.
type Generator struct {
	p          Params
	most       float64
	seed       vtime.Seed
	thin, what *rand.Rand
	arrive     distuv.Exponential
	long       distuv.LogNormal
	at         float64
	no         int
	again      int // of requests that are repeats
}

// repeatsFrom is the first number of repeats: they are numbered apart, so that they shift no other request.
const repeatsFrom = 1 << 40

// New returns the clients of a day. Its streams hang on nothing but the seed and the purpose.
func New(p Params, seed vtime.Seed) *Generator {
	most := 1.0
	for _, s := range p.Surges {
		most *= max(1, s.Factor)
	}
	v := math.Log(1 + p.WorkCV*p.WorkCV)
	return &Generator{p: p, most: p.Rate * most, seed: seed, thin: seed.Split("thin", 0).Rand(), what: seed.Split("requests", 0).Rand(),
		arrive: distuv.Exponential{Rate: p.Rate * most, Src: seed.Split("arrivals", 0).Rand()},
		long:   distuv.LogNormal{Mu: -v / 2, Sigma: math.Sqrt(v), Src: seed.Split("work", 0).Rand()}}
}

// Next returns the next request; ok is false if there is none before the end.
func (c *Generator) Next() (q Request, ok bool) {
	for {
		if c.at += c.arrive.Rand(); c.at >= c.p.DurationMs {
			return q, false
		}
		if c.thin.Float64()*c.most < c.p.Rate*c.surge(c.at) {
			break
		}
	}
	w := c.what
	q = Request{Number: c.no, At: c.at, Caller: w.IntN(c.p.Callers), Draw: w.Float64(), Rank: w.Float64(), KB: 22 + 34*w.Float64(),
		Subject: int(float64(c.p.Subjects) * math.Pow(w.Float64(), 3))} // few are far more popular than the rest
	c.no++
	for x := w.Float64(); q.Class < len(c.p.Classes)-1 && x >= c.p.Classes[q.Class].Share; q.Class++ {
		x -= c.p.Classes[q.Class].Share
	}
	q.Work = workers.Work{Read: c.p.ReadWork, Run: c.p.RunWork[q.Class] * c.long.Rand(), Sleep: c.p.SleepTime[q.Class]}
	return q, true
}

// surge returns how many times the usual traffic there is at a time.
func (c *Generator) surge(at float64) float64 {
	by := 1.0
	for _, s := range c.p.Surges {
		if at >= s.From && at < s.To {
			by *= s.Factor
		}
	}
	return by
}

// Retry returns what a client does about a request of which nothing came by a time: it asks again, or ok is false.
func (c *Generator) Retry(q Request, now float64) (next Request, ok bool) {
	r := c.p.ClientRetries
	if q.RetryCount >= r.Max || now >= c.p.DurationMs {
		return q, false
	}
	s := c.seed.Split("repeats", q.Number).Split("", q.RetryCount)
	if s.Uniform() >= r.Share {
		return q, false
	}
	next = q
	next.At = now + r.Delay.At(s.Split("after", 0).Uniform())
	if s.Split("held off", 0).Uniform() >= c.surge(next.At) {
		return q, false // what holds first requests off holds those off as well that are asked again
	}
	next.Number = repeatsFrom + c.again
	next.RetryCount++
	c.again++
	return next, next.At < c.p.DurationMs
}
