package rehearse

import (
	"fmt"
	"testing"
	"time"

	lib "github.com/go-zookeeper/zk"

	"whinrudder/internal/membership"
	"whinrudder/internal/zk"
)

// discardLogger is a logger for the client library that writes nothing.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// BenchmarkReconnectToEnsemble measures how 300 nodes reconnect to an ensemble that was down for five seconds: with the
// spread delays of package zk, and with the schedule of the client library. One iteration is enough: -benchtime 1x.
func BenchmarkReconnectToEnsemble(b *testing.B) {
	const nodeCount, downtime, sessionTimeout = 300, 5 * time.Second, 6 * time.Second
	connect := map[string]func(e *fakeEnsemble, i int){
		"spread": func(e *fakeEnsemble, i int) {
			r := zk.Register([]string{e.listener.Addr().String()}, float64(sessionTimeout.Milliseconds()), "/payout-nodes",
				membership.Entry{Name: fmt.Sprint("n", i)}, nil, func(string, ...any) {})
			b.Cleanup(func() { r.Remove(0) })
		},
		"library": func(e *fakeEnsemble, i int) {
			c, _, err := lib.Connect([]string{e.listener.Addr().String()}, sessionTimeout,
				lib.WithLogInfo(false), lib.WithLogger(discardLogger{}))
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(c.Close)
		},
	}
	for _, schedule := range []string{"spread", "library"} {
		b.Run(schedule, func(b *testing.B) {
			for range b.N {
				e, err := newFakeEnsemble()
				if err != nil {
					b.Fatal(err)
				}
				defer e.close()
				for i := range nodeCount {
					connect[schedule](e, i)
				}
				allConnected := func() bool { return len(e.conns) == nodeCount && len(e.sessions) == nodeCount }
				if !e.waitUntil(allConnected) {
					b.Fatalf("not all of %d nodes connected", nodeCount)
				}
				time.Sleep(sessionTimeout) // lets the sessions run for one session timeout
				e.mu.Lock()
				e.connectTimes = nil
				e.mu.Unlock()
				e.step("", "down", "")
				time.Sleep(downtime)
				e.step("", "up", "")
				upSince := time.Now()
				if !e.waitUntil(allConnected) {
					b.Fatalf("not all of %d nodes reconnected", nodeCount)
				}
				b.ReportMetric(float64(time.Since(upSince).Milliseconds()), "ms-to-last")
				e.mu.Lock()
				maxBurst, i := 0, 0
				for j := range e.connectTimes {
					for e.connectTimes[j].Sub(e.connectTimes[i]) >= 100*time.Millisecond {
						i++
					}
					maxBurst = max(maxBurst, j-i+1)
				}
				b.ReportMetric(float64(len(e.connectTimes)), "tries")
				b.ReportMetric(float64(maxBurst), "most-in-100ms")
				e.mu.Unlock()
			}
		})
	}
}
