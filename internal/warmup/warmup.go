// Package warmup drives what a node learns from other nodes and gives to them: the peer port, the connections to
// donors and the snapshot. It decides nothing: whom to take from is peer.SourceSelection's, what giving may cost peer.Budget's,
// what the donors say together knowledge.Merge's, and what of it holds knowledge.PriorValidator's in the core.
// It never keeps the node from being ready.
package warmup

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/eventlog"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
	"whinrudder/internal/peertls"
	"whinrudder/internal/settings"
)

// Times in milliseconds.
const (
	askFor   = 1000 // the core has told what it knows by then, or the taker is put off
	freshFor = 250  // what the core told serves all takers for so long
	dialFor  = 1000 // a donor that is not connected and welcoming by then has failed
)

// maxTakers bounds the connections of takers at a time, those that are put off included.
const maxTakers = 32

// Host is what the node is to this package.
type Host struct {
	Name string
	// CurrentSettings returns the present settings and the names of the classes, by their places; a place whose class is no more
	// has no name.
	CurrentSettings func() (names []string, s whinrudder.Settings)
	Seed            uint64
	Submit          func(core.Input) // hands something to the core; must not be called from the core
	Log             eventlog.Log
	PendingRequests func() int                              // requests that are owed an answer
	Listen          func(addr string) (net.Listener, error) // of the peer port; nil: the usual
	DiscoverSources func(by float64) ([]string, error)      // addresses of donors among the znodes; nil without an ensemble
}

// WarmUp is this part of one node. Create it with Start.
type WarmUp struct {
	h     Host
	cfg   settings.PeerConfig
	ring  *peertls.Credentials // nil where peers are met in plain text
	l     net.Listener
	over  chan struct{} // closed by EndShutdown
	stop  chan struct{} // closed by BeginShutdown: nothing more is taken
	write chan struct{} // a snapshot is wanted now
	wait  sync.WaitGroup
	ask   sync.Mutex // held while the core is asked: what it tells serves all that wait

	mu       sync.Mutex // of all below
	budget   *peer.Budget
	takers   map[net.Conn]bool
	ready    float64 // when service began; 0: not yet
	warmAt   float64 // when the worker pool is warm at the latest
	leaving  bool
	ended    bool
	report   knowledge.Report
	reportAt float64 // when the core told it; 0: never
}

func now() float64 { return float64(time.Now().UnixNano()) / 1e6 }

func at(ms float64) time.Time { return time.UnixMicro(int64(ms * 1e3)) }

// Start opens the peer port and begins to ask donors. An error means that nothing was started.
func Start(h Host, cfg settings.PeerConfig) (*WarmUp, error) {
	w := &WarmUp{h: h, cfg: cfg, over: make(chan struct{}), stop: make(chan struct{}), write: make(chan struct{}, 1),
		budget: peer.NewBudget(now()), takers: map[net.Conn]bool{}}
	if cfg.CertFile != "" {
		ring, err := peertls.Load(peertls.Files{Cert: cfg.CertFile, Key: cfg.KeyFile, Authority: cfg.AuthorityFile, PeerName: cfg.PeerName})
		if err != nil {
			return nil, err
		}
		w.ring = ring
	}
	if cfg.Listen != "" {
		listen := h.Listen
		if listen == nil {
			listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
		}
		l, err := listen(cfg.Listen)
		if err != nil {
			return nil, err
		}
		w.l = l
		h.Log("peer", "side", "give", "code", "listen", "listen", l.Addr(), "tls", w.ring != nil)
		w.wait.Go(w.accept)
	}
	w.wait.Go(w.learn)
	if cfg.SnapshotFile != "" {
		w.wait.Go(w.snapshots)
	}
	return w, nil
}

// Addr returns the address of the peer port, or an empty one.
func (w *WarmUp) Addr() string {
	if w.l == nil {
		return ""
	}
	return w.l.Addr().String()
}

// Ready notes that the worker pool is up.
func (w *WarmUp) Ready(cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ready = now()
	w.warmAt = w.ready
	if cold {
		_, s := w.h.CurrentSettings()
		w.warmAt += s.Rules.RampTime
	}
}

// Reload reads the keys again. Transfers under way go on with the old ones.
func (w *WarmUp) Reload() {
	if w.ring == nil {
		return
	}
	if err := w.ring.Reload(); err != nil {
		w.h.Log("peer", "code", "keys-faulty", "error", err)
		return
	}
	w.h.Log("peer", "code", "keys-read")
}

// BeginShutdown ends all taking, and tells takers from now on that this node drains. What it knows is kept once more.
func (w *WarmUp) BeginShutdown() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		return
	}
	w.leaving = true
	close(w.stop)
	select {
	case w.write <- struct{}{}:
	default:
	}
}

