package fleet

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"whinrudder/internal/core"
	"whinrudder/internal/vtime"
)

// window is how long the worst part of a day is, and binFor how finely a day is told.
const (
	windowFor = 10000.0
	binFor    = 500.0
)

// Bin is a part of a day: worth asked for and worth got in time, by when it was asked for.
type Bin struct{ Asked, Got float64 }

// Result is what became of a day, as the operators count.
type Result struct {
	Requests, Tries       int
	Goal                  float64 // 0.6 of the whole, 0.2 of the worst 10 s, 0.2 of the worst class
	Whole                 float64 // worth answered in time over worth asked for, retries credited to the first try
	WorstWindow, WorstAt  float64
	WorstClass            float64
	ByClass               []float64
	Withheld              int     // requests that a caller sent nowhere
	Refused, Failed, Lost int     // tries: turned away, failed, cut off
	Waste                 float64 // work of runs whose answer was of no use, over work of all runs
	Again                 int     // writes that were run for two tries of theirs
	Fell                  int     // nodes that fell
	P50, P99              float64 // milliseconds to the answer of those that were served
	Bins                  []Bin
	Broken                []string // rules that were broken, with the history
	Fired                 uint64
}

// ask is a request with what became of it.
type ask struct {
	request
	write    bool
	tries    int
	runs     int
	tried    []int // nodes, the latest last
	served   float64
	over     bool
	deadline vtime.Timer
}

// reply is what a caller hears of a try.
type reply struct {
	outcome core.Outcome
	load    float64
	wait    float64
	lost    bool // the connection was reset
	refused bool // there was no connection
}

// caller is one client proxy.
type caller struct {
	Habit
	turn int
	seen []view // by node
}

// view is what a caller knows of a node.
type view struct {
	Credit
	away float64 // advice to stay away until
	mean float64 // of latency
}

// play is a day under way.
type play struct {
	day     Day
	make    Make
	k       vtime.Kernel
	network vtime.Seed
	servers []*server
	callers []*caller
	all     map[int]*try // that are not over for all sides
	tries   int

	res     Result
	took    []float64
	started float64 // work of all runs
	useful  float64
	again   int
	fell    int
}

// Play plays a day.
func Play(d Day, make Make) Result {
	p := &play{day: d, make: make, all: map[int]*try{}, network: d.Seed.Split("network", 0)}
	for i := range d.Nodes {
		s := &server{p: p, no: i, params: d.machine(i), crawl: 1}
		p.servers = append(p.servers, s)
		s.start(d.ColdFleet)
		s.listed = true
		s.trust++ // the first nodes are on the list from the beginning
	}
	for _, h := range d.Callers {
		p.callers = append(p.callers, &caller{Habit: h, seen: newViews(d.Nodes)})
	}
	for i, t := range d.Troubles {
		p.trouble(i, t)
	}
	requests := d.draw()
	p.res.Requests = len(requests)
	p.res.Bins = append(p.res.Bins, slices.Repeat([]Bin{{}}, int(math.Ceil(d.Ms/binFor)))...)
	var asks []*ask
	for _, q := range requests {
		asks = append(asks, &ask{request: q, write: d.Classes[q.class].Write})
	}
	var next vtime.Timer
	i := 0
	next.Do = func(float64) {
		p.begin(asks[i])
		if i++; i < len(asks) {
			p.k.Set(&next, asks[i].at)
		}
	}
	if len(asks) > 0 {
		p.k.Set(&next, asks[0].at)
	}
	longest := 0.0
	for _, c := range d.Classes {
		longest = max(longest, c.Deadline)
	}
	p.k.Run(d.Ms + longest + 1000)
	p.end(asks)
	return p.res
}

func newViews(n int) []view {
	v := make([]view, n)
	for i := range v {
		v[i].Value = -1
	}
	return v
}

// delay is how long a message of a try is on its way. It goes by the request, the number of the try and that of the message,
// so that what one policy does shifts nothing for the other requests of a day.
func (t *try) delay() float64 {
	t.messages++
	r := t.s.p.network.Split("", t.q.no).Split("", t.nth*64+t.messages)
	return t.s.p.day.Delay.draw(part(r))
}

