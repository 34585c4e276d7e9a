package warmup

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
	"whinrudder/internal/peertls"
)

// learn asks the donors once, at the start. What an earlier life left is used at once, and once more beside what the
// others say.
func (w *WarmUp) learn() {
	reports := w.former()
	w.teach(reports)
	if !w.cfg.HasDonors() {
		return
	}
	by := now() + w.cfg.FetchTimeoutMs
	addrs := w.donors(by)
	rng := rand.New(rand.NewPCG(w.h.Seed, 7))
	// Successors that start together must not all ask the same donors first.
	rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	found := w.round(peer.NewSourceSelection(addrs, by))
	w.h.Log("peer", "side", "take", "code", "over", "donors", len(found), "asked", len(addrs))
	if len(found) > 0 {
		w.teach(append(reports, found...))
	}
}

// donors returns the addresses that are to be asked: those that the file names, and those of the znodes.
func (w *WarmUp) donors(by float64) []string {
	addrs := append([]string{}, w.cfg.Donors...)
	if w.cfg.Discover && w.h.DiscoverSources != nil {
		found, err := w.h.DiscoverSources(by)
		if err != nil {
			w.h.Log("peer", "side", "take", "code", "undiscovered", "error", err)
		}
		addrs = append(addrs, found...)
	}
	kept := addrs[:0]
	for _, a := range addrs {
		if a != w.cfg.Listen && a != w.Addr() { // oneself
			kept = append(kept, a)
		}
	}
	return kept
}

// heard is what a connection to a donor tells the round.
type heard struct {
	addr   string
	news   peer.Event
	head   peer.Summary
	retry  float64
	report knowledge.Report
	code   string // the connection ended
}

// round carries out what a round wants until it is over, and returns the reports of the donors.
func (w *WarmUp) round(r *peer.SourceSelection) []knowledge.Report {
	events := make(chan heard)
	quit := make(chan struct{})
	links := map[string]*link{}
	defer close(quit) // links that are left, one that still dials among them, hold up nobody
	for {
		todo, over := r.Step(now())
		for _, d := range todo {
			switch l := links[d.Addr]; d.Kind {
			case peer.ActionConnect:
				l = &link{w: w, addr: d.Addr, by: r.Deadline(), events: events, quit: quit}
				links[d.Addr] = l
				w.wait.Go(l.run)
			case peer.ActionRequest:
				l.take()
			case peer.ActionClose:
				code := "unwanted"
				if now() >= r.Deadline() {
					code = "slow"
				}
				l.drop(code)
			}
		}
		if over {
			break
		}
		select {
		case e := <-events:
			t := now()
			switch {
			case e.news == peer.EventWelcome:
				r.HandleWelcome(t, e.addr, e.head)
			case e.news == peer.EventBusy:
				r.HandleBusy(t, e.addr, e.retry)
			case e.news == peer.EventComplete:
				r.HandleReport(e.addr, e.report)
			case e.code != "":
				r.HandleFailure(e.addr, e.report)
			}
		case <-w.stop:
			for _, l := range links {
				l.drop("leaving")
			}
			return nil
		case <-time.After(time.Until(at(r.NextDeadline(now())))):
		}
	}
	for _, l := range links {
		l.drop("enough")
	}
	return r.Reports()
}

// link is one connection to a donor.
type link struct {
	w      *WarmUp
	addr   string
	by     float64
	events chan<- heard
	quit   <-chan struct{}

	mu      sync.Mutex // of all below
	c       net.Conn
	taker   *peer.ReceiverConn
	asked   float64 // when the sections were asked for
	dropped string  // the code of why it was given up
}

// take asks for the sections.
func (l *link) take() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = now()
	if l.c != nil && l.dropped == "" {
		l.c.Write(l.taker.RequestSections()) // an error shows at the next read
	}
}

// drop gives the connection up. Its goroutine ends by it.
func (l *link) drop(code string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dropped == "" {
		l.dropped = code
		if l.c != nil {
			l.c.SetWriteDeadline(at(now() + 50))
			l.c.Write(l.taker.Cancel())
			l.c.SetDeadline(at(1))
		}
	}
}

func (l *link) tell(e heard) {
	e.addr = l.addr
	select {
	case l.events <- e:
	case <-l.quit:
	}
}

