package peer

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"whinrudder"
	"whinrudder/internal/knowledge"
)

// drain reads all frames of some bytes that come in pieces of one size.
func drain(b []byte, piece int) (frames []Frame, bad *Fault) {
	var r Reader
	for len(b) > 0 {
		n := min(piece, len(b))
		r.Feed(b[:n])
		b = b[n:]
		for {
			f, ok, bad := r.Next()
			if bad != nil {
				return frames, bad
			}
			if !ok {
				break
			}
			frames = append(frames, f)
		}
	}
	return frames, nil
}

// However the bytes come, the frames and the fault are the same; a frame that was taken is byte for byte what its kind
// and payload make; and nothing is kept beyond one frame.
func FuzzReader(f *testing.F) {
	whole := AppendSections(frame(frame(nil, KindHello, hello{"a", []uint64{1}}), KindWelcome, SummaryOf(sample())), sample())
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add([]byte("\x57\x4b\x01\x01\xff\xff\xff\xff00000000"))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(AppendSnapshot(nil, sample(), 1e12))
	f.Fuzz(func(t *testing.T, b []byte) {
		all, bad := drain(b, len(b)+1)
		single, badSingle := drain(b, 1)
		if diff := cmp.Diff(all, single); diff != "" || (bad == nil) != (badSingle == nil) {
			t.Fatal(diff, bad, badSingle)
		}
		var again []byte
		for _, f := range all {
			if len(f.Payload) > MaxPayloadBytes {
				t.Fatalf("a payload of %d bytes", len(f.Payload))
			}
			again = AppendFrame(again, f)
		}
		if !bytes.HasPrefix(b, again) {
			t.Fatal("frames that were taken are not those that came")
		}
		NewSourceConn(0).Feed(b)
		k, _ := NewReceiverConn("t")
		k.Feed(b)
		k.RequestSections()
		k.Feed(b)
		ReadSnapshot(b, "n3", 1e12)
	})
}

func reports(t *rapid.T) knowledge.Report {
	f := rapid.Float64Range(1, 1000)
	r := knowledge.Report{Node: "n3", Uptime: f.Draw(t, "life"), Cores: 6, Warm: true}
	for i := range rapid.IntRange(0, 5).Draw(t, "classes") {
		c := knowledge.Class{Name: fmt.Sprint("c", i)}
		c.Cost = whinrudder.CostModel{N: rapid.Float64Range(1, 200).Draw(t, "n"), Age: f.Draw(t, "age"), Time: f.Draw(t, "time")}
		c.Share = f.Draw(t, "share")
		c.Waits = rapid.SliceOfN(f, 0, 16).Draw(t, "waits")
		if len(c.Waits) == 0 {
			c.Waits = nil
		}
		r.Classes = append(r.Classes, c)
	}
	r.Limit = whinrudder.Estimate{Value: f.Draw(t, "limit"), N: f.Draw(t, "rules"), Age: f.Draw(t, "age")}
	return r
}

// What was given arrives as it was; cut anywhere, only whole sections count, and it is not taken for the whole.
func TestReportsArriveWholeOrInPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := reports(t)
		b := AppendSections(nil, r)
		cut := rapid.IntRange(0, len(b)).Draw(t, "cut")
		frames, bad := drain(b[:cut], rapid.IntRange(1, 99).Draw(t, "piece"))
		g := NewReportAssembler(SummaryOf(r))
		for _, f := range frames {
			if bad := g.Add(f); bad != nil {
				t.Fatal(bad)
			}
		}
		got, whole := g.Report()
		if bad != nil || whole != (cut == len(b)) {
			t.Fatal(bad, whole, cut, len(b))
		}
		want := r
		if !whole {
			want.Classes = r.Classes[:len(got.Classes)]
			want.Limit = got.Limit
		}
		if diff := cmp.Diff(want.Classes, got.Classes); diff != "" && len(want.Classes) > 0 {
			t.Fatal(diff)
		}
		if diff := cmp.Diff(want.Limit, got.Limit); diff != "" {
			t.Fatal(diff)
		}
	})
}

// A byte of a transfer or a snapshot that is flipped never goes unseen.
func TestFlippedBytesAreSeen(t *testing.T) {
	file := AppendSnapshot(nil, sample(), 1e12)
	if _, bad := ReadSnapshot(file, "n3", 1e12+5000); bad != nil {
		t.Fatal(bad)
	}
	for i := range file {
		for _, bit := range []byte{1, 0x80} {
			b := bytes.Clone(file)
			b[i] ^= bit
			if _, bad := ReadSnapshot(b, "n3", 1e12+5000); bad == nil {
				t.Fatalf("byte %d flipped by %x went unseen", i, bit)
			}
		}
	}
	for n := range file {
		if _, bad := ReadSnapshot(file[:n], "n3", 1e12); bad == nil || bad.Code != "torn" {
			t.Fatalf("cut at %d: want torn, got %v", n, bad)
		}
	}
}

