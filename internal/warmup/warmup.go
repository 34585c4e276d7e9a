// Package warmup does the I/O of the exchange of learned state between nodes: the peer port, the connections to sources
// and the snapshot. The decisions are made elsewhere: peer.SourceSelection selects the sources, peer.Budget limits what
// serving receivers may cost, knowledge.Merge combines the reports of several sources to a prior, and the core checks
// that prior with knowledge.PriorValidator. A node never waits for this package before it is ready.
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
	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/eventlog"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
	"whinrudder/internal/peertls"
	"whinrudder/internal/settings"
)

// Time limits.
const (
	queryTimeoutMs   = 1000 // if the core does not answer a query within this time, the receiver is asked to retry
	reportTTLMs      = 250  // an answer of the core is reused for all receivers during this time
	connectTimeoutMs = 1000 // a source that has not sent its welcome within this time has failed
)

// maxReceivers limits the concurrent connections of receivers, including those that are asked to retry.
const maxReceivers = 32

// Host is the interface of this package to its node.
type Host struct {
	Name string
	// CurrentSettings returns the present settings and the names of the classes by class index. An index whose class
	// was removed has an empty name.
	CurrentSettings func() (names []string, s whinrudder.Settings)
	Seed            uint64           // seed of the order in which sources are asked
	Submit          func(core.Input) // passes an input to the core; must not be called from the core
	Log             eventlog.Log
	PendingRequests func() int                              // returns the number of requests that are not answered yet
	Listen          func(addr string) (net.Listener, error) // opens the peer port; nil: net.Listen
	// DiscoverSources returns the addresses of sources from the znodes, until an absolute time in Unix milliseconds. It
	// is nil without an ensemble.
	DiscoverSources func(deadline float64) ([]string, error)
}

// WarmUp exchanges learned state with other nodes on behalf of one node. Create it with Start.
type WarmUp struct {
	host        Host
	cfg         settings.PeerConfig
	credentials *peertls.Credentials // nil: connections without TLS
	listener    net.Listener         // the peer port; nil: none
	ended       chan struct{}        // closed by EndShutdown
	stopFetch   chan struct{}        // closed by BeginShutdown: fetching stops
	writeNow    chan struct{}        // requests the last snapshot
	goroutines  sync.WaitGroup
	queryMu     sync.Mutex // held during a query of the core, so that its answer serves all callers that wait

	mu        sync.Mutex // guards the fields below
	budget    *peer.Budget
	receivers map[net.Conn]bool // open connections of receivers
	readyAt   float64           // when service began; 0: not yet
	warmAt    float64           // when the worker pool is warm at the latest
	draining  bool              // set by BeginShutdown
	shutDown  bool              // set by EndShutdown
	report    knowledge.Report  // last answer of the core
	reportAt  float64           // time of that answer; 0: none yet
}

// Start opens the peer port and starts to fetch from sources. On an error nothing was started.
func Start(h Host, cfg settings.PeerConfig) (*WarmUp, error) {
	w := &WarmUp{host: h, cfg: cfg, ended: make(chan struct{}), stopFetch: make(chan struct{}),
		writeNow: make(chan struct{}, 1), budget: peer.NewBudget(clock.Now()),
		receivers: map[net.Conn]bool{}}
	if cfg.CertFile != "" {
		credentials, err := peertls.Load(peertls.Files{Cert: cfg.CertFile, Key: cfg.KeyFile,
			Authority: cfg.AuthorityFile, PeerName: cfg.PeerName})
		if err != nil {
			return nil, err
		}
		w.credentials = credentials
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
		w.listener = l
		h.Log("peer", "side", "give", "code", "listen", "listen", l.Addr(), "tls", w.credentials != nil)
		w.goroutines.Go(w.accept)
	}
	w.goroutines.Go(w.fetchPrior)
	if cfg.SnapshotFile != "" {
		w.goroutines.Go(w.writeSnapshots)
	}
	return w, nil
}

// Addr returns the address of the peer port, or an empty string if there is none.
func (w *WarmUp) Addr() string {
	if w.listener == nil {
		return ""
	}
	return w.listener.Addr().String()
}

// Ready records that the worker pool is up. A cold pool counts as warm after the ramp time of the settings.
func (w *WarmUp) Ready(cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readyAt = clock.Now()
	w.warmAt = w.readyAt
	if cold {
		_, s := w.host.CurrentSettings()
		w.warmAt += s.Rules.RampTime
	}
}

// Reload reads the TLS files again. Transfers in progress go on with the old ones.
func (w *WarmUp) Reload() {
	if w.credentials == nil {
		return
	}
	if err := w.credentials.Reload(); err != nil {
		w.host.Log("peer", "code", "keys-faulty", "error", err)
		return
	}
	w.host.Log("peer", "code", "keys-read")
}

// BeginShutdown stops fetching, requests a last snapshot, and from now on refuses receivers because the node is
// draining.
func (w *WarmUp) BeginShutdown() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining {
		return
	}
	w.draining = true
	close(w.stopFetch)
	select {
	case w.writeNow <- struct{}{}:
	default:
	}
}

// EndShutdown closes the peer port and all connections, and waits until their ends are logged, at most until deadline,
// an absolute time in Unix milliseconds.
func (w *WarmUp) EndShutdown(deadline float64) {
	w.BeginShutdown()
	w.mu.Lock()
	if w.shutDown {
		w.mu.Unlock()
		return
	}
	w.shutDown = true
	close(w.ended)
	if w.listener != nil {
		w.listener.Close()
	}
	for c := range w.receivers {
		c.SetDeadline(clock.Expired())
	}
	w.mu.Unlock()
	done := make(chan struct{})
	go func() {
		w.goroutines.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(clock.Time(deadline))):
	}
}

