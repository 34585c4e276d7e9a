package kept

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"runtime"
	"testing"

	"whinrudder/internal/journal"
	"whinrudder/internal/storagetest"
)

func b64(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }

// runWorkload sends enough requests to fill several segments: first requests, repeats that wait for the run, repeats
// that come after it, requests whose caller gives up, and some while the link to the worker pool is broken.
func runWorkload(h *harness) {
	for i := range 12 {
		key := fmt.Sprint("k", i%5)
		h.request(key, "b:"+key)
		h.flush()
		if i%3 == 0 {
			h.request(key, "b:"+key)
		}
		if i == 7 {
			h.disconnect()
		}
		if h.connected {
			h.runPool()
		}
		h.flush()
		if i%4 == 1 {
			h.abandon(h.request(key, "b:"+key))
		}
		for _, id := range h.unfinishedRuns() {
			if i%2 == 1 {
				h.finishRun(id)
			}
		}
		if i == 9 && !h.down {
			h.connect()
		}
		h.flush()
		h.advance(30)
		h.request(fmt.Sprint("other", i), "b:"+fmt.Sprint("other", i))
		h.abandon(h.request(fmt.Sprint("never", i), "")) // before its intent is durable
		h.flush()
		h.advance(25)
	}
}

// workloadKeys returns the keys of the requests of runWorkload whose callers wait for an answer.
func workloadKeys(h *harness) (keys []string) {
	for i := range 5 {
		keys = append(keys, fmt.Sprint("k", i))
	}
	for i := range 12 {
		keys = append(keys, fmt.Sprint("other", i))
	}
	return keys
}

// Guards against operations that run twice or lose their result after a crash. For each disk operation of the workload,
// the node is killed there, or the operation fails or finds the disk full; after a kill the recovery is killed once
// more. No key runs twice, every request gets one answer, and a durable result that was served is served again.
func TestCrashAtEveryOperation(t *testing.T) {
	clean := newHarness(1, defaultConfig)
	runWorkload(clean)
	clean.settle(workloadKeys(clean))
	for _, violation := range clean.violations {
		t.Fatal(violation)
	}
	total := clean.dir.OpCount()
	points, oldest := 0, clean.j.Segments()[0].Number
	for _, fault := range []storagetest.Fault{storagetest.Crash, storagetest.Fail, storagetest.Full} {
		for _, replays := range []bool{true, false} {
			for op := 1; op <= total; op++ {
				h := newHarness(uint64(op), defaultConfig)
				h.replaysNotices = replays
				h.dir.SetFaults(func(o storagetest.Op) storagetest.Fault {
					if o.Number == op {
						return fault
					}
					return storagetest.None
				})
				runWorkload(h)
				points++
				if fault == storagetest.Crash {
					h.crash()
					secondCrash := h.dir.OpCount() + 1 + op%4
					h.dir.SetFaults(func(o storagetest.Op) storagetest.Fault {
						if o.Number == secondCrash {
							return storagetest.Crash
						}
						return storagetest.None
					})
					h.boot()
					if h.bootErr == nil {
						h.request("k1", "b:k1")
						h.flush()
					}
					h.crash()
					h.dir.SetFaults(nil)
					h.boot()
				}
				h.settle(workloadKeys(h))
				for _, violation := range h.violations {
					t.Fatalf("fault %d at operation %d of %d, pool replays notices %v: %s", fault, op, total, replays,
						violation)
				}
			}
		}
	}
	t.Logf("%d faults at %d operations; without faults the oldest segment at the end is %d", points, total, oldest)
	if oldest == 1 {
		t.Error("the workload did not make the node drop a segment")
	}
}