// run drives the connection and leaves its one line.
func (l *link) run() {
	code, text := l.talk()
	l.mu.Lock()
	var part knowledge.Report
	if l.taker != nil {
		part, _ = l.taker.Report()
		part = part.AgedBy(now() - l.asked)
	}
	if l.dropped != "" && code != "taken" {
		code, text = l.dropped, ""
	}
	if l.c != nil {
		l.c.Close()
	}
	l.mu.Unlock()
	l.w.h.Log("peer", "side", "take", "peer", l.addr, "donor", part.Node, "code", code, "error", text)
	if code != "busy" && code != "taken" { // those were told when they came
		l.tell(heard{code: code, report: part})
	}
}

// talk returns the code of the end and what there is to say of it.
func (l *link) talk() (code, text string) {
	d := net.Dialer{Deadline: at(min(l.by, now()+dialFor))}
	c, err := d.Dial("tcp", l.addr)
	if err != nil {
		return "unreached", err.Error()
	}
	defer c.Close()
	c.SetDeadline(at(min(l.by, now()+dialFor)))
	if l.w.ring != nil {
		t := l.w.ring.Client(c)
		if err := t.Handshake(); err != nil {
			return l.ended(err)
		}
		c = t
	}
	taker, hello := peer.NewReceiverConn(l.w.h.Name)
	l.mu.Lock()
	l.c, l.taker = c, taker
	gone := l.dropped != ""
	l.mu.Unlock()
	if gone {
		return "dropped", ""
	}
	if _, err := c.Write(hello); err != nil {
		return l.ended(err)
	}
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		l.mu.Lock()
		news, bad := taker.Feed(buf[:n])
		e := heard{news: news, retry: taker.RetryMs}
		switch news {
		case peer.EventWelcome:
			e.head = taker.Summary()
			if l.dropped == "" {
				c.SetDeadline(at(l.by))
			}
		case peer.EventComplete:
			// The request and its answer crossed the net: facts aged by no more than that.
			e.report, _ = taker.Report()
			e.report = e.report.AgedBy(now() - l.asked)
		}
		l.mu.Unlock()
		switch news {
		case peer.EventWelcome:
			l.tell(e)
		case peer.EventComplete:
			l.tell(e)
			return "taken", ""
		case peer.EventBusy:
			l.tell(e)
			return "busy", taker.Code
		case peer.EventRefused:
			return "refused", taker.Code
		}
		if bad != nil {
			return bad.Code, bad.Text
		}
		if err != nil {
			return l.ended(err)
		}
	}
}

// ended is the code of an error of reading or writing.
func (l *link) ended(err error) (code, text string) {
	if code := peertls.ErrorCode(err); code != "" {
		return code, err.Error()
	}
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return "slow", err.Error()
	}
	return "died", err.Error()
}

// FetchReport takes the present knowledge of one running node by an absolute time in Unix milliseconds; without a ring, in plain
// text. A peer.Fault tells by its code why there is none.
func FetchReport(addr, name string, ring *peertls.Credentials, by float64) (knowledge.Report, error) {
	fail := func(err error) (knowledge.Report, error) {
		if code := peertls.ErrorCode(err); code != "" {
			return knowledge.Report{}, &peer.Fault{Code: code, Text: err.Error()}
		}
		return knowledge.Report{}, &peer.Fault{Code: "unreached", Text: err.Error()}
	}
	d := net.Dialer{Deadline: at(by)}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return fail(err)
	}
	defer c.Close()
	c.SetDeadline(at(by))
	if ring != nil {
		t := ring.Client(c)
		if err := t.Handshake(); err != nil {
			return fail(err)
		}
		c = t
	}
	taker, out := peer.NewReceiverConn(name)
	buf := make([]byte, 4096)
	for {
		if len(out) > 0 {
			if _, err := c.Write(out); err != nil {
				return fail(err)
			}
			out = nil
		}
		n, err := c.Read(buf)
		news, bad := taker.Feed(buf[:n])
		switch {
		case news == peer.EventComplete:
			r, _ := taker.Report()
			return r, nil
		case news == peer.EventBusy, news == peer.EventRefused:
			return knowledge.Report{}, &peer.Fault{Code: taker.Code, Text: "refused by the node"}
		case bad != nil:
			return knowledge.Report{}, bad
		case news == peer.EventWelcome:
			out = taker.RequestSections()
		case err != nil:
			return fail(err)
		}
	}
}
