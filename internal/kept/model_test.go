package kept

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"

	"whinrudder/internal/storagetest"
)

// move is an event that may happen next. apply reports whether the event was possible.
type move struct {
	name  string
	apply func(h *harness) bool
}

// moves are all events of the explored histories. The first three send requests: at most two of key a, one of key b,
// and one of key a with another body. TestHistoriesAreLinearizable uses the others.
var moves = []move{
	{"request a", func(h *harness) bool { return h.requestUpTo("a", "b:a", 2) }},
	{"request b", func(h *harness) bool { return h.requestUpTo("b", "b:b", 1) }},
	{"request a with another body", func(h *harness) bool { return h.requestUpTo("a", "other", 1) }},
	{"flush", func(h *harness) bool {
		applicable := !h.down && len(h.writes)+len(h.fetches)+len(h.drops) > 0
		h.flush()
		return applicable
	}},
	{"flush fails", func(h *harness) bool {
		applicable := !h.down && len(h.writes) > 0
		h.dir.SetFaults(func(o storagetest.Op) storagetest.Fault {
			if o.Kind == "sync" {
				return storagetest.Fail
			}
			return storagetest.None
		})
		h.flush()
		h.dir.SetFaults(nil)
		return applicable
	}},
	{"pool reads", func(h *harness) bool {
		applicable := len(h.poolInput) > 0
		h.runPool()
		return applicable
	}},
	{"run finishes", func(h *harness) bool {
		unfinished := h.unfinishedRuns()
		if len(unfinished) > 0 {
			h.finishRun(unfinished[0])
		}
		return len(unfinished) > 0
	}},
	{"disconnect", func(h *harness) bool {
		applicable := h.connected
		h.disconnect()
		return applicable
	}},
	{"connect", func(h *harness) bool {
		applicable := !h.connected && !h.down
		if applicable {
			h.connect()
		}
		return applicable
	}},
	{"caller gives up", func(h *harness) bool {
		for _, req := range h.requests {
			if req.id == h.firstOpen() {
				h.abandon(req)
				return true
			}
		}
		return false
	}},
	{"due", func(h *harness) bool {
		applicable := h.firstOpen() != ""
		h.advance(6000)
		return applicable
	}},
	{"crash", func(h *harness) bool {
		h.crash()
		h.boot()
		return true
	}},
}

// requestUpTo sends a request unless there have been maxRequests with the same key and body, and reports whether it
// did.
func (h *harness) requestUpTo(key, body string, maxRequests int) bool {
	count := 0
	for _, req := range h.requests {
		if req.key == "book/"+key && req.body == body {
			count++
		}
	}
	if count < maxRequests {
		h.request(key, body)
	}
	return count < maxRequests
}

// firstOpen returns the ID of the oldest request that still waits for an answer, or "".
func (h *harness) firstOpen() (id string) {
	for _, req := range h.requests {
		if !req.abandoned && len(req.answers) == 0 && (id == "" || req.id < id) {
			id = req.id
		}
	}
	return id
}

// fingerprint returns a hash that distinguishes states. It leaves out times and what the node has learned.
func (h *harness) fingerprint() uint64 {
	var b strings.Builder
	if !h.down {
		fmt.Fprintln(&b, h.core.Dump(), h.link.Dump())
	}
	fmt.Fprintln(&b, h.connected, string(h.poolInput), h.poolSerial, h.noticedSerial, len(h.writes), len(h.fetches),
		len(h.drops), h.runOrder)
	ids := []string{}
	for id, req := range h.requests {
		ids = append(ids, fmt.Sprint(id, req.key, req.body, req.abandoned, req.promised, len(req.answers)))
		for _, answer := range req.answers {
			ids = append(ids, fmt.Sprint(id, answer.Outcome, answer.Kept))
		}
	}
	for id, run := range h.runs {
		ids = append(ids, fmt.Sprint(id, run.finished))
	}
	slices.Sort(ids)
	fmt.Fprintln(&b, ids)
	return xxhash.Sum64String(b.String())
}

// replayMoves applies moves to a new harness and reports whether the last one was possible.
func replayMoves(moveIndexes []byte, replaysNotices bool) (h *harness, applicable bool) {
	h = newHarness(1, defaultConfig)
	h.replaysNotices = replaysNotices
	applicable = true
	for _, i := range moveIndexes {
		applicable = moves[i].apply(h)
	}
	return h, applicable
}

func moveNames(moveIndexes []byte) (out []string) {
	for _, i := range moveIndexes {
		out = append(out, moves[i].name)
	}
	return out
}

// modelDepth returns the number of moves to explore. The environment variable WHINRUDDER_DEPTH overrides it for long
// manual runs.
func modelDepth() int {
	depth := 6
	fmt.Sscan(os.Getenv("WHINRUDDER_DEPTH"), &depth)
	return depth
}