func TestSnapshotsOfOthersAndOfTheFuture(t *testing.T) {
	for _, c := range []struct {
		name, node string
		now        float64
		code       string
	}{
		{"own, a minute ago", "n3", 1e12 + 60e3, ""},
		{"clock set back a little", "n3", 1e12 - 500, ""},
		{"clock set back an hour", "n3", 1e12 - 3600e3, "future"},
		{"another node's", "n4", 1e12, "foreign"},
		{"of last month", "n3", 1e12 + 30*86400e3, "old"},
	} {
		r, bad := ReadSnapshot(AppendSnapshot(nil, sample(), 1e12), c.node, c.now)
		code := ""
		if bad != nil {
			code = bad.Code
		}
		if code != c.code {
			t.Errorf("%s: want %q, got %q", c.name, c.code, code)
		}
		if want := 250 + max(0, c.now-1e12); code == "" && r.Classes[0].Cost.Age != want {
			t.Errorf("%s: want an age of %v, got %v", c.name, want, r.Classes[0].Cost.Age)
		}
	}
	if _, bad := ReadSnapshot(append(AppendSnapshot(nil, sample(), 1e12), 0), "n3", 1e12); bad == nil || bad.Code != "torn" {
		t.Error("a byte behind the end went unseen")
	}
}

func TestFiguresThatNoNodeCanHaveEndTheTransfer(t *testing.T) {
	r := sample()
	r.Classes[1].Cost.Time = 1e9
	k, _ := NewReceiverConn("n9")
	k.Feed(frame(nil, KindWelcome, SummaryOf(r)))
	k.RequestSections()
	_, bad := k.Feed(AppendSections(nil, r))
	got, whole := k.Report()
	if bad == nil || bad.Code != "bad-figure" || !strings.Contains(bad.Text, "payout-book cost.time") || whole || len(got.Classes) != 0 {
		t.Error(bad, whole, got.Classes)
	}
}

func TestBudgetPutsOffWhatWouldCostTooMuch(t *testing.T) {
	for _, full := range []bool{false, true} {
		b := NewBudget(0)
		given, last, waits := 0, 0.0, map[float64]bool{}
		for range 20 {
			ok, retry := b.Acquire(0, full)
			if ok {
				given++
				continue
			}
			if retry <= last || retry > MaxRetryMs {
				t.Errorf("full=%t: told to come back after %v, the one before after %v", full, retry, last)
			}
			last, waits[retry] = retry, true
		}
		if want := map[bool]int{false: 4, true: 2}[full]; given != want || len(waits) != 20-want {
			t.Errorf("full=%t: want %d given and the rest spread, got %d, %d", full, want, given, len(waits))
		}
	}
	b := NewBudget(0)
	given := 0
	for now := 0.0; now < 60000; now += 10 { // twenty that never heed
		for range 20 {
			if ok, _ := b.Acquire(now, false); ok {
				given++
				b.Release()
			}
		}
	}
	if given > 4*60+4 {
		t.Errorf("%d given in a minute", given)
	}
}

func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name string
		step Step
		p    SourceState
		code string
	}{
		{"not up", StepSendWelcome, SourceState{}, "not-ready"},
		{"drains", StepSendWelcome, SourceState{HasKnowledge: true, Draining: true}, "draining"},
		{"began to drain since the welcome", StepSendReport, SourceState{HasKnowledge: true, Draining: true}, "draining"},
		{"a welcome costs nothing", StepSendWelcome, SourceState{HasKnowledge: true, AtLimit: true}, ""},
		{"first", StepSendReport, SourceState{HasKnowledge: true}, ""},
	} {
		if code, _ := NewBudget(0).Admit(0, c.step, c.p); code != c.code {
			t.Errorf("%s: want %q, got %q", c.name, c.code, code)
		}
	}
	b, taken := NewBudget(0), 0
	for now := 0.0; now < 10000; now++ { // a thousand connections a second
		if b.AllowConnection(now) {
			taken++
		}
	}
	if taken < 320 || taken > 64+321 {
		t.Errorf("%d connections taken in 10 s", taken)
	}
}

// play plays a round: a script of what donors do, by the time at which the round has been stepped.
func play(r *SourceSelection, donors map[string]func(now float64, what ActionKind) []func()) (log []string, ended float64) {
	type event struct {
		at float64
		do func()
	}
	var queue []event
	for now := 0.0; now < 20000; now += 10 {
		for i := 0; i < len(queue); i++ {
			if queue[i].at <= now {
				queue[i].do()
				queue = append(queue[:i], queue[i+1:]...)
				i--
			}
		}
		todo, over := r.Step(now)
		for _, d := range todo {
			log = append(log, fmt.Sprintf("%.0f %s %s", now, []string{"connect", "take", "drop"}[d.Kind], d.Addr))
			if f := donors[d.Addr]; f != nil {
				for i, do := range f(now, d.Kind) {
					queue = append(queue, event{now + 50*float64(i+1), do})
				}
			}
		}
		if over {
			return log, now
		}
	}
	return log, -1
}

func TestRounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		donors []string // name and what it does
		log    []string
		found  []string
		ended  float64
	}{
		{"nobody", nil, nil, nil, 0},
		{"one good", []string{"a good"}, []string{"0 connect a", "50 take a"}, []string{"a"}, 100},
		{"draining, cold and empty ones are passed over", []string{"a draining", "b cold", "c empty", "d good"},
			[]string{"0 connect a", "0 connect b", "0 connect c", "0 connect d", "50 drop a", "50 drop b", "50 drop c",
				"50 take d"}, []string{"d"}, 100},
		{"the best three of five", []string{"a 10", "b 50", "c 20", "d 40", "e 30"},
			[]string{"0 connect a", "0 connect b", "0 connect c", "0 connect d", "0 connect e", "50 take b", "50 take d",
				"50 take e", "100 drop a", "100 drop c"}, []string{"b", "d", "e"}, 100},
		{"a dead one is replaced", []string{"a dies", "b 90", "c 80", "d 70"},
			[]string{"0 connect a", "0 connect b", "0 connect c", "0 connect d", "50 take a", "50 take b", "50 take c",
				"100 take d"}, []string{"b", "c", "d"}, 150},
		{"a slow one gets a second beside it", []string{"a hangs", "b 90", "c 80", "d 70"},
			[]string{"0 connect a", "0 connect b", "0 connect c", "0 connect d", "50 take a", "50 take b", "50 take c",
				"550 take d", "600 drop a"}, []string{"b", "c", "d"}, 600},
		{"one that hangs alone ends the round by its time", []string{"a hangs"}, []string{"0 connect a", "50 take a",
			"5000 drop a"}, nil, 5000},
		{"one that says nothing does not hold up the others", []string{"a silent", "b good"},
			[]string{"0 connect a", "0 connect b", "450 take b", "5000 drop a"}, []string{"b"}, 5000},
		{"a busy one is asked again", []string{"a busy"}, []string{"0 connect a", "750 connect a", "800 take a"},
			[]string{"a"}, 850},
	} {
		t.Run(c.name, func(t *testing.T) {
			var addrs []string
			donors := map[string]func(float64, ActionKind) []func(){}
			r := (*SourceSelection)(nil)
			for _, d := range c.donors {
				name, how, _ := strings.Cut(d, " ")
				addrs = append(addrs, name)
				tries := 0
				donors[name] = func(now float64, what ActionKind) []func() {
					h := Summary{Node: name, Warm: how != "cold", Draining: how == "draining", Runs: 100}
					fmt.Sscanf(how, "%f", &h.Runs)
					if how == "empty" {
						h.Runs = 0
					}
					whole := sample()
					whole.Node = name
					switch {
					case what == ActionClose || how == "silent":
						return nil
					case what == ActionConnect && how == "busy" && tries == 0:
						tries++
						return []func(){func() { r.HandleBusy(now+50, name, 700) }}
					case what == ActionConnect:
						return []func(){func() { r.HandleWelcome(now+50, name, h) }}
					case how == "hangs":
						return nil
					case how == "dies":
						return []func(){func() { r.HandleFailure(name, knowledge.Report{}) }}
					}
					return []func(){func() { r.HandleReport(name, whole) }}
				}
			}
			r = NewSourceSelection(addrs, 5000)
			log, ended := play(r, donors)
			if diff := cmp.Diff(c.log, log); diff != "" {
				t.Error(diff)
			}
			var found []string
			for _, f := range r.Reports() {
				found = append(found, f.Node)
			}
			if diff := cmp.Diff(c.found, found); diff != "" || ended != c.ended {
				t.Error(diff, ended)
			}
		})
	}
}

// What came whole of a donor that died counts if no other has given all.
func TestPartsCountWhereThereIsNothingBetter(t *testing.T) {
	part := sample()
	part.Classes = part.Classes[:1]
	for _, whole := range []bool{false, true} {
		r := NewSourceSelection([]string{"a", "b"}, 5000)
		r.Step(0)
		for _, n := range []string{"a", "b"} {
			r.HandleWelcome(10, n, Summary{Warm: true, Runs: 1})
		}
		r.Step(20)
		r.HandleFailure("a", part)
		if whole {
			r.HandleReport("b", sample())
		} else {
			r.HandleFailure("b", knowledge.Report{})
		}
		got := r.Reports()
		if len(got) != 1 || len(got[0].Classes) != map[bool]int{false: 1, true: 2}[whole] {
			t.Errorf("whole=%t: got %d reports", whole, len(got))
		}
	}
}
