package kept

import (
	"errors"
	"sync"
	"time"

	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/ops"
	"whinrudder/internal/ownership"
	"whinrudder/internal/storage"
)

// Owner opens the journal of a node when this process becomes its owner, and closes it when another process takes over.
// Package ownership decides when that happens.
type Owner struct {
	host Host
	open func(now float64) (*Store, *ops.Table, error)
	path string // directory of the journal, for the operators' socket

	lastFault string // error text that was logged last for a failed open; used only by the goroutine of run

	mu           sync.Mutex // guards machine, store and shuttingDown
	machine      *ownership.Machine
	store        *Store // nil: this process does not own the journal
	shuttingDown bool
	wake         chan struct{} // signals a change of machine to run
	stop         chan struct{} // closed by EndShutdown
	done         chan struct{} // closed when run returns
}

// NewOwner returns an Owner that opens the journal with the function open. The caller must call Start.
func NewOwner(host Host, path string, open func(now float64) (*Store, *ops.Table, error)) *Owner {
	return &Owner{host: host, open: open, path: path, wake: make(chan struct{}, 1), stop: make(chan struct{}),
		done: make(chan struct{})}
}

// Start starts the owner. A process without a predecessor must get the journal at once, and Start returns its table. A
// successor retries until it gets the journal, and the table is sent to the core as AdoptOps.
func (o *Owner) Start(successor bool) (table *ops.Table, err error) {
	if !successor {
		if o.store, table, err = o.open(clock.Now()); err != nil {
			return nil, err
		}
		if err := o.store.Start(o.path); err != nil {
			return nil, err
		}
	}
	o.machine = ownership.New(!successor)
	go o.run()
	return table, nil
}

// notify applies an event to the machine and wakes run.
func (o *Owner) notify(apply func(machine *ownership.Machine)) {
	o.mu.Lock()
	apply(o.machine)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run executes the machine's actions until EndShutdown.
func (o *Owner) run() {
	defer close(o.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		o.mu.Lock()
		action, wakeAtMs := o.machine.NextAction(clock.Now()), o.machine.WakeAt()
		o.mu.Unlock()
		switch action {
		case ownership.Open:
			o.tryOpen()
			continue
		case ownership.Yield:
			o.host.Log("kept", "code", "yielding")
			o.host.Send(core.YieldOps{On: true})
			continue
		case ownership.Resume:
			o.host.Send(core.YieldOps{On: false})
			o.host.Log("kept", "code", "resumed")
			continue
		case ownership.Close:
			o.closeJournal()
			continue
		}
		var wakeC <-chan time.Time
		if wakeAtMs > 0 {
			timer.Reset(time.Until(clock.Time(wakeAtMs)))
			wakeC = timer.C
		}
		select {
		case <-o.wake:
		case <-wakeC:
		case <-o.stop:
			return
		}
	}
}

// tryOpen tries to open the journal.
func (o *Owner) tryOpen() {
	store, table, err := o.open(clock.Now())
	if err == nil {
		if err = store.Start(o.path); err != nil {
			store.j.Close()
		}
	}
	// An error that a retry repeats is not logged again.
	if err != nil && !errors.Is(err, storage.ErrInUse) && err.Error() != o.lastFault {
		o.lastFault = err.Error()
		o.host.Log("kept", "code", "unopened", "error", err)
	}
	o.mu.Lock()
	if err == nil && o.shuttingDown {
		o.mu.Unlock()
		store.Shutdown(clock.Now())
		return
	}
	if err == nil {
		o.store = store
	}
	o.machine.Opened(clock.Now(), err == nil)
	o.mu.Unlock()
	if err == nil {
		o.host.Send(core.AdoptOps{Table: table})
	}
}

// closeJournal closes the journal. No operation is in progress then.
func (o *Owner) closeJournal() {
	o.mu.Lock()
	store := o.store
	o.store = nil
	o.mu.Unlock()
	if store != nil {
		store.Shutdown(clock.Now() + closeTimeoutMs)
		<-store.written
	}
	o.host.Log("kept", "code", "released")
	o.notify(func(machine *ownership.Machine) { machine.Closed(clock.Now()) })
}

// closeTimeoutMs is the time after which a journal that is still being closed is logged.
const closeTimeoutMs = 1000

// HandleOutput handles an output of the core that concerns the journal and ignores all others.
func (o *Owner) HandleOutput(output core.Output) {
	if _, ok := output.(core.OpsReleased); ok {
		o.notify((*ownership.Machine).Released)
		return
	}
	o.mu.Lock()
	store := o.store
	o.mu.Unlock()
	if store != nil {
		store.HandleOutput(output)
	}
}

// Ready does nothing, and neither do Reload and BeginShutdown: during a shutdown the node still answers the requests
// that it has read, and that needs the journal.
func (o *Owner) Ready(bool)            {}
func (o *Owner) Reload()               {}
func (o *Owner) BeginShutdown(float64) {}

// SuccessorChanged reports that another process of the node is taking over (on), or that it was lost.
func (o *Owner) SuccessorChanged(on bool) {
	o.notify(func(machine *ownership.Machine) { machine.SetSuccessorServing(on) })
}

// EndShutdown writes the queued records and waits for an open or close in progress. It stops waiting at deadlineMs, in
// Unix milliseconds.
func (o *Owner) EndShutdown(deadlineMs float64) {
	o.mu.Lock()
	o.shuttingDown = true
	store := o.store
	o.mu.Unlock()
	close(o.stop)
	if store != nil {
		store.Shutdown(deadlineMs)
	}
	timer := time.NewTimer(time.Until(clock.Time(deadlineMs)))
	defer timer.Stop()
	select {
	case <-o.done:
	case <-timer.C:
	}
}
