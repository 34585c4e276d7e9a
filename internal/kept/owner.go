package kept

import (
	"errors"
	"sync"
	"time"

	"whinrudder/internal/core"
	"whinrudder/internal/ops"
	"whinrudder/internal/ownership"
	"whinrudder/internal/storage"
)

// Owner has the journal of a node while this process is the one that shall have it. It drives package ownership, which
// decides when that is.
type Owner struct {
	host Host
	open func(now float64) (*Store, *ops.Table, error)
	path string // of the folder, for the socket of operators

	fault string // of the last try, told already; of the goroutine

	mu    sync.Mutex // of what follows
	m     *ownership.Machine
	k     *Store // nil: another process has the journal
	ended bool
	poke  chan struct{}
	over  chan struct{}
	done  chan struct{}
}

// NewOwner returns a holder that opens a journal by open. It must be started.
func NewOwner(host Host, path string, open func(now float64) (*Store, *ops.Table, error)) *Owner {
	return &Owner{host: host, open: open, path: path, poke: make(chan struct{}, 1), over: make(chan struct{}), done: make(chan struct{})}
}

func now() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// Start begins. A process that succeeds no other must have the journal at once, and its table is returned; one that does
// tries for it, and the table comes to the core as AdoptOps.
func (h *Owner) Start(successor bool) (t *ops.Table, err error) {
	if !successor {
		if h.k, t, err = h.open(now()); err != nil {
			return nil, err
		}
		if err := h.k.Start(h.path); err != nil {
			return nil, err
		}
	}
	h.m = ownership.New(!successor)
	go h.run()
	return t, nil
}

// tell lets the machine hear something.
func (h *Owner) tell(what func(m *ownership.Machine)) {
	h.mu.Lock()
	what(h.m)
	h.mu.Unlock()
	select {
	case h.poke <- struct{}{}:
	default:
	}
}

func (h *Owner) run() {
	defer close(h.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		h.mu.Lock()
		do, wake := h.m.NextAction(now()), h.m.WakeAt()
		h.mu.Unlock()
		switch do {
		case ownership.Open:
			h.take()
			continue
		case ownership.Yield:
			h.host.Log("kept", "code", "yielding")
			h.host.Send(core.YieldOps{On: true})
			continue
		case ownership.Resume:
			h.host.Send(core.YieldOps{On: false})
			h.host.Log("kept", "code", "resumed")
			continue
		case ownership.Close:
			h.release()
			continue
		}
		var due <-chan time.Time
		if wake > 0 {
			timer.Reset(time.Until(time.UnixMicro(int64(wake * 1e3))))
			due = timer.C
		}
		select {
		case <-h.poke:
		case <-due:
		case <-h.over:
			return
		}
	}
}

// take tries for the journal.
func (h *Owner) take() {
	k, t, err := h.open(now())
	if err == nil {
		if err = k.Start(h.path); err != nil {
			k.j.Close()
		}
	}
	if err != nil && !errors.Is(err, storage.ErrInUse) && err.Error() != h.fault { // once, however often it is tried
		h.fault = err.Error()
		h.host.Log("kept", "code", "unopened", "error", err)
	}
	h.mu.Lock()
	if err == nil && h.ended {
		h.mu.Unlock()
		k.Shutdown(now())
		return
	}
	if err == nil {
		h.k = k
	}
	h.m.Opened(now(), err == nil)
	h.mu.Unlock()
	if err == nil {
		h.host.Send(core.AdoptOps{Table: t})
	}
}

// release lets the journal go: nothing of it is in hand.
func (h *Owner) release() {
	h.mu.Lock()
	k := h.k
	h.k = nil
	h.mu.Unlock()
	if k != nil {
		k.Shutdown(now() + releaseFor)
		<-k.done
	}
	h.host.Log("kept", "code", "released")
	h.tell(func(m *ownership.Machine) { m.Closed(now()) })
}

// releaseFor is how long the close of a journal may take before that is logged, in milliseconds.
const releaseFor = 1000

// HandleOutput takes an output of the core that is for the journal.
func (h *Owner) HandleOutput(o core.Output) {
	if _, ok := o.(core.OpsReleased); ok {
		h.tell((*ownership.Machine).Released)
		return
	}
	h.mu.Lock()
	k := h.k
	h.mu.Unlock()
	if k != nil {
		k.HandleOutput(o)
	}
}

// Ready does nothing here, and neither do Reload and BeginShutdown: the node still answers the requests that it has read,
// and it needs the journal for that.
func (h *Owner) Ready(bool)            {}
func (h *Owner) Reload()               {}
func (h *Owner) BeginShutdown(float64) {}

// SuccessorChanged tells that another process of the node takes over, or is lost.
func (h *Owner) SuccessorChanged(on bool) {
	h.tell(func(m *ownership.Machine) { m.SetSuccessorServing(on) })
}

// EndShutdown writes what is left, and ends a try or a close that is under way, as far as there is time.
func (h *Owner) EndShutdown(by float64) {
	h.mu.Lock()
	h.ended = true
	k := h.k
	h.mu.Unlock()
	close(h.over)
	if k != nil {
		k.Shutdown(by)
	}
	late := time.NewTimer(time.Until(time.UnixMicro(int64(by * 1e3))))
	defer late.Stop()
	select {
	case <-h.done:
	case <-late.C:
	}
}
