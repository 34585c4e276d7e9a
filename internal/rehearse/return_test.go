package rehearse

import (
	"fmt"
	"testing"
	"time"

	lib "github.com/go-zookeeper/zk"

	"whinrudder/internal/membership"
	"whinrudder/internal/zk"
)

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// BenchmarkReturnToEnsemble measures how 300 registrants come back to an ensemble that was away for five seconds, with the spread
// and by the client library's own schedule, as it was before. Once is enough: -benchtime 1x.
func BenchmarkReturnToEnsemble(b *testing.B) {
	const nodes, away, session = 300, 5 * time.Second, 6 * time.Second
	kinds := map[string]func(e *ensemble, i int){
		"spread": func(e *ensemble, i int) {
			r := zk.Register([]string{e.l.Addr().String()}, float64(session.Milliseconds()), "/payout-nodes",
				membership.Entry{Name: fmt.Sprint("n", i)}, nil, func(string, ...any) {})
			b.Cleanup(func() { r.Remove(0) })
		},
		"library": func(e *ensemble, i int) {
			c, _, err := lib.Connect([]string{e.l.Addr().String()}, session, lib.WithLogInfo(false), lib.WithLogger(quiet{}))
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(c.Close)
		},
	}
	for _, kind := range []string{"spread", "library"} {
		b.Run(kind, func(b *testing.B) {
			for range b.N {
				e, err := newEnsemble()
				if err != nil {
					b.Fatal(err)
				}
				defer e.close()
				for i := range nodes {
					kinds[kind](e, i)
				}
				all := func() bool { return len(e.conns) == nodes && len(e.live) == nodes }
				if !e.until(all) {
					b.Fatal("not all have come")
				}
				time.Sleep(session) // they hold
				e.mu.Lock()
				e.tries = nil
				e.mu.Unlock()
				e.step("", "down", "")
				time.Sleep(away)
				e.step("", "up", "")
				up := time.Now()
				if !e.until(all) {
					b.Fatal("not all are back")
				}
				b.ReportMetric(float64(time.Since(up).Milliseconds()), "ms-to-last")
				e.mu.Lock()
				most, i := 0, 0
				for j := range e.tries {
					for e.tries[j].Sub(e.tries[i]) >= 100*time.Millisecond {
						i++
					}
					most = max(most, j-i+1)
				}
				b.ReportMetric(float64(len(e.tries)), "tries")
				b.ReportMetric(float64(most), "most-in-100ms")
				e.mu.Unlock()
			}
		})
	}
}
