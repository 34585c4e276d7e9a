package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"whinrudder/internal/node"
	"whinrudder/internal/settings"
	"whinrudder/internal/storage"
)

// StallRun counts the results of one class's requests in one phase: before, during or after a stall of the disk.
type StallRun struct {
	Phase, Class            string
	Served, Refused, Failed int
	P50, P99, Max           float64 // latency in milliseconds
}

// stallingDir is a directory whose file syncs block while it stalls.
type stallingDir struct {
	storage.Dir
	mu sync.RWMutex // write-locked while the disk stalls
}

// stallingFile is a file of a stalling directory.
type stallingFile struct {
	storage.File
	dir *stallingDir
}

func (s *stallingDir) Create(name string) (storage.File, error) {
	f, err := s.Dir.Create(name)
	if err != nil {
		return nil, err
	}
	return stallingFile{f, s}, nil
}

func (f stallingFile) Sync() error {
	f.dir.mu.RLock()
	defer f.dir.mu.RUnlock()
	return f.File.Sync()
}

// MeasureStall sends reads and bookings to a node in this process whose disk stalls in the second of three phases. Each
// phase takes the given number of seconds.
func MeasureStall(ctx context.Context, dir string, seconds float64) ([]StallRun, error) {
	pool, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer pool.Close()
	go instantPool(pool)
	cfg, err := settings.ParseConfig([]byte(fmt.Sprintf(labConfig, "127.0.0.1:0", pool.Addr(), platformMemoryMB)))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "stall")
	op := settings.Operator{Kept: settings.KeptConfig{Dir: path, Classes: []string{"payout-book"},
		MaxOperations: 1e5, DiskMB: 512, SegmentMB: 8,
		ResultTTLMs: 1e9, InDoubtTTLMs: 1e9}}
	n, err := node.New(cfg, op, io.Discard)
	if err != nil {
		return nil, err
	}
	var disk *stallingDir
	n.SetFolderOpener(func(path string) (storage.Dir, error) {
		f, err := storage.OpenDir(path)
		disk = &stallingDir{Dir: f}
		return disk, err
	})
	if err := n.Listen(); err != nil {
		return nil, err
	}
	run, cancel := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		n.Run(run, make(chan os.Signal), make(chan os.Signal),
			func() (settings.Config, settings.Operator, error) { return cfg, op, nil })
		close(stopped)
	}()
	defer func() { cancel(); <-stopped }()
	if err := WaitHealthy(ctx, n.Addr("http")); err != nil {
		return nil, err
	}
	type call struct {
		at, took float64 // seconds since the start; latency in milliseconds
		status   int     // 0: the connection failed
	}
	var mu sync.Mutex
	calls := map[string][]call{}
	begin := time.Now()
	end := begin.Add(time.Duration(3*seconds*1e3) * time.Millisecond)
	var wait sync.WaitGroup
	for i := range 12 {
		class := []string{"status-lookup", "status-lookup", "payout-book"}[i%3]
		wait.Go(func() {
			c, err := dialHTTP(n.Addr("http"))
			if err != nil {
				return
			}
			defer c.Close()
			for time.Now().Before(end) && ctx.Err() == nil {
				from := time.Now()
				status, err := c.call(class, true)
				if err != nil {
					status = 0
					if c, err = dialHTTP(n.Addr("http")); err != nil {
						return
					}
				}
				mu.Lock()
				calls[class] = append(calls[class],
					call{from.Sub(begin).Seconds(), float64(time.Since(from).Microseconds()) / 1e3, status})
				mu.Unlock()
				time.Sleep(time.Until(from.Add(20 * time.Millisecond)))
			}
		})
	}
	time.Sleep(time.Until(begin.Add(time.Duration(seconds*1e3) * time.Millisecond)))
	disk.mu.Lock()
	time.Sleep(time.Duration(seconds*1e3) * time.Millisecond)
	disk.mu.Unlock()
	wait.Wait()
	var out []StallRun
	for i, phase := range []string{"well", "stalled", "well again"} {
		for _, class := range []string{"status-lookup", "payout-book"} {
			r := StallRun{Phase: phase, Class: class}
			var latenciesMs []float64
			for _, c := range calls[class] {
				if int(c.at/seconds) != i {
					continue
				}
				latenciesMs = append(latenciesMs, c.took)
				switch c.status {
				case 200:
					r.Served++
				case 503:
					r.Refused++
				default:
					r.Failed++
				}
			}
			if slices.Sort(latenciesMs); len(latenciesMs) > 0 {
				r.P50, r.P99 = stat.Quantile(0.5, stat.Empirical, latenciesMs, nil),
					stat.Quantile(0.99, stat.Empirical, latenciesMs, nil)
				r.Max = latenciesMs[len(latenciesMs)-1]
			}
			out = append(out, r)
		}
	}
	return out, nil
}
