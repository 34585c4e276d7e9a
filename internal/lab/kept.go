package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	"gonum.org/v1/gonum/stat"

	"whinrudder/internal/journal"
	"whinrudder/internal/kept"
	"whinrudder/internal/ops"
	"whinrudder/internal/settings"
	"whinrudder/internal/storage"
)

// KeptRun is the cost of bookings with one way of storing their results.
type KeptRun struct {
	Store    string
	InFlight int     // bookings in flight at a time
	Rate     float64 // bookings per second
	CPU      float64 // CPU time of the process that stores the results, in microseconds per booking
	P50, P99 float64 // time from the request to its answer, in milliseconds
	Failed   int
}

// resultStore is a storage engine under comparison. Its append makes a batch of records durable.
type resultStore interface {
	append([]journal.Record) ([]journal.Position, error)
	close() error
}

// journalStore stores records in the node's journal.
type journalStore struct{ *journal.Journal }

func (l journalStore) append(r []journal.Record) ([]journal.Position, error) { return l.Append(r) }
func (l journalStore) close() error                                          { return l.Close() }

// boltStore stores the last record of each key in a B+ tree, with one transaction per batch.
type boltStore struct{ db *bbolt.DB }

var boltBucket = []byte("ops")

func (b boltStore) append(records []journal.Record) ([]journal.Position, error) {
	positions := make([]journal.Position, len(records))
	err := b.db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(boltBucket)
		if err != nil {
			return err
		}
		for i, r := range records {
			positions[i] = journal.Position{Segment: 1, Offset: uint32(i), Length: 1}
			if r.Kind == journal.NotRun {
				if err := bucket.Delete([]byte(r.Key)); err != nil {
					return err
				}
				continue
			}
			text, err := cbor.Marshal(r)
			if err != nil {
				return err
			}
			if err := bucket.Put([]byte(r.Key), text); err != nil {
				return err
			}
		}
		return nil
	})
	return positions, err
}

func (b boltStore) close() error { return b.db.Close() }

// nullStore stores nothing, which shows the cost of the operation table alone.
type nullStore struct{}

func (nullStore) append(records []journal.Record) ([]journal.Position, error) {
	positions := make([]journal.Position, len(records))
	for i := range positions {
		positions[i] = journal.Position{Segment: 1, Offset: uint32(i), Length: 1}
	}
	return positions, nil
}
func (nullStore) close() error { return nil }

// MeasureEngines takes bookings through the operation table with each storage engine, in this process and in the
// directory dir, with several numbers of bookings in flight. Bookings in flight together share their syncs.
func MeasureEngines(dir string, bookings int) (out []KeptRun, err error) {
	engines := []struct {
		name string
		open func(path string) (resultStore, error)
	}{
		{"no disk", func(string) (resultStore, error) { return nullStore{}, nil }},
		{"log", func(path string) (resultStore, error) {
			f, err := storage.OpenDir(path)
			if err != nil {
				return nil, err
			}
			j, _, err := journal.Open(f, journal.Options{Node: "lab", SegmentBytes: 8 << 20}, func(journal.Record, journal.Position) {})
			return journalStore{j}, err
		}},
		{"bbolt", func(path string) (resultStore, error) {
			db, err := bbolt.Open(path+".db", 0o600, nil)
			return boltStore{db}, err
		}},
	}
	for _, inFlight := range []int{1, 16, 128} {
		for _, e := range engines {
			store, err := e.open(filepath.Join(dir, fmt.Sprint(e.name, inFlight)))
			if err != nil {
				return out, err
			}
			r, err := measureEngine(store, inFlight, max(bookings/(1+128/inFlight/8), 200))
			if err != nil {
				return out, err
			}
			r.Store, r.InFlight = e.name, inFlight
			out = append(out, r)
			if err := store.close(); err != nil {
				return out, err
			}
		}
	}
	return out, nil
}

