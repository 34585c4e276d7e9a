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

// move is a thing that may happen next; it returns false where it can't.
type move struct {
	name string
	do   func(w *world) bool
}

// moves are all that may happen in the explored worlds: three requests of two keys, one with another body, at most.
var moves = []move{
	{"ask a", func(w *world) bool { return w.askOnce("a", "b:a", 2) }},
	{"ask b", func(w *world) bool { return w.askOnce("b", "b:b", 1) }},
	{"ask other", func(w *world) bool { return w.askOnce("a", "other", 1) }},
	{"lay", func(w *world) bool {
		can := !w.dead && len(w.writes)+len(w.fetches)+len(w.drops) > 0
		w.lay()
		return can
	}},
	{"lay fails", func(w *world) bool {
		can := !w.dead && len(w.writes) > 0
		w.dir.SetFaults(func(o storagetest.Op) storagetest.Fault {
			if o.Kind == "sync" {
				return storagetest.Fail
			}
			return storagetest.None
		})
		w.lay()
		w.dir.SetFaults(nil)
		return can
	}},
	{"read", func(w *world) bool {
		can := len(w.inbox) > 0
		w.read()
		return can
	}},
	{"finish", func(w *world) bool {
		un := w.unfinished()
		if len(un) > 0 {
			w.finish(un[0])
		}
		return len(un) > 0
	}},
	{"break", func(w *world) bool {
		can := w.linked
		w.unlink()
		return can
	}},
	{"relink", func(w *world) bool {
		can := !w.linked && !w.dead
		if can {
			w.relink()
		}
		return can
	}},
	{"leave", func(w *world) bool {
		for _, a := range w.asks {
			if a.id == w.firstOpen() {
				w.leave(a)
				return true
			}
		}
		return false
	}},
	{"due", func(w *world) bool {
		can := w.firstOpen() != ""
		w.pass(6000)
		return can
	}},
	{"crash", func(w *world) bool {
		w.crash()
		w.boot()
		return true
	}},
}

func (w *world) askOnce(key, body string, most int) bool {
	n := 0
	for _, a := range w.asks {
		if a.key == "book/"+key && a.body == body {
			n++
		}
	}
	if n < most {
		w.ask(key, body)
	}
	return n < most
}

// firstOpen returns the id of the oldest request that is owed an answer.
func (w *world) firstOpen() (id string) {
	for _, a := range w.asks {
		if !a.gone && len(a.answers) == 0 && (id == "" || a.id < id) {
			id = a.id
		}
	}
	return id
}

// print is what tells states apart: all but times and what the module has learned.
func (w *world) print() uint64 {
	var b strings.Builder
	if !w.dead {
		fmt.Fprintln(&b, w.core.Dump(), w.link.Dump())
	}
	fmt.Fprintln(&b, w.linked, string(w.inbox), w.serial, w.told, len(w.writes), len(w.fetches), len(w.drops), w.order)
	ids := []string{}
	for id, a := range w.asks {
		ids = append(ids, fmt.Sprint(id, a.key, a.body, a.gone, a.promised, len(a.answers)))
		for _, x := range a.answers {
			ids = append(ids, fmt.Sprint(id, x.Outcome, x.Kept))
		}
	}
	for id, r := range w.runs {
		ids = append(ids, fmt.Sprint(id, r.over))
	}
	slices.Sort(ids)
	fmt.Fprintln(&b, ids)
	return xxhash.Sum64String(b.String())
}

// play makes a world in which some moves have been made.
func play(path []byte, back bool) (w *world, can bool) {
	w = newWorld(1, usual)
	w.back = back
	can = true
	for _, m := range path {
		can = moves[m].do(w)
	}
	return w, can
}

func names(path []byte) (out []string) {
	for _, m := range path {
		out = append(out, moves[m].name)
	}
	return out
}

// modelDepth is how many moves are explored; WHINRUDDER_DEPTH sets another for a long run by hand.
func modelDepth() int {
	depth := 6
	fmt.Sscan(os.Getenv("WHINRUDDER_DEPTH"), &depth)
	return depth
}