// part is a number from 0 to 1 that a seed stands for.
type part vtime.Seed

// Float64 makes it a source of one draw.
func (s part) Float64() float64 { return float64(s>>11) / (1 << 53) }

func (p *play) broke(format string, args ...any) {
	if len(p.res.Broken) < 20 {
		p.res.Broken = append(p.res.Broken, fmt.Sprintf(format, args...))
	}
}

// trouble sets up what goes wrong.
func (p *play) trouble(i int, t Trouble) {
	hit := p.day.some(i, t)
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
		each(t.At+t.For, func(s *server) {
			if !s.up {
				s.start(true)
			}
		})
	case Crawl:
		slow := func(by float64) func(*server) {
			return func(s *server) {
				if s.crawl = by; s.pool != nil {
					s.pool.Crawl(by)
				}
			}
		}
		each(t.At, slow(t.Factor))
		each(t.At+t.For, slow(1))
	case Pause:
		hold := func(on bool) func(*server) {
			return func(s *server) {
				if s.pool != nil {
					s.pool.Pause(on)
				}
			}
		}
		each(t.At, hold(true))
		each(t.At+t.For, hold(false))
	case Deploy:
		for j, n := range hit {
			p.k.After(t.At+t.For*float64(j)/float64(len(hit)), func(float64) { p.servers[n].leave() })
		}
	}
}

// begin takes a request of a client.
func (p *play) begin(q *ask) {
	c := p.day.Classes[q.class]
	bin := &p.res.Bins[min(int(q.at/binFor), len(p.res.Bins)-1)]
	bin.Asked += c.Worth
	q.deadline.Do = func(float64) { q.over = true }
	p.k.Set(&q.deadline, q.at+c.Deadline)
	p.send(q)
}

// send makes a try, if there is a node for it.
func (p *play) send(q *ask) {
	c := p.callers[q.caller]
	now := p.k.Now()
	if q.over || c.Tries > 0 && q.tries >= c.Tries {
		return
	}
	n := p.choose(c, q)
	if n < 0 {
		if q.tries == 0 {
			p.res.Withheld++
		}
		return
	}
	q.tries++
	q.tried = append(q.tried, n)
	p.res.Tries++
	class := p.day.Classes[q.class]
	s := p.servers[n]
	t := &try{n: p.tries, nth: q.tries, atNode: true, q: q, s: s, life: s.life, sent: now, due: min(now+class.Deadline*c.Wait, q.at+class.Deadline)}
	p.all[t.n] = t
	p.tries++
	c.seen[n].Out++
	t.wait.Do = func(float64) { p.giveUp(t) }
	p.k.Set(&t.wait, t.due)
	p.k.After(t.delay(), func(float64) { s.arrive(t) })
}

// choose picks a node of the list, or -1.
func (p *play) choose(c *caller, q *ask) int {
	now := p.k.Now()
	best, least := -1, math.Inf(1)
	last := q.tried[len(q.tried)-len(q.tried)%p.day.Nodes:] // once all were tried the list begins anew
	for i := range p.servers {
		n := (c.turn + i) % len(p.servers)
		if c.Choice == ByKey {
			n = (q.subject*7919 + i) % len(p.servers)
		}
		v := &c.seen[n]
		if !p.servers[n].listed || len(last) > 0 && slices.Contains(last, n) || c.Heeds && (v.away > now || !v.Allows(now, q.coin)) {
			continue
		}
		cost := 0.0
		switch c.Choice {
		case Least:
			cost = float64(v.Out)
		case Fastest:
			cost = v.mean
		default:
			cost = float64(i)
		}
		if cost < least {
			best, least = n, cost
		}
		if c.Choice == Round || c.Choice == ByKey || least == 0 && c.Choice == Least {
			break // none that follows is better
		}
	}
	if best >= 0 && c.Choice != ByKey {
		c.turn = (best + 1) % len(p.servers)
	}
	return best
}

// giveUp ends a try whose caller waits no longer.
func (p *play) giveUp(t *try) {
	if t.closed {
		return
	}
	p.close(t)
	p.k.After(p.day.slack(), func(float64) { t.s.gone(t) }) // the node hears of it once the slack is over
	if !t.q.write {
		p.send(t.q) // a write may have run: nothing proves that it did not
	}
}