// ownCPUSeconds returns the CPU time of this process in seconds.
func ownCPUSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// measureEngine measures one storage engine with batches of inFlight bookings.
func measureEngine(store resultStore, inFlight, bookings int) (r KeptRun, err error) {
	table := ops.New(ops.Limits{Keys: bookings + inFlight, DiskBytes: 1 << 40, SegmentBytes: 8 << 20, AgeMs: 1e12,
		DoubtMs: 1e12})
	result := make([]byte, 200)
	var latenciesMs []float64
	now := func() float64 { return float64(time.Now().UnixNano()) / 1e6 }
	writeRecords := func() error {
		var all []journal.Record
		for _, e := range table.Effects() {
			if w, ok := e.(ops.Write); ok {
				all = append(all, w.Record)
			}
		}
		positions, err := store.append(all)
		table.WritesDurable(now(), positions, []journal.Segment{{Number: 1}})
		return err
	}
	cpu, begin := ownCPUSeconds(), time.Now()
	for n := 0; n < bookings; n += inFlight {
		from := time.Now()
		for i := range inFlight {
			id := fmt.Sprint(n + i)
			table.Begin(now(), id, "payout-book/"+id, [16]byte{1})
			table.WriteIntent(now(), id)
		}
		if err := writeRecords(); err != nil {
			return r, err
		}
		for i := range inFlight {
			table.Finish(now(), fmt.Sprint(n+i), true, result)
		}
		if err := writeRecords(); err != nil {
			return r, err
		}
		latenciesMs = append(latenciesMs, float64(time.Since(from).Microseconds())/1e3)
		table.Effects()
	}
	done := float64((bookings + inFlight - 1) / inFlight * inFlight)
	r.Rate, r.CPU = done/time.Since(begin).Seconds(), (ownCPUSeconds()-cpu)*1e6/done
	slices.Sort(latenciesMs)
	r.P50, r.P99 = stat.Quantile(0.5, stat.Empirical, latenciesMs, nil),
		stat.Quantile(0.99, stat.Empirical, latenciesMs, nil)
	return r, nil
}

// MeasureBookings sends bookings with tokens to a node in its own process, with and without stored results.
func MeasureBookings(ctx context.Context, program, dir string, bookings int) (out []KeptRun, err error) {
	for _, on := range []bool{false, true} {
		section, label := "", "node, off"
		if on {
			section, label = fmt.Sprintf(`,"kept":{"dir":%q,"classes":["payout-book"],"keys":200000}`,
				filepath.Join(dir, "node")), "node, kept"
		}
		n, err := startNode(ctx, program, nil, section)
		if err != nil {
			return out, err
		}
		for _, inFlight := range []int{1, 16, 128} {
			r, err := loadBookings(ctx, n.addrs["http"], inFlight, max(bookings/(1+128/inFlight/8), 200), n.pid)
			if err != nil {
				n.stop()
				return out, err
			}
			r.Store, r.InFlight = label, inFlight
			out = append(out, r)
		}
		n.stop()
	}
	return out, nil
}