// EndShutdown closes what is open and waits for the lines that connections leave, until an absolute time.
func (w *WarmUp) EndShutdown(by float64) {
	w.BeginShutdown()
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.ended = true
	close(w.over)
	if w.l != nil {
		w.l.Close()
	}
	for c := range w.takers {
		c.SetDeadline(at(1))
	}
	w.mu.Unlock()
	done := make(chan struct{})
	go func() {
		w.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(at(by))):
	}
}

// known returns what this node would give now. The core is asked at most every freshFor, so that many takers at once
// cost it one export.
func (w *WarmUp) known() (r knowledge.Report, ok bool) {
	w.ask.Lock()
	defer w.ask.Unlock()
	w.mu.Lock()
	t := now()
	if w.reportAt > 0 && t < w.reportAt+freshFor {
		r = w.report.AgedBy(t - w.reportAt)
		w.mu.Unlock()
		return w.dress(r), true
	}
	w.mu.Unlock()
	type told struct {
		k     whinrudder.Knowledge
		known bool
	}
	heard := make(chan told, 1)
	go w.h.Submit(core.QueryKnowledge{Reply: func(k whinrudder.Knowledge, known bool) { heard <- told{k, known} }})
	select {
	case a := <-heard:
		if !a.known {
			return r, false
		}
		names, _ := w.h.CurrentSettings()
		r = knowledge.NewReport(names, a.k)
	case <-time.After(time.Until(at(t + askFor))):
		return r, false
	case <-w.over:
		return r, false
	}
	w.mu.Lock()
	w.report, w.reportAt = r, now()
	w.mu.Unlock()
	return w.dress(r), true
}

// dress adds to a report what it says of the node.
func (w *WarmUp) dress(r knowledge.Report) knowledge.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, s := w.h.CurrentSettings()
	r.Node, r.Cores, r.Draining = w.h.Name, s.Cores, w.leaving
	if w.ready > 0 {
		r.Uptime, r.Warm = now()-w.ready, now() >= w.warmAt
	}
	return r
}

// full tells whether the node is at its limit, by the present report.
func (w *WarmUp) full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, s := w.h.CurrentSettings()
	limit := w.report.Limit.Value * float64(s.Cores)
	return w.reportAt > 0 && limit > 0 && float64(w.h.PendingRequests()) >= limit
}

// snapshots writes what the node knows to its file, now and then and once when it leaves.
func (w *WarmUp) snapshots() {
	for {
		last := false
		select {
		case <-w.over:
			return
		case <-w.write:
			last = true
		case <-time.After(time.Until(at(now() + w.cfg.SnapshotIntervalMs))):
		}
		if r, ok := w.known(); ok && r.Runs() > 0 {
			if err := renameio.WriteFile(w.cfg.SnapshotFile, peer.AppendSnapshot(nil, r, now()), 0o600); err != nil {
				w.h.Log("peer", "side", "snapshot", "code", "write-failed", "error", err)
			} else if last {
				w.h.Log("peer", "side", "snapshot", "code", "written", "runs", r.Runs())
			}
		}
		if last {
			return
		}
	}
}

// former reads what an earlier life of this node left.
func (w *WarmUp) former() (out []knowledge.Report) {
	if w.cfg.SnapshotFile == "" {
		return nil
	}
	text, err := readFile(w.cfg.SnapshotFile)
	if os.IsNotExist(err) {
		w.h.Log("peer", "side", "snapshot", "code", "none")
		return nil
	}
	if err != nil {
		w.h.Log("peer", "side", "snapshot", "code", "unread", "error", err)
		return nil
	}
	r, bad := peer.ReadSnapshot(text, w.h.Name, now())
	if bad != nil {
		w.h.Log("peer", "side", "snapshot", "code", bad.Code, "error", bad.Text)
		return nil
	}
	w.h.Log("peer", "side", "snapshot", "code", "read", "runs", r.Runs())
	return []knowledge.Report{r}
}

// maxSnapshot is the most that a file of this format can hold.
const maxSnapshot = (peer.MaxSections + 3) * (peer.MaxPayloadBytes + 16)

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxSnapshot {
		return nil, fmt.Errorf("%s is no plain file of at most %d bytes", path, maxSnapshot)
	}
	return os.ReadFile(path)
}

// trust is how far others are believed.
func (w *WarmUp) trust() knowledge.TrustParams {
	t := knowledge.DefaultTrustParams
	t.HalfLife, t.MaxAge = w.cfg.HalfLifeMs, w.cfg.MaxAgeMs
	return t
}

// teach merges reports and hands the prior to the core.
func (w *WarmUp) teach(reports []knowledge.Report) {
	if len(reports) == 0 {
		return
	}
	names, s := w.h.CurrentSettings()
	prior, remarks := knowledge.Merge(w.trust(), knowledge.Recipient{ClassNames: names, Settings: s}, reports)
	for _, r := range remarks {
		w.h.Log("prior", r.Pairs()...)
	}
	if prior.Empty() {
		w.h.Log("prior", "code", "empty", "donors", strings.Join(prior.Donors, ","))
		return
	}
	w.h.Submit(core.AdoptPrior{Prior: prior})
}