// All that can happen in so many moves, in any order, with the real core, table, link and journal: no key runs twice, no
// request has two answers or a wrong one, and from each state all comes to an end in which every request has been answered.
func TestModel(t *testing.T) {
	for _, back := range []bool{true, false} {
		seen := map[uint64]bool{}
		level := [][]byte{nil}
		states, steps, ran := 0, 0, 0
		for depth := 0; depth < modelDepth(); depth++ {
			type state struct {
				path  []byte
				can   bool
				print uint64
				ran   int
				wrong []string
			}
			all := make([]state, len(level)*len(moves))
			each(len(all), func(i int) {
				to := append(slices.Clone(level[i/len(moves)]), byte(i%len(moves)))
				w, can := play(to, back)
				all[i] = state{path: to, can: can, print: w.print(), ran: len(w.order)}
			})
			steps += len(all)
			all = slices.DeleteFunc(all, func(s state) bool {
				old := !s.can || seen[s.print]
				seen[s.print] = seen[s.print] || s.can
				return old
			})
			each(len(all), func(i int) {
				w, _ := play(all[i].path, back)
				if len(w.wrong) == 0 {
					w.calm([]string{"a", "b"})
				}
				all[i].wrong = w.wrong
			})
			level = level[:0:0]
			for _, s := range all {
				if len(s.wrong) > 0 {
					t.Fatalf("notices reach back %v, after %v: %s", back, names(s.path), s.wrong[0])
				}
				states++
				ran += s.ran
				level = append(level, s.path)
			}
		}
		t.Logf("notices reach back %v: %d states, %d moves to depth %d, %d runs in them", back, states, steps, modelDepth(), ran)
		if ran == 0 {
			t.Error("nothing ran")
		}
	}
}

// each does something for all numbers under n, side by side.
func each(n int, do func(i int)) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				do(i)
			}
		})
	}
	wg.Wait()
}

// Each fault is a line of the sources that is taken out: the model checker or the crash matrix must find it. Where the
// checks can't fail, they prove nothing.
func TestFaultsPutInAreFound(t *testing.T) {
	if testing.Short() || os.Getenv("WHINRUDDER_DEPTH") != "" {
		t.Skip("it builds the tests anew for each fault")
	}
	for _, f := range []struct{ file, line, instead string }{
		{"ops/disk.go", "	t.setState(o, InDoubt, r.At)\n", "	t.forget(o)\n"},
		{"ops/ops.go", "	t.intentQueue = append(t.intentQueue, o)\n", "	t.intentQueue = append(t.intentQueue, o)\n	t.emit(StartRun{id})\n"},
		{"ops/ops.go", "	case o.digest != digest:\n		t.emit(LogEvent{\"other-body\", key, id})\n		return Verdict{Kind: VerdictFails, Reason: ReasonOtherBody}\n", ""},
		{"ops/disk.go", "			t.pendingWrites = append(t.pendingWrites, &pendingWrite{op: o, record: w.record, since: now})\n			t.emit(Write{Record: w.record})\n", ""},
		{"ops/disk.go", "		if o != nil && o.runID == r.Run {\n			t.forget(o)\n		}\n", ""},
		{"core/core.go", "			c.ops.Cancel(c.now, r.ID)\n", ""},
		{"core/kept.go", "		all[i].Repeat, all[i].Window = whinrudder.Keyed, 0\n", "		_ = all[i]\n"},
	} {
		t.Run(f.file+" "+strings.TrimSpace(strings.SplitN(f.line, "\n", 2)[0]), func(t *testing.T) {
			t.Parallel()
			path, err := filepath.Abs(filepath.Join("..", f.file))
			if err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(string(text), f.line) != 1 {
				t.Fatalf("the line is there %d times", strings.Count(string(text), f.line))
			}
			dir := t.TempDir()
			changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
			list, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(changed, []byte(strings.Replace(string(text), f.line, f.instead, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(overlay, list, 0o600); err != nil {
				t.Fatal(err)
			}
			out, err := exec.Command("go", "test", "-short", "-vet=off", "-overlay", overlay, "-run", "TestModel|TestCrash", ".").CombinedOutput()
			if err == nil || !strings.Contains(string(out), "--- FAIL") {
				t.Errorf("not found: %s", out)
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
