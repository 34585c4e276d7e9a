// Package clients is a model of those who want payouts: what they ask for, when, of which class and about whom, and whether
// they ask again when nothing came of it. Requests are drawn one by one as time goes on. It knows no clock of its own.
//
// Times are milliseconds, work is milliseconds of a standard core.
package clients

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"whinrudder/internal/emu/workers"
	"whinrudder/internal/vtime"
)

// Class is one class of requests.
type Class struct {
	Name                       string
	Share                      float64
	Aim, Deadline, Worth, Late float64     // Late is the share of the worth that is left after the aim
	Work, Sleep                vtime.Range // of the mean of a day
	Write                      bool        // it must never run twice
}

// Surge is a time of more traffic.
type Surge struct{ From, To, Factor float64 }

// Params describe the clients of a day.
type Params struct {
	Ms       float64 // the last request comes before
	Rate     float64 // requests a millisecond outside of surges
	Surges   []Surge
	Classes  []Class
	Run      []float64 // mean work of a run of each class
	Sleep    []float64
	Read     float64 // work of reading a request
	Spread   float64 // coefficient of variation of the work of one class
	Callers  int
	Subjects int
	Repeats  Repeats
}

// Repeats says how clients ask again for what failed: a person at a counter.
type Repeats struct {
	Share float64     // of failed requests that are asked for again
	After vtime.Range // the time in between
	Most  int         // times that one wish is asked for again
}

// Request is what a client wants.
type Request struct {
	No      int
	Again   int // how often the same was asked for before
	At      float64
	Class   int
	Caller  int
	Subject int
	Coin    float64
	Rank    float64
	KB      float64
	Work    workers.Work
}

// Crowd draws requests.
type Crowd struct {
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
func New(p Params, seed vtime.Seed) *Crowd {
	most := 1.0
	for _, s := range p.Surges {
		most *= max(1, s.Factor)
	}
	v := math.Log(1 + p.Spread*p.Spread)
	return &Crowd{p: p, most: p.Rate * most, seed: seed, thin: seed.Split("thin", 0).Rand(), what: seed.Split("requests", 0).Rand(),
		arrive: distuv.Exponential{Rate: p.Rate * most, Src: seed.Split("arrivals", 0).Rand()},
		long:   distuv.LogNormal{Mu: -v / 2, Sigma: math.Sqrt(v), Src: seed.Split("work", 0).Rand()}}
}

// Next returns the next request; ok is false if there is none before the end.
func (c *Crowd) Next() (q Request, ok bool) {
	for {
		if c.at += c.arrive.Rand(); c.at >= c.p.Ms {
			return q, false
		}
		if c.thin.Float64()*c.most < c.p.Rate*c.surge(c.at) {
			break
		}
	}
	w := c.what
	q = Request{No: c.no, At: c.at, Caller: w.IntN(c.p.Callers), Coin: w.Float64(), Rank: w.Float64(), KB: 22 + 34*w.Float64(),
		Subject: int(float64(c.p.Subjects) * math.Pow(w.Float64(), 3))} // few are far more popular than the rest
	c.no++
	for x := w.Float64(); q.Class < len(c.p.Classes)-1 && x >= c.p.Classes[q.Class].Share; q.Class++ {
		x -= c.p.Classes[q.Class].Share
	}
	q.Work = workers.Work{Read: c.p.Read, Run: c.p.Run[q.Class] * c.long.Rand(), Sleep: c.p.Sleep[q.Class]}
	return q, true
}

// surge returns how many times the usual traffic there is at a time.
func (c *Crowd) surge(at float64) float64 {
	by := 1.0
	for _, s := range c.p.Surges {
		if at >= s.From && at < s.To {
			by *= s.Factor
		}
	}
	return by
}

// Again returns what a client does about a request of which nothing came by a time: it asks again, or ok is false.
func (c *Crowd) Again(q Request, now float64) (next Request, ok bool) {
	r := c.p.Repeats
	if q.Again >= r.Most || now >= c.p.Ms {
		return q, false
	}
	s := c.seed.Split("repeats", q.No).Split("", q.Again)
	if s.Uniform() >= r.Share {
		return q, false
	}
	next = q
	next.At = now + r.After.At(s.Split("after", 0).Uniform())
	if s.Split("held off", 0).Uniform() >= c.surge(next.At) {
		return q, false // what holds first requests off holds those off as well that are asked again
	}
	next.No = repeatsFrom + c.again
	next.Again++
	c.again++
	return next, next.At < c.p.Ms
}