// appendRecords writes a journal with n finished operations.
func appendRecords(tb testing.TB, dir *storagetest.Dir, n int, at float64) {
	j, _, err := journal.Open(dir, journal.Options{Node: "n1", SegmentBytes: 1 << 20},
		func(journal.Record, journal.Position) {})
	if err != nil {
		tb.Fatal(err)
	}
	var batch []journal.Record
	for i := range n {
		key := fmt.Sprintf("book/s%d", i)
		digest := sha256.Sum256(fmt.Appendf(nil, "b:s%d", i))
		batch = append(batch, journal.Record{Kind: journal.Finished, Key: key, Digest: digest[:16],
			Run: fmt.Sprintf("f%015x", i), At: at, Result: []byte("r:" + key)})
		if len(batch) == 1000 || i == n-1 {
			if _, err := j.Append(batch); err != nil {
				tb.Fatal(err)
			}
			batch = batch[:0]
		}
	}
	j.Close()
}

// Guards against data loss and excessive memory or disk use with 36,000 kept operations. The node is killed after every
// step of one more operation and at every disk operation within those steps: no key runs twice, all kept results are
// still served, and memory and disk stay within their bounds.
func TestKilledAtEveryStepWith36000Subjects(t *testing.T) {
	const subjects = 36000
	config := defaultConfig
	config.MaxOperations, config.SegmentMB, config.DiskMB = subjects+10, 4000, 64 // segments of 1.2 MB
	base := storagetest.New(1)
	appendRecords(t, base, subjects, 1e6)
	steps := []func(h *harness){
		func(h *harness) { h.request("k", "b:k") },
		(*harness).flush,
		(*harness).runPool,
		func(h *harness) { h.request("k", "b:k") },
		func(h *harness) {
			for _, id := range h.unfinishedRuns() {
				h.finishRun(id)
			}
		},
		(*harness).flush,
		func(h *harness) { h.request("k", "b:k") },
		(*harness).flush,
	}
	runSteps := func(after, fault int) (ops int, h *harness) {
		h = newHarnessOn(base.Clone(uint64(100*after+fault+1)), config)
		if h.bootErr != nil {
			t.Fatal(h.bootErr)
		}
		firstOp := h.dir.OpCount()
		h.dir.SetFaults(func(o storagetest.Op) storagetest.Fault {
			if o.Number == firstOp+fault {
				return storagetest.Crash
			}
			return storagetest.None
		})
		for _, step := range steps[:after] {
			step(h)
		}
		return h.dir.OpCount() - firstOp, h
	}
	total, _ := runSteps(len(steps), 0)
	points := 0
	maxDiskBytes := int64(0)
	check := func(h *harness, what string) {
		points++
		h.crash()
		h.settle([]string{"k", "s0", "s17", "s35999"})
		for _, violation := range h.violations {
			t.Fatalf("%s: %s", what, violation)
		}
		if keys, _, _, _ := h.table.Counts(); keys != subjects+1 {
			t.Fatalf("%s: got %d keys, want %d", what, keys, subjects+1)
		}
		maxDiskBytes = max(maxDiskBytes, h.dir.Bytes())
	}
	for n := range len(steps) + 1 {
		_, h := runSteps(n, 0)
		check(h, fmt.Sprint("after step ", n))
	}
	for fault := 1; fault <= total; fault++ {
		_, h := runSteps(len(steps), fault)
		check(h, fmt.Sprint("at operation ", fault))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	_, h := runSteps(0, 0)
	runtime.GC()
	runtime.ReadMemStats(&after)
	memoryBytes := int64(after.HeapAlloc) - int64(before.HeapAlloc) - h.dir.Bytes()
	t.Logf("%d crashes; at most %d bytes on disk, %d bytes of memory, %d per operation", points, maxDiskBytes, memoryBytes,
		memoryBytes/subjects)
	if maxDiskBytes > int64(config.DiskMB)<<20 || memoryBytes > 40<<20 {
		t.Errorf("got %d bytes on disk and %d of memory, want at most %d and %d", maxDiskBytes, memoryBytes,
			int64(config.DiskMB)<<20, 40<<20)
	}
	runtime.KeepAlive(h)
}

// While the disk is full, operations in progress are answered, and new ones are refused and not run. Once there is
// space, the node continues.
func TestFullDisk(t *testing.T) {
	h := newHarness(1, defaultConfig)
	h.request("a", "b:a")
	h.flush()
	h.runPool()
	h.dir.SetCapacity(h.dir.Bytes() + 50) // the record of the end of a does not fit
	for _, id := range h.unfinishedRuns() {
		h.finishRun(id)
	}
	refused := 0
	for i := range 20 {
		h.flush()
		if req := h.request(fmt.Sprint("n", i), ""); len(req.answers) == 1 && req.answers[0].Kept == "stalled" &&
			req.answers[0].RetryAfter > 0 {
			refused++
		}
		h.advance(100)
	}
	if len(h.runOrder) != 1 || refused < 15 {
		t.Errorf("got %d runs and %d refused requests, want 1 run and at least 15 refused", len(h.runOrder), refused)
	}
	h.dir.SetCapacity(0)
	h.flush()
	h.flush()
	h.settle([]string{"a", "n0", "n19"})
	for _, violation := range h.violations {
		t.Error(violation)
	}
}

// Guards against a journal that grows without bound because of one unreadable record. A byte that becomes corrupt while
// the node runs costs one result; the segment's other records are still copied, the segment is dropped and the journal
// stays small.
func TestBadByteDoesNotBlockCompaction(t *testing.T) {
	h := newHarness(1, defaultConfig)
	complete := func(key string) {
		h.request(key, "b:"+key)
		h.flush()
		h.runPool()
		for _, id := range h.unfinishedRuns() {
			h.finishRun(id)
		}
		h.flush()
	}
	complete("a")
	complete("b")
	for _, op := range h.table.Operations() {
		if op.Key == "book/a" {
			h.dir.FlipBit(fmt.Sprintf("%08d.log", op.Position.Segment), int(op.Position.Offset+op.Position.Length-3))
		}
	}
	readReq := h.request("a", "b:a")
	h.flush()
	if len(readReq.answers) != 1 || readReq.answers[0].Kept != "unreadable" {
		t.Errorf("request for the corrupt result: got answers %+v, want one with Kept unreadable", readReq.answers)
	}
	for i := range 40 {
		h.abandon(h.request(fmt.Sprint("n", i), "")) // fills segments with records that are not live
		h.flush()
		h.advance(40)
		h.flush()
	}
	if first := h.j.Segments()[0].Number; first < 5 || h.j.Bytes() > 2000 {
		t.Errorf("got %d bytes and first segment %d, want at most 2000 bytes and at least 5", h.j.Bytes(), first)
	}
	if a, b := h.finalRequest("a"), h.finalRequest("b"); a.answers[0].Kept != "failed" ||
		string(b.answers[0].Result) != "r:book/b" {
		t.Errorf("got answers %+v for a and %+v for b, want Kept failed for a and result r:book/b for b", a.answers, b.answers)
	}
	h.crash()
	h.boot()
	if h.bootErr != nil {
		t.Error(h.bootErr)
	}
}

// If the end of an operation is not durable in time, its caller and the callers of waiting repeats still get the result
// by their due time.
func TestLateSyncIsAnsweredInTime(t *testing.T) {
	h := newHarness(1, defaultConfig)
	first := h.request("a", "b:a")
	h.flush()
	h.runPool()
	repeat := h.request("a", "b:a")
	for _, id := range h.unfinishedRuns() {
		h.finishRun(id)
	}
	for h.now < first.due && len(first.answers) == 0 {
		h.advance(5)
	}
	h.advance(first.due - h.now)
	for _, req := range []*testRequest{first, repeat} {
		if len(req.answers) != 1 || string(req.answers[0].Result) != "r:book/a" {
			t.Errorf("%s: got answers %+v at its due time, want one with result r:book/a", req.id, req.answers)
		}
	}
	h.settle([]string{"a"})
	for _, violation := range h.violations {
		t.Error(violation)
	}
}
