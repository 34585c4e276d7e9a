// Package workload generates the requests of clients: when each request is made, its class, caller, subject and work,
// and whether the client retries it after a failure. Requests are drawn one by one in order of time. The package has no
// clock.
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
	Share                           float64     // share of all requests
	Aim, Deadline, Worth, LateWorth float64     // LateWorth is the share of the worth of an answer between aim and deadline
	Work, Sleep                     vtime.Range // ranges of the mean work and the wait, each drawn once a day
	Write                           bool        // the request must never run twice
}

// Surge is a period in which the request rate is multiplied by Factor. Factors of overlapping surges multiply.
type Surge struct{ From, To, Factor float64 }

// Params describes the clients of a day.
type Params struct {
	DurationMs    float64 // all requests are made before this time
	Rate          float64 // requests per millisecond outside of surges
	Surges        []Surge
	Classes       []Class
	RunWork       []float64 // mean work of a run, by class
	SleepTime     []float64 // wait of a run off the cores, by class
	ReadWork      float64   // work of reading a request
	WorkCV        float64   // coefficient of variation of the work within a class
	Callers       int       // number of callers
	Subjects      int       // number of subjects that requests are about
	ClientRetries ClientRetries
}

// ClientRetries describes how clients retry a failed request, like a person at a counter. Such a retry is a new
// request; the tries that a caller makes for one request are separate.
type ClientRetries struct {
	Share float64     // share of the failed requests that are retried
	Delay vtime.Range // time from the failure to the retry
	Max   int         // retries after one first request at most
}

// Request is one request of a client.
type Request struct {
	Number     int     // counts from 0; retries count from firstRetryNumber
	RetryCount int     // number of failed requests of which this is the retry; 0: a first request
	At         float64 // time at which it is made
	Class      int
	Caller     int
	Subject    int
	Draw       float64 // from 0 to 1, for the choice of a node
	Rank       float64 // from 0 to 1, the value of Req-Rank
	KB         float64 // size in kilobytes
	Work       workers.Work
}

// Generator draws requests.
type Generator struct {
	p                    Params
	maxRate              float64 // rate if all surges overlapped
	seed                 vtime.Seed
	thinning, attributes *rand.Rand
	interarrival         distuv.Exponential // at maxRate
	workFactor           distuv.LogNormal   // mean 1
	at                   float64            // time of the last candidate arrival
	number               int                // of the next request
	retries              int                // drawn so far
}

// firstRetryNumber is the number of the first retry. Retries have their own range, so that they do not change the
// numbers of other requests.
const firstRetryNumber = 1 << 40

// New returns the generator of the requests of a day. Its random streams depend only on the seed and their purpose.
func New(p Params, seed vtime.Seed) *Generator {
	maxFactor := 1.0
	for _, s := range p.Surges {
		maxFactor *= max(1, s.Factor)
	}
	v := math.Log(1 + p.WorkCV*p.WorkCV)
	return &Generator{p: p, maxRate: p.Rate * maxFactor, seed: seed,
		thinning: seed.Split("thin", 0).Rand(), attributes: seed.Split("requests", 0).Rand(),
		interarrival: distuv.Exponential{Rate: p.Rate * maxFactor, Src: seed.Split("arrivals", 0).Rand()},
		workFactor:   distuv.LogNormal{Mu: -v / 2, Sigma: math.Sqrt(v), Src: seed.Split("work", 0).Rand()}}
}

// Next returns the next first request; ok is false if there are no more before the end of the day. Arrivals are a
// Poisson process of varying rate, drawn by thinning one of the highest rate.
func (g *Generator) Next() (q Request, ok bool) {
	for {
		if g.at += g.interarrival.Rand(); g.at >= g.p.DurationMs {
			return q, false
		}
		if g.thinning.Float64()*g.maxRate < g.p.Rate*g.surgeFactor(g.at) {
			break
		}
	}
	r := g.attributes
	q = Request{Number: g.number, At: g.at, Caller: r.IntN(g.p.Callers), Draw: r.Float64(), Rank: r.Float64(), KB: 22 + 34*r.Float64(),
		Subject: int(float64(g.p.Subjects) * math.Pow(r.Float64(), 3))} // a few subjects are far more popular than the rest
	g.number++
	for x := r.Float64(); q.Class < len(g.p.Classes)-1 && x >= g.p.Classes[q.Class].Share; q.Class++ {
		x -= g.p.Classes[q.Class].Share
	}
	q.Work = workers.Work{Read: g.p.ReadWork, Run: g.p.RunWork[q.Class] * g.workFactor.Rand(), Sleep: g.p.SleepTime[q.Class]}
	return q, true
}

// surgeFactor returns the request rate at a time as a multiple of the rate outside of surges.
func (g *Generator) surgeFactor(at float64) float64 {
	factor := 1.0
	for _, s := range g.p.Surges {
		if at >= s.From && at < s.To {
			factor *= s.Factor
		}
	}
	return factor
}

// Retry returns the retry of a request that has failed at a time; ok is false if its client does not retry.
func (g *Generator) Retry(q Request, now float64) (next Request, ok bool) {
	r := g.p.ClientRetries
	if q.RetryCount >= r.Max || now >= g.p.DurationMs {
		return q, false
	}
	s := g.seed.Split("repeats", q.Number).Split("", q.RetryCount)
	if s.Uniform() >= r.Share {
		return q, false
	}
	next = q
	next.At = now + r.Delay.At(s.Split("after", 0).Uniform())
	if s.Split("held off", 0).Uniform() >= g.surgeFactor(next.At) {
		return q, false // a surge factor below 1 reduces retries like first requests
	}
	next.Number = firstRetryNumber + g.retries
	next.RetryCount++
	g.retries++
	return next, next.At < g.p.DurationMs
}
