package kept

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"whinrudder/internal/core"
	"whinrudder/internal/ops"
)

// The end of a process waits for a try for the journal that is under way, and for no longer than its time.
func TestEndedWaitsForATry(t *testing.T) {
	defer goleak.VerifyNone(t)
	begun, free := make(chan bool, 9), make(chan bool)
	var over atomic.Bool
	h := NewOwner(Host{Send: func(core.Input) {}, Log: func(string, ...any) {}}, t.TempDir(), func(float64) (*Store, *ops.Table, error) {
		begun <- true
		<-free
		time.Sleep(50 * time.Millisecond)
		over.Store(true)
		return nil, nil, errors.New("a disk that takes its time")
	})
	if _, err := h.Start(true); err != nil {
		t.Fatal(err)
	}
	<-begun
	close(free)
	h.EndShutdown(now() + 20e3)
	if !over.Load() {
		t.Error("the end did not wait")
	}
}
