package warmup

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"whinrudder/internal/clock"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
	"whinrudder/internal/peertls"
)

// fetchPrior fetches reports from the sources once, at the start of the node. The report in the snapshot is used at
// once, and a second time together with the reports of the sources.
func (w *WarmUp) fetchPrior() {
	reports := w.readSnapshot()
	w.submitPrior(reports)
	if !w.cfg.HasDonors() {
		return
	}
	deadline := clock.Now() + w.cfg.FetchTimeoutMs
	addrs := w.sourceAddrs(deadline)
	rng := rand.New(rand.NewPCG(w.host.Seed, 7))
	// Nodes that start at the same time must not all ask the same sources first.
	rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	found := w.fetchReports(peer.NewSourceSelection(addrs, deadline))
	w.host.Log("peer", "side", "take", "code", "over", "donors", len(found), "asked", len(addrs))
	if len(found) > 0 {
		w.submitPrior(append(reports, found...))
	}
}

// sourceAddrs returns the addresses of the sources: those in the operator's file, and those of the znodes. The lookup
// of the znodes ends at the deadline.
func (w *WarmUp) sourceAddrs(deadline float64) []string {
	addrs := append([]string{}, w.cfg.Donors...)
	if w.cfg.Discover && w.host.DiscoverSources != nil {
		found, err := w.host.DiscoverSources(deadline)
		if err != nil {
			w.host.Log("peer", "side", "take", "code", "undiscovered", "error", err)
		}
		addrs = append(addrs, found...)
	}
	others := addrs[:0]
	for _, a := range addrs {
		if a != w.cfg.Listen && a != w.Addr() { // not this node itself
			others = append(others, a)
		}
	}
	return others
}

// sourceEvent is an event of the connection to a source.
type sourceEvent struct {
	addr    string
	kind    peer.Event
	summary peer.Summary     // of a welcome
	retryMs float64          // of a busy source
	report  knowledge.Report // complete, or what was received when the connection ended
	code    string           // log code of the end of the connection; empty: it goes on, or kind reports its end
}

// fetchReports performs the actions of a selection until it has finished, and returns the reports of the sources. It
// returns nil if BeginShutdown is called before.
func (w *WarmUp) fetchReports(selection *peer.SourceSelection) []knowledge.Report {
	events := make(chan sourceEvent)
	finishing := make(chan struct{})
	fetchers := map[string]*fetcher{}
	defer close(finishing) // the remaining fetchers, for example one that still connects, must not block in send
	for {
		actions, finished := selection.Step(clock.Now())
		for _, a := range actions {
			switch f := fetchers[a.Addr]; a.Kind {
			case peer.ActionConnect:
				f = &fetcher{w: w, addr: a.Addr, deadline: selection.Deadline(), events: events, finishing: finishing}
				fetchers[a.Addr] = f
				w.goroutines.Go(f.run)
			case peer.ActionRequest:
				f.requestSections()
			case peer.ActionClose:
				code := "unwanted"
				if clock.Now() >= selection.Deadline() {
					code = "slow"
				}
				f.cancel(code)
			}
		}
		if finished {
			break
		}
		select {
		case e := <-events:
			now := clock.Now()
			switch {
			case e.kind == peer.EventWelcome:
				selection.HandleWelcome(now, e.addr, e.summary)
			case e.kind == peer.EventBusy:
				selection.HandleBusy(now, e.addr, e.retryMs)
			case e.kind == peer.EventComplete:
				selection.HandleReport(e.addr, e.report)
			case e.code != "":
				selection.HandleFailure(e.addr, e.report)
			}
		case <-w.stopFetch:
			for _, f := range fetchers {
				f.cancel("leaving")
			}
			return nil
		case <-time.After(time.Until(clock.Time(selection.NextDeadline(clock.Now())))):
		}
	}
	for _, f := range fetchers {
		f.cancel("enough")
	}
	return selection.Reports()
}

// fetcher fetches the report of one source.
type fetcher struct {
	w         *WarmUp
	addr      string
	deadline  float64
	events    chan<- sourceEvent
	finishing <-chan struct{} // closed when nobody receives events any more

	mu          sync.Mutex // guards the fields below
	conn        net.Conn   // nil before the connection is made
	receiver    *peer.ReceiverConn
	requestedAt float64 // when the sections were requested
	cancelCode  string  // log code of the reason for the cancellation; empty: not cancelled
}

// requestSections sends the request for the sections.
func (f *fetcher) requestSections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestedAt = clock.Now()
	if f.conn != nil && f.cancelCode == "" {
		f.conn.Write(f.receiver.RequestSections()) // the next read returns the error
	}
}

// cancel ends the connection, and with it the goroutine of run. The code is logged as the reason.
func (f *fetcher) cancel(code string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelCode == "" {
		f.cancelCode = code
		if f.conn != nil {
			f.conn.SetWriteDeadline(clock.Time(clock.Now() + 50))
			f.conn.Write(f.receiver.Cancel())
			f.conn.SetDeadline(clock.Expired())
		}
	}
}