// Explores all sequences of modelDepth moves with the real core, table, link and journal. No key runs twice, no request
// gets two answers or a wrong one, and from each state a final state can be reached in which every request has been
// answered.
func TestModel(t *testing.T) {
	for _, replays := range []bool{true, false} {
		seen := map[uint64]bool{}
		level := [][]byte{nil}
		states, steps, runCount := 0, 0, 0
		for depth := 0; depth < modelDepth(); depth++ {
			type state struct {
				moveIndexes []byte
				applicable  bool
				fingerprint uint64
				runCount    int
				violations  []string
			}
			next := make([]state, len(level)*len(moves))
			parallelFor(len(next), func(i int) {
				moveIndexes := append(slices.Clone(level[i/len(moves)]), byte(i%len(moves)))
				h, applicable := replayMoves(moveIndexes, replays)
				next[i] = state{moveIndexes: moveIndexes, applicable: applicable, fingerprint: h.fingerprint(),
					runCount: len(h.runOrder)}
			})
			steps += len(next)
			next = slices.DeleteFunc(next, func(s state) bool {
				drop := !s.applicable || seen[s.fingerprint]
				seen[s.fingerprint] = seen[s.fingerprint] || s.applicable
				return drop
			})
			parallelFor(len(next), func(i int) {
				h, _ := replayMoves(next[i].moveIndexes, replays)
				if len(h.violations) == 0 {
					h.settle([]string{"a", "b"})
				}
				next[i].violations = h.violations
			})
			level = level[:0:0]
			for _, s := range next {
				if len(s.violations) > 0 {
					t.Fatalf("pool replays notices %v, after %v: %s", replays, moveNames(s.moveIndexes), s.violations[0])
				}
				states++
				runCount += s.runCount
				level = append(level, s.moveIndexes)
			}
		}
		t.Logf("pool replays notices %v: %d states, %d moves to depth %d, %d runs in them", replays, states, steps,
			modelDepth(), runCount)
		if runCount == 0 {
			t.Error("got no runs, want some")
		}
	}
}

// parallelFor calls task for each i from 0 to n-1 on several goroutines.
func parallelFor(n int, task func(i int)) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				task(i)
			}
		})
	}
	wg.Wait()
}

// Guards against model and crash tests that can't fail. Each mutation changes some lines of the sources, and TestModel or
// TestCrashAtEveryOperation must fail with it.
func TestSourceMutationsAreFound(t *testing.T) {
	if testing.Short() || os.Getenv("WHINRUDDER_DEPTH") != "" {
		t.Skip("rebuilds and runs the tests for each mutation")
	}
	for _, mutation := range []struct{ file, line, replacement string }{
		{"ops/disk.go", "	t.setState(o, InDoubt, r.At)\n", "	t.forget(o)\n"},
		{"ops/ops.go", "	t.intentQueue = append(t.intentQueue, o)\n", "	t.intentQueue = append(t.intentQueue, o)\n	t.emit(StartRun{id})\n"},
		{"ops/ops.go", "	case o.digest != digest:\n		t.emit(LogEvent{\"other-body\", key, id})\n		return Verdict{Kind: VerdictFails, Reason: ReasonOtherBody}\n", ""},
		{"ops/disk.go", "			t.pendingWrites = append(t.pendingWrites, &pendingWrite{op: o, record: w.record, since: now})\n			t.emit(Write{Record: w.record})\n", ""},
		{"ops/disk.go", "		if o != nil && o.runID == r.Run {\n			t.forget(o)\n		}\n", ""},
		{"core/core.go", "			c.ops.Cancel(c.now, r.ID)\n", ""},
		{"core/kept.go", "		all[i].Repeat, all[i].Window = whinrudder.Keyed, 0\n", "		_ = all[i]\n"},
	} {
		t.Run(mutation.file+" "+strings.TrimSpace(strings.SplitN(mutation.line, "\n", 2)[0]), func(t *testing.T) {
			t.Parallel()
			path, err := filepath.Abs(filepath.Join("..", mutation.file))
			if err != nil {
				t.Fatal(err)
			}
			source, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(string(source), mutation.line) != 1 {
				t.Fatalf("got the line %d times in the source, want 1", strings.Count(string(source), mutation.line))
			}
			dir := t.TempDir()
			changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
			replacements, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(changed,
				[]byte(strings.Replace(string(source), mutation.line, mutation.replacement, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(overlay, replacements, 0o600); err != nil {
				t.Fatal(err)
			}
			out, err := exec.Command("go", "test", "-short", "-vet=off", "-overlay", overlay, "-run", "TestModel|TestCrash",
				".").CombinedOutput()
			if err == nil || !strings.Contains(string(out), "--- FAIL") {
				t.Errorf("no test failed with the mutation: %s", out)
			}
			for line := range strings.Lines(string(out)) {
				if strings.Contains(line, "_test.go") {
					t.Log(strings.TrimSpace(line))
					break
				}
			}
		})
	}
}