func (p *play) close(t *try) {
	t.closed = true
	p.k.Cancel(&t.wait)
	p.callers[t.q.caller].seen[t.s.no].Out--
	p.settle(t)
}

// settle lets go of a try once its caller, the node and the worker pool are done with it.
func (p *play) settle(t *try) {
	if t.closed && !t.atNode && !t.running {
		delete(p.all, t.n)
	}
}

// heard takes what a caller hears of a try.
func (p *play) heard(t *try, r reply) {
	if t.closed {
		return
	}
	p.close(t)
	now := p.k.Now()
	v := &p.callers[t.q.caller].seen[t.s.no]
	switch {
	case r.refused:
		p.res.Lost++
		v.away = max(v.away, now+heardFor)
		p.send(t.q)
		return
	case r.lost:
		p.res.Lost++
		v.away = max(v.away, now+heardFor)
		if !t.q.write || !t.read {
			p.send(t.q)
		}
		return
	}
	if r.load >= 0 {
		v.Value, v.Heard = r.load, now
	}
	if v.mean == 0 {
		v.mean = now - t.sent
	}
	v.mean += (now - t.sent - v.mean) / 10
	switch r.outcome {
	case core.Served:
		if q := t.q; !q.over && q.served == 0 {
			q.served, q.over = now, true
			p.useful += q.work.Run
			p.took = append(p.took, now-q.at)
		}
	case core.Refused:
		p.res.Refused++
		v.away = max(v.away, now+r.wait)
		p.send(t.q)
	default:
		p.res.Failed++
		if !t.q.write {
			p.send(t.q)
		}
	}
}

// end counts.
func (p *play) end(asks []*ask) {
	d, r := p.day, &p.res
	asked, got := make([]float64, len(d.Classes)), make([]float64, len(d.Classes))
	for _, q := range asks {
		c := d.Classes[q.class]
		asked[q.class] += c.Worth
		worth := 0.0
		switch took := q.served - q.at; {
		case q.served == 0:
		case took <= c.Aim:
			worth = c.Worth
		case took <= c.Deadline:
			worth = c.Worth * c.Late
		}
		got[q.class] += worth
		r.Bins[min(int(q.at/binFor), len(r.Bins)-1)].Got += worth
	}
	for _, n := range sorted(p.all) {
		t := p.all[n]
		if t.read && !t.answered && !t.gone && t.life == t.s.life {
			p.broke("lost: %s has no answer: %s", t.name(), t.tale())
		}
	}
	sum := func(v []float64) (s float64) {
		for _, x := range v {
			s += x
		}
		return s
	}
	r.Whole, r.WorstClass, r.WorstWindow = sum(got)/max(1e-9, sum(asked)), 1, 1
	for i := range asked {
		share := 1.0
		if asked[i] > 0 {
			share = got[i] / asked[i]
		}
		r.ByClass = append(r.ByClass, share)
		r.WorstClass = min(r.WorstClass, share)
	}
	long := int(windowFor / binFor)
	for i := 0; i+long <= len(r.Bins); i++ {
		a, g := 0.0, 0.0
		for _, b := range r.Bins[i : i+long] {
			a, g = a+b.Asked, g+b.Got
		}
		if a > 0 && g/a < r.WorstWindow {
			r.WorstWindow, r.WorstAt = g/a, float64(i)*binFor
		}
	}
	r.Goal = 0.6*r.Whole + 0.2*r.WorstWindow + 0.2*r.WorstClass
	r.Again, r.Fell, r.Fired = p.again, p.fell, p.k.Fired()
	if p.started > 0 {
		r.Waste = max(0, 1-p.useful/p.started)
	}
	if slices.Sort(p.took); len(p.took) > 0 {
		r.P50, r.P99 = stat.Quantile(0.5, stat.Empirical, p.took, nil), stat.Quantile(0.99, stat.Empirical, p.took, nil)
	}
}

// sorted lists the numbers of tries in order.
func sorted(all map[int]*try) (out []int) {
	for n := range all {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}