// send passes an event to fetchReports.
func (f *fetcher) send(e sourceEvent) {
	e.addr = f.addr
	select {
	case f.events <- e:
	case <-f.finishing:
	}
}

// run fetches the report and logs the result in one line.
func (f *fetcher) run() {
	code, text := f.fetch()
	f.mu.Lock()
	var partial knowledge.Report
	if f.receiver != nil {
		partial, _ = f.receiver.Report()
		partial = partial.AgedBy(clock.Now() - f.requestedAt)
	}
	if f.cancelCode != "" && code != "taken" {
		code, text = f.cancelCode, ""
	}
	if f.conn != nil {
		f.conn.Close()
	}
	f.mu.Unlock()
	f.w.host.Log("peer", "side", "take", "peer", f.addr, "donor", partial.Node, "code", code, "error", text)
	if code != "busy" && code != "taken" { // fetch has sent the events of these two
		f.send(sourceEvent{code: code, report: partial})
	}
}

// fetch drives the connection to its end. It returns the log code of the end, and the error text or further code.
func (f *fetcher) fetch() (code, text string) {
	d := net.Dialer{Deadline: clock.Time(min(f.deadline, clock.Now()+connectTimeoutMs))}
	conn, err := d.Dial("tcp", f.addr)
	if err != nil {
		return "unreached", err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(clock.Time(min(f.deadline, clock.Now()+connectTimeoutMs)))
	if f.w.credentials != nil {
		tlsConn := f.w.credentials.Client(conn)
		if err := tlsConn.Handshake(); err != nil {
			return f.errorCode(err)
		}
		conn = tlsConn
	}
	receiver, hello := peer.NewReceiverConn(f.w.host.Name)
	f.mu.Lock()
	f.conn, f.receiver = conn, receiver
	cancelled := f.cancelCode != ""
	f.mu.Unlock()
	if cancelled {
		return "dropped", ""
	}
	if _, err := conn.Write(hello); err != nil {
		return f.errorCode(err)
	}
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		f.mu.Lock()
		kind, fault := receiver.Feed(buf[:n])
		e := sourceEvent{kind: kind, retryMs: receiver.RetryMs}
		switch kind {
		case peer.EventWelcome:
			e.summary = receiver.Summary()
			if f.cancelCode == "" {
				conn.SetDeadline(clock.Time(f.deadline))
			}
		case peer.EventComplete:
			// The estimates aged in transit, by at most the time since the request.
			e.report, _ = receiver.Report()
			e.report = e.report.AgedBy(clock.Now() - f.requestedAt)
		}
		f.mu.Unlock()
		switch kind {
		case peer.EventWelcome:
			f.send(e)
		case peer.EventComplete:
			f.send(e)
			return "taken", ""
		case peer.EventBusy:
			f.send(e)
			return "busy", receiver.Code
		case peer.EventRefused:
			return "refused", receiver.Code
		}
		if fault != nil {
			return fault.Code, fault.Text
		}
		if err != nil {
			return f.errorCode(err)
		}
	}
}

// errorCode returns the log code and the text of an error of the handshake, of reading or of writing.
func (f *fetcher) errorCode(err error) (code, text string) {
	if code := peertls.ErrorCode(err); code != "" {
		return code, err.Error()
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return "slow", err.Error()
	}
	return "died", err.Error()
}

// FetchReport fetches the present knowledge of one running node until deadline, an absolute time in Unix milliseconds.
// Name is the name that the receiver sends. Without credentials the connection has no TLS. The error is a *peer.Fault
// whose code is the reason.
func FetchReport(addr, name string, credentials *peertls.Credentials, deadline float64) (knowledge.Report, error) {
	fail := func(err error) (knowledge.Report, error) {
		if code := peertls.ErrorCode(err); code != "" {
			return knowledge.Report{}, &peer.Fault{Code: code, Text: err.Error()}
		}
		return knowledge.Report{}, &peer.Fault{Code: "unreached", Text: err.Error()}
	}
	d := net.Dialer{Deadline: clock.Time(deadline)}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return fail(err)
	}
	defer conn.Close()
	conn.SetDeadline(clock.Time(deadline))
	if credentials != nil {
		tlsConn := credentials.Client(conn)
		if err := tlsConn.Handshake(); err != nil {
			return fail(err)
		}
		conn = tlsConn
	}
	receiver, out := peer.NewReceiverConn(name)
	buf := make([]byte, 4096)
	for {
		if len(out) > 0 {
			if _, err := conn.Write(out); err != nil {
				return fail(err)
			}
			out = nil
		}
		n, err := conn.Read(buf)
		event, fault := receiver.Feed(buf[:n])
		switch {
		case event == peer.EventComplete:
			r, _ := receiver.Report()
			return r, nil
		case event == peer.EventBusy, event == peer.EventRefused:
			return knowledge.Report{}, &peer.Fault{Code: receiver.Code, Text: "refused by the node"}
		case fault != nil:
			return knowledge.Report{}, fault
		case event == peer.EventWelcome:
			out = receiver.RequestSections()
		case err != nil:
			return fail(err)
		}
	}
}