// loadBookings sends bookings to a node on inFlight connections.
func loadBookings(ctx context.Context, addr string, inFlight, bookings, pid int) (r KeptRun, err error) {
	var mu sync.Mutex
	var latenciesMs []float64
	var remaining, failed atomic.Int64
	remaining.Store(int64(bookings))
	var wait sync.WaitGroup
	errs := make(chan error, inFlight)
	cpu, begin := cpuSeconds(pid), time.Now()
	for range inFlight {
		wait.Go(func() {
			c, err := dialHTTP(addr)
			if err != nil {
				errs <- err
				return
			}
			defer c.Close()
			for remaining.Add(-1) >= 0 && ctx.Err() == nil {
				from := time.Now()
				status, err := c.call("payout-book", true)
				if err != nil {
					errs <- err
					return
				}
				if status != 200 {
					failed.Add(1)
				}
				mu.Lock()
				latenciesMs = append(latenciesMs, float64(time.Since(from).Microseconds())/1e3)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	select {
	case err = <-errs:
	default:
	}
	r.Rate, r.CPU = float64(len(latenciesMs))/time.Since(begin).Seconds(),
		(cpuSeconds(pid)-cpu)*1e6/float64(max(1, len(latenciesMs)))
	slices.Sort(latenciesMs)
	if len(latenciesMs) > 0 {
		r.P50, r.P99 = stat.Quantile(0.5, stat.Empirical, latenciesMs, nil),
			stat.Quantile(0.99, stat.Empirical, latenciesMs, nil)
	}
	r.Failed = int(failed.Load())
	return r, err
}

// httpConn is an HTTP/1.1 client connection.
type httpConn struct {
	net.Conn
	r   *bufio.Reader
	buf []byte // the request being built, reused
}

// dialHTTP opens an HTTP/1.1 client connection that lasts one minute at most.
func dialHTTP(addr string) (*httpConn, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(time.Minute))
	return &httpConn{Conn: c, r: bufio.NewReader(c)}, nil
}

// call sends a request of a class, with a new token if token is set, and returns the status.
func (c *httpConn) call(class string, token bool) (status int, err error) {
	id := requestIDs.Add(1)
	c.buf = fmt.Appendf(c.buf[:0], "POST /rpc/%s HTTP/1.1\r\nHost: a\r\n", class)
	for _, f := range requestFields(id) {
		c.buf = fmt.Appendf(c.buf, "%s: %s\r\n", f[0], f[1])
	}
	if token {
		c.buf = fmt.Appendf(c.buf, "req-token: t%x\r\n", id)
	}
	c.buf = append(c.buf, "Content-Length: 2\r\n\r\nok"...)
	if _, err := c.Write(c.buf); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Recovery is the cost of reading a journal with a number of operations at startup.
type Recovery struct {
	Keys                   int
	DiskBytes, MemoryBytes int64 // size of the journal; growth of the heap
	ElapsedMs              float64
}

// MeasureRecoveries fills one journal of each size and measures the time and the memory that opening it takes.
func MeasureRecoveries(dir string, sizes []int) (out []Recovery, err error) {
	for _, n := range sizes {
		path := filepath.Join(dir, fmt.Sprint("recover", n))
		f, err := storage.OpenDir(path)
		if err != nil {
			return out, err
		}
		j, _, err := journal.Open(f, journal.Options{Node: "lab", SegmentBytes: 8 << 20}, func(journal.Record, journal.Position) {})
		if err != nil {
			return out, err
		}
		now := float64(time.Now().UnixMilli())
		result, digest := make([]byte, 200), make([]byte, 16)
		for at := 0; at < n; at += 1000 {
			var batch []journal.Record
			for i := at; i < min(n, at+1000); i++ {
				batch = append(batch, journal.Record{Kind: journal.Finished, Key: fmt.Sprintf("payout-book/%016x", i),
					Digest: digest, Run: fmt.Sprintf("%016x", i), At: now, Result: result})
			}
			if _, err := j.Append(batch); err != nil {
				return out, err
			}
		}
		if err := j.Close(); err != nil {
			return out, err
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		begin := time.Now()
		keeper, table, err := kept.Open(kept.Host{Name: "lab", Log: func(string, ...any) {}}, f,
			settings.KeptConfig{MaxOperations: n, DiskMB: 4096, SegmentMB: 8, ResultTTLMs: 1e12, InDoubtTTLMs: 1e12}, now)
		if err != nil {
			return out, err
		}
		elapsedMs := float64(time.Since(begin).Microseconds()) / 1e3
		runtime.GC()
		runtime.ReadMemStats(&after)
		keys, _, _, bytes := table.Counts()
		out = append(out, Recovery{keys, bytes, int64(after.HeapAlloc) - int64(before.HeapAlloc), elapsedMs})
		runtime.KeepAlive(keeper)
		if err := os.RemoveAll(path); err != nil {
			return out, err
		}
	}
	return out, nil
}

// WriteKept writes the runs, recoveries and stalls as tables.
func WriteKept(w io.Writer, runs []KeptRun, all []Recovery, stalls []StallRun) {
	if len(runs) > 0 {
		fmt.Fprintf(w, "%-12s %8s %10s %14s %9s %9s %7s\n", "results", "in hand", "a second", "CPU us each", "p50 ms",
			"p99 ms", "failed")
	}
	for _, r := range runs {
		fmt.Fprintf(w, "%-12s %8d %10.0f %14.1f %9.2f %9.2f %7d\n", r.Store, r.InFlight, r.Rate, r.CPU, r.P50, r.P99,
			r.Failed)
	}
	if len(all) > 0 {
		fmt.Fprintf(w, "\n%12s %12s %14s %12s %12s\n", "operations", "bytes", "memory each", "recovery ms", "us each")
	}
	for _, r := range all {
		fmt.Fprintf(w, "%12d %12d %14d %12.1f %12.2f\n", r.Keys, r.DiskBytes, r.MemoryBytes/int64(max(1, r.Keys)),
			r.ElapsedMs, r.ElapsedMs*1e3/float64(max(1, r.Keys)))
	}
	if len(stalls) > 0 {
		fmt.Fprintf(w, "\n%-14s %-14s %7s %8s %8s %8s %9s %9s\n", "disk", "class", "served", "refused", "failed",
			"p50 ms", "p99 ms", "max ms")
	}
	for _, s := range stalls {
		fmt.Fprintf(w, "%-14s %-14s %7d %8d %8d %8.2f %9.2f %9.2f\n", s.Phase, s.Class, s.Served, s.Refused, s.Failed, s.P50,
			s.P99, s.Max)
	}
}