// currentReport returns the present knowledge of this node. It queries the core at most once per reportTTLMs, so that
// many concurrent receivers cost the core one export.
func (w *WarmUp) currentReport() (r knowledge.Report, ok bool) {
	w.queryMu.Lock()
	defer w.queryMu.Unlock()
	w.mu.Lock()
	now := clock.Now()
	if w.reportAt > 0 && now < w.reportAt+reportTTLMs {
		r = w.report.AgedBy(now - w.reportAt)
		w.mu.Unlock()
		return w.withNodeState(r), true
	}
	w.mu.Unlock()
	type answer struct {
		k     whinrudder.Knowledge
		known bool
	}
	answers := make(chan answer, 1)
	go w.host.Submit(core.QueryKnowledge{Reply: func(k whinrudder.Knowledge, known bool) {
		answers <- answer{k, known}
	}})
	select {
	case a := <-answers:
		if !a.known {
			return r, false
		}
		names, _ := w.host.CurrentSettings()
		r = knowledge.NewReport(names, a.k)
	case <-time.After(time.Until(clock.Time(now + queryTimeoutMs))):
		return r, false
	case <-w.ended:
		return r, false
	}
	w.mu.Lock()
	w.report, w.reportAt = r, clock.Now()
	w.mu.Unlock()
	return w.withNodeState(r), true
}

// withNodeState returns a report with the name, cores, uptime and state of this node filled in.
func (w *WarmUp) withNodeState(r knowledge.Report) knowledge.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, s := w.host.CurrentSettings()
	r.Node, r.Cores, r.Draining = w.host.Name, s.Cores, w.draining
	if w.readyAt > 0 {
		r.Uptime, r.Warm = clock.Now()-w.readyAt, clock.Now() >= w.warmAt
	}
	return r
}

// atLimit reports whether the node has as many pending requests as the concurrency limit of its last report allows.
func (w *WarmUp) atLimit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, s := w.host.CurrentSettings()
	limit := w.report.Limit.Value * float64(s.Cores)
	return w.reportAt > 0 && limit > 0 && float64(w.host.PendingRequests()) >= limit
}

// writeSnapshots writes the knowledge of the node to the snapshot file periodically and once at the shutdown.
func (w *WarmUp) writeSnapshots() {
	for {
		last := false
		select {
		case <-w.ended:
			return
		case <-w.writeNow:
			last = true
		case <-time.After(time.Until(clock.Time(clock.Now() + w.cfg.SnapshotIntervalMs))):
		}
		if r, ok := w.currentReport(); ok && r.Runs() > 0 {
			if err := renameio.WriteFile(w.cfg.SnapshotFile, peer.AppendSnapshot(nil, r, clock.Now()), 0o600); err != nil {
				w.host.Log("peer", "side", "snapshot", "code", "write-failed", "error", err)
			} else if last {
				w.host.Log("peer", "side", "snapshot", "code", "written", "runs", r.Runs())
			}
		}
		if last {
			return
		}
	}
}

// readSnapshot returns the report in the snapshot file that an earlier process of this node wrote, if there is one.
func (w *WarmUp) readSnapshot() (out []knowledge.Report) {
	if w.cfg.SnapshotFile == "" {
		return nil
	}
	text, err := readFile(w.cfg.SnapshotFile)
	if os.IsNotExist(err) {
		w.host.Log("peer", "side", "snapshot", "code", "none")
		return nil
	}
	if err != nil {
		w.host.Log("peer", "side", "snapshot", "code", "unread", "error", err)
		return nil
	}
	r, fault := peer.ReadSnapshot(text, w.host.Name, clock.Now())
	if fault != nil {
		w.host.Log("peer", "side", "snapshot", "code", fault.Code, "error", fault.Text)
		return nil
	}
	w.host.Log("peer", "side", "snapshot", "code", "read", "runs", r.Runs())
	return []knowledge.Report{r}
}

// maxSnapshotBytes is the maximum size of a snapshot file: its format limits the number and the size of the frames.
const maxSnapshotBytes = (peer.MaxSections + 3) * (peer.MaxPayloadBytes + 16)

// readFile reads a regular file of at most maxSnapshotBytes.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxSnapshotBytes {
		return nil, fmt.Errorf("%s is not a regular file of at most %d bytes", path, maxSnapshotBytes)
	}
	return os.ReadFile(path)
}

// trustParams returns the default parameters with the half-life and the maximum age that the operator set.
func (w *WarmUp) trustParams() knowledge.TrustParams {
	t := knowledge.DefaultTrustParams
	t.HalfLife, t.MaxAge = w.cfg.HalfLifeMs, w.cfg.MaxAgeMs
	return t
}

// submitPrior merges reports to a prior and passes it to the core.
func (w *WarmUp) submitPrior(reports []knowledge.Report) {
	if len(reports) == 0 {
		return
	}
	names, s := w.host.CurrentSettings()
	prior, remarks := knowledge.Merge(w.trustParams(), knowledge.Recipient{ClassNames: names, Settings: s}, reports)
	for _, r := range remarks {
		w.host.Log("prior", r.Pairs()...)
	}
	if prior.Empty() {
		w.host.Log("prior", "code", "empty", "donors", strings.Join(prior.Donors, ","))
		return
	}
	w.host.Submit(core.AdoptPrior{Prior: prior})
}
