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

// KeptRun is what bookings took in one way of keeping their results.
type KeptRun struct {
	Store    string
	InFlight int
	Rate     float64 // bookings a second
	CPU      float64 // of the process that keeps, in microseconds a booking
	P50, P99 float64 // from the request to its answer, in milliseconds
	Failed   int
}

// keepers are the engines that were weighed: each makes a batch of records last.
type keeper interface {
	append([]journal.Record) ([]journal.Position, error)
	close() error
}

type logKeeper struct{ *journal.Journal }

func (l logKeeper) append(r []journal.Record) ([]journal.Position, error) { return l.Append(r) }
func (l logKeeper) close() error                                          { return l.Close() }

// boltKeeper keeps the last record of each key in a B+ tree, a transaction a batch.
type boltKeeper struct{ db *bbolt.DB }

var boltBucket = []byte("ops")

func (b boltKeeper) append(all []journal.Record) ([]journal.Position, error) {
	places := make([]journal.Position, len(all))
	err := b.db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(boltBucket)
		if err != nil {
			return err
		}
		for i, r := range all {
			places[i] = journal.Position{Segment: 1, Offset: uint32(i), Length: 1}
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
	return places, err
}

func (b boltKeeper) close() error { return b.db.Close() }

// nothingKeeper is what the table of operations takes by itself.
type nothingKeeper struct{}

func (nothingKeeper) append(all []journal.Record) ([]journal.Position, error) {
	places := make([]journal.Position, len(all))
	for i := range places {
		places[i] = journal.Position{Segment: 1, Offset: uint32(i), Length: 1}
	}
	return places, nil
}
func (nothingKeeper) close() error { return nil }

// MeasureEngines takes bookings through the table of operations before each engine, in this process and on a folder of the
// machine's, with so many in hand that share their syncs.
func MeasureEngines(dir string, bookings int) (out []KeptRun, err error) {
	engines := []struct {
		name string
		open func(path string) (keeper, error)
	}{
		{"no disk", func(string) (keeper, error) { return nothingKeeper{}, nil }},
		{"log", func(path string) (keeper, error) {
			f, err := storage.OpenDir(path)
			if err != nil {
				return nil, err
			}
			j, _, err := journal.Open(f, journal.Options{Node: "lab", SegmentBytes: 8 << 20}, func(journal.Record, journal.Position) {})
			return logKeeper{j}, err
		}},
		{"bbolt", func(path string) (keeper, error) {
			db, err := bbolt.Open(path+".db", 0o600, nil)
			return boltKeeper{db}, err
		}},
	}
	for _, inHand := range []int{1, 16, 128} {
		for _, e := range engines {
			k, err := e.open(filepath.Join(dir, fmt.Sprint(e.name, inHand)))
			if err != nil {
				return out, err
			}
			r, err := engine(k, inHand, max(bookings/(1+128/inHand/8), 200))
			if err != nil {
				return out, err
			}
			r.Store, r.InFlight = e.name, inHand
			out = append(out, r)
			if err := k.close(); err != nil {
				return out, err
			}
		}
	}
	return out, nil
}

// own returns the processor time of this process in seconds.
func own() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

func engine(k keeper, inHand, bookings int) (r KeptRun, err error) {
	t := ops.New(ops.Limits{Keys: bookings + inHand, DiskBytes: 1 << 40, SegmentBytes: 8 << 20, AgeMs: 1e12, DoubtMs: 1e12})
	result := make([]byte, 200)
	var took []float64
	now := func() float64 { return float64(time.Now().UnixNano()) / 1e6 }
	lay := func() error {
		var all []journal.Record
		for _, e := range t.Effects() {
			if w, ok := e.(ops.Write); ok {
				all = append(all, w.Record)
			}
		}
		places, err := k.append(all)
		t.WritesDurable(now(), places, []journal.Segment{{Number: 1}})
		return err
	}
	cpu, begin := own(), time.Now()
	for n := 0; n < bookings; n += inHand {
		from := time.Now()
		for i := range inHand {
			id := fmt.Sprint(n + i)
			t.Begin(now(), id, "payout-book/"+id, [16]byte{1})
			t.WriteIntent(now(), id)
		}
		if err := lay(); err != nil {
			return r, err
		}
		for i := range inHand {
			t.Finish(now(), fmt.Sprint(n+i), true, result)
		}
		if err := lay(); err != nil {
			return r, err
		}
		took = append(took, float64(time.Since(from).Microseconds())/1e3)
		t.Effects()
	}
	done := float64((bookings + inHand - 1) / inHand * inHand)
	r.Rate, r.CPU = done/time.Since(begin).Seconds(), (own()-cpu)*1e6/done
	slices.Sort(took)
	r.P50, r.P99 = stat.Quantile(0.5, stat.Empirical, took, nil), stat.Quantile(0.99, stat.Empirical, took, nil)
	return r, nil
}

// MeasureBookings sends bookings with tokens to a node in a process of its own, with results kept and without.
func MeasureBookings(ctx context.Context, program, dir string, bookings int) (out []KeptRun, err error) {
	for _, on := range []bool{false, true} {
		extra, what := "", "node, off"
		if on {
			extra, what = fmt.Sprintf(`,"kept":{"dir":%q,"classes":["payout-book"],"keys":200000}`, filepath.Join(dir, "node")), "node, kept"
		}
		n, err := startNode(ctx, program, nil, extra)
		if err != nil {
			return out, err
		}
		for _, inHand := range []int{1, 16, 128} {
			r, err := loadBookings(ctx, n.addrs["http"], inHand, max(bookings/(1+128/inHand/8), 200), n.pid)
			if err != nil {
				n.stop()
				return out, err
			}
			r.Store, r.InFlight = what, inHand
			out = append(out, r)
		}
		n.stop()
	}
	return out, nil
}

func loadBookings(ctx context.Context, addr string, inHand, bookings, pid int) (r KeptRun, err error) {
	var mu sync.Mutex
	var took []float64
	var left, failed atomic.Int64
	left.Store(int64(bookings))
	var wait sync.WaitGroup
	errs := make(chan error, inHand)
	cpu, begin := cpuOf(pid), time.Now()
	for range inHand {
		wait.Go(func() {
			c, err := dialLab(addr)
			if err != nil {
				errs <- err
				return
			}
			defer c.Close()
			for left.Add(-1) >= 0 && ctx.Err() == nil {
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
				took = append(took, float64(time.Since(from).Microseconds())/1e3)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	select {
	case err = <-errs:
	default:
	}
	r.Rate, r.CPU = float64(len(took))/time.Since(begin).Seconds(), (cpuOf(pid)-cpu)*1e6/float64(max(1, len(took)))
	slices.Sort(took)
	if len(took) > 0 {
		r.P50, r.P99 = stat.Quantile(0.5, stat.Empirical, took, nil), stat.Quantile(0.99, stat.Empirical, took, nil)
	}
	r.Failed = int(failed.Load())
	return r, err
}

// labConn is a connection over HTTP/1.1.
type labConn struct {
	net.Conn
	r *bufio.Reader
	b []byte
}

func dialLab(addr string) (*labConn, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(time.Minute))
	return &labConn{Conn: c, r: bufio.NewReader(c)}, nil
}

// call sends a request of a class, with a token of its own if it is asked for, and returns the status.
func (c *labConn) call(class string, token bool) (status int, err error) {
	id := ids.Add(1)
	c.b = fmt.Appendf(c.b[:0], "POST /rpc/%s HTTP/1.1\r\nHost: a\r\n", class)
	for _, f := range fieldsOf(id) {
		c.b = fmt.Appendf(c.b, "%s: %s\r\n", f[0], f[1])
	}
	if token {
		c.b = fmt.Appendf(c.b, "req-token: t%x\r\n", id)
	}
	c.b = append(c.b, "Content-Length: 2\r\n\r\nok"...)
	if _, err := c.Write(c.b); err != nil {
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

// Recovery is how long a journal of so many operations took to be read at a start.
type Recovery struct {
	Keys                   int
	DiskBytes, MemoryBytes int64
	ElapsedMs              float64
}

// MeasureRecoveries fills journals and opens them.
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
				batch = append(batch, journal.Record{Kind: journal.Finished, Key: fmt.Sprintf("payout-book/%016x", i), Digest: digest,
					Run: fmt.Sprintf("%016x", i), At: now, Result: result})
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
		k, t, err := kept.Open(kept.Host{Name: "lab", Log: func(string, ...any) {}}, f,
			settings.KeptConfig{MaxOperations: n, DiskMB: 4096, SegmentMB: 8, ResultTTLMs: 1e12, InDoubtTTLMs: 1e12}, now)
		if err != nil {
			return out, err
		}
		ms := float64(time.Since(begin).Microseconds()) / 1e3
		runtime.GC()
		runtime.ReadMemStats(&after)
		keys, _, _, bytes := t.Counts()
		out = append(out, Recovery{keys, bytes, int64(after.HeapAlloc) - int64(before.HeapAlloc), ms})
		runtime.KeepAlive(k)
		if err := os.RemoveAll(path); err != nil {
			return out, err
		}
	}
	return out, nil
}

// WriteKept writes runs and recoveries as people read them.
func WriteKept(w io.Writer, runs []KeptRun, all []Recovery, stalls []StallRun) {
	if len(runs) > 0 {
		fmt.Fprintf(w, "%-12s %8s %10s %14s %9s %9s %7s\n", "results", "in hand", "a second", "CPU us each", "p50 ms", "p99 ms", "failed")
	}
	for _, r := range runs {
		fmt.Fprintf(w, "%-12s %8d %10.0f %14.1f %9.2f %9.2f %7d\n", r.Store, r.InFlight, r.Rate, r.CPU, r.P50, r.P99, r.Failed)
	}
	if len(all) > 0 {
		fmt.Fprintf(w, "\n%12s %12s %14s %12s %12s\n", "operations", "bytes", "memory each", "recovery ms", "us each")
	}
	for _, r := range all {
		fmt.Fprintf(w, "%12d %12d %14d %12.1f %12.2f\n", r.Keys, r.DiskBytes, r.MemoryBytes/int64(max(1, r.Keys)), r.ElapsedMs, r.ElapsedMs*1e3/float64(max(1, r.Keys)))
	}
	if len(stalls) > 0 {
		fmt.Fprintf(w, "\n%-14s %-14s %7s %8s %8s %8s %9s %9s\n", "disk", "class", "served", "refused", "failed", "p50 ms", "p99 ms", "max ms")
	}
	for _, s := range stalls {
		fmt.Fprintf(w, "%-14s %-14s %7d %8d %8d %8.2f %9.2f %9.2f\n", s.Phase, s.Class, s.Served, s.Refused, s.Failed, s.P50, s.P99, s.Max)
	}
}
