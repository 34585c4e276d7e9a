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

// splitFrames returns the frames in some bytes, which it feeds to a Reader in pieces of one size.
func splitFrames(b []byte, pieceBytes int) (frames []Frame, bad *Fault) {
	var r Reader
	for len(b) > 0 {
		n := min(pieceBytes, len(b))
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

// The division of the bytes into pieces must not change the frames or the occurrence of a fault. A frame that was read
// must encode to the same bytes again, its payload must not exceed the limit, and no input may cause a panic.
func FuzzReader(f *testing.F) {
	whole := AppendSections(appendMessage(appendMessage(nil, KindHello, helloPayload{"a", []uint64{1}}), KindWelcome,
		SummaryOf(sampleReport())), sampleReport())
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add([]byte("\x57\x4b\x01\x01\xff\xff\xff\xff00000000"))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(AppendSnapshot(nil, sampleReport(), 1e12))
	f.Fuzz(func(t *testing.T, b []byte) {
		all, bad := splitFrames(b, len(b)+1)
		single, badSingle := splitFrames(b, 1)
		if diff := cmp.Diff(all, single); diff != "" || (bad == nil) != (badSingle == nil) {
			t.Fatal(diff, bad, badSingle)
		}
		var encoded []byte
		for _, f := range all {
			if len(f.Payload) > MaxPayloadBytes {
				t.Fatalf("payload of %d bytes exceeds the limit", len(f.Payload))
			}
			encoded = AppendFrame(encoded, f)
		}
		if !bytes.HasPrefix(b, encoded) {
			t.Fatal("the frames that were read do not encode to the input")
		}
		NewSourceConn(0).Feed(b)
		receiver, _ := NewReceiverConn("t")
		receiver.Feed(b)
		receiver.RequestSections()
		receiver.Feed(b)
		ReadSnapshot(b, "n3", 1e12)
	})
}

// drawReport draws a valid report with up to five classes.
func drawReport(t *rapid.T) knowledge.Report {
	f := rapid.Float64Range(1, 1000)
	r := knowledge.Report{Node: "n3", Uptime: f.Draw(t, "life"), Cores: 6, Warm: true}
	for i := range rapid.IntRange(0, 5).Draw(t, "classes") {
		c := knowledge.Class{Name: fmt.Sprint("c", i)}
		c.Cost = whinrudder.CostModel{N: rapid.Float64Range(1, 200).Draw(t, "n"), Age: f.Draw(t, "age"),
			Time: f.Draw(t, "time")}
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

// A report arrives unchanged. If the transfer is cut at any byte, the report contains only complete sections and is not
// taken for complete.
func TestReportArrivesCompleteOrPartial(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawReport(t)
		b := AppendSections(nil, r)
		cut := rapid.IntRange(0, len(b)).Draw(t, "cut")
		frames, bad := splitFrames(b[:cut], rapid.IntRange(1, 99).Draw(t, "piece"))
		assembler := NewReportAssembler(SummaryOf(r))
		for _, f := range frames {
			if bad := assembler.Add(f); bad != nil {
				t.Fatal(bad)
			}
		}
		got, whole := assembler.Report()
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

// A flipped bit in any byte of a snapshot, or a cut at any byte, must be detected.
func TestDamagedSnapshotIsDetected(t *testing.T) {
	file := AppendSnapshot(nil, sampleReport(), 1e12)
	if _, bad := ReadSnapshot(file, "n3", 1e12+5000); bad != nil {
		t.Fatal(bad)
	}
	for i := range file {
		for _, bit := range []byte{1, 0x80} {
			b := bytes.Clone(file)
			b[i] ^= bit
			if _, bad := ReadSnapshot(b, "n3", 1e12+5000); bad == nil {
				t.Fatalf("byte %d changed by mask %x was not detected", i, bit)
			}
		}
	}
	for n := range file {
		if _, bad := ReadSnapshot(file[:n], "n3", 1e12); bad == nil || bad.Code != "torn" {
			t.Fatalf("cut at byte %d: got %v, want code torn", n, bad)
		}
	}
}

func TestSnapshotOwnerAndTime(t *testing.T) {
	for _, c := range []struct {
		name, node string
		now        float64
		code       string
	}{
		{"own, written a minute ago", "n3", 1e12 + 60e3, ""},
		{"clock set back a little", "n3", 1e12 - 500, ""},
		{"clock set back an hour", "n3", 1e12 - 3600e3, "future"},
		{"another node's", "n4", 1e12, "foreign"},
		{"written a month ago", "n3", 1e12 + 30*86400e3, "old"},
	} {
		r, bad := ReadSnapshot(AppendSnapshot(nil, sampleReport(), 1e12), c.node, c.now)
		code := ""
		if bad != nil {
			code = bad.Code
		}
		if code != c.code {
			t.Errorf("%s: got code %q, want %q", c.name, code, c.code)
		}
		if want := 250 + max(0, c.now-1e12); code == "" && r.Classes[0].Cost.Age != want {
			t.Errorf("%s: got age %v, want %v", c.name, r.Classes[0].Cost.Age, want)
		}
	}
	if _, bad := ReadSnapshot(append(AppendSnapshot(nil, sampleReport(), 1e12), 0), "n3", 1e12); bad == nil ||
		bad.Code != "torn" {
		t.Error("an extra byte after the end frame was not detected")
	}
}

func TestInvalidValueEndsTransfer(t *testing.T) {
	r := sampleReport()
	r.Classes[1].Cost.Time = 1e9
	receiver, _ := NewReceiverConn("n9")
	receiver.Feed(appendMessage(nil, KindWelcome, SummaryOf(r)))
	receiver.RequestSections()
	_, bad := receiver.Feed(AppendSections(nil, r))
	got, whole := receiver.Report()
	if bad == nil || bad.Code != "bad-figure" || !strings.Contains(bad.Text, "payout-book cost.time") || whole ||
		len(got.Classes) != 0 {
		t.Error(bad, whole, got.Classes)
	}
}

func TestBudgetLimitsTransfers(t *testing.T) {
	for _, atLimit := range []bool{false, true} {
		b := NewBudget(0)
		granted, last, waits := 0, 0.0, map[float64]bool{}
		for range 20 {
			ok, retryMs := b.Acquire(0, atLimit)
			if ok {
				granted++
				continue
			}
			if retryMs <= last || retryMs > MaxRetryMs {
				t.Errorf("atLimit=%t: retry after %v ms follows %v ms, want increasing times up to MaxRetryMs",
					atLimit, retryMs, last)
			}
			last, waits[retryMs] = retryMs, true
		}
		if want := map[bool]int{false: 4, true: 2}[atLimit]; granted != want || len(waits) != 20-want {
			t.Errorf("atLimit=%t: got %d transfers, %d distinct retry times, want %d transfers and the others spread",
				atLimit, granted, len(waits), want)
		}
	}
	b := NewBudget(0)
	granted := 0
	for now := 0.0; now < 60000; now += 10 { // twenty receivers that ignore the retry time
		for range 20 {
			if ok, _ := b.Acquire(now, false); ok {
				granted++
				b.Release()
			}
		}
	}
	if granted > 4*60+4 {
		t.Errorf("got %d transfers in a minute, want at most 4 a second and a burst of 4", granted)
	}
}

func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name string
		step Step
		p    SourceState
		code string
	}{
		{"no knowledge yet", StepSendWelcome, SourceState{}, "not-ready"},
		{"draining", StepSendWelcome, SourceState{HasKnowledge: true, Draining: true}, "draining"},
		{"draining since the welcome", StepSendReport, SourceState{HasKnowledge: true, Draining: true}, "draining"},
		{"welcome at the limit", StepSendWelcome, SourceState{HasKnowledge: true, AtLimit: true}, ""},
		{"first transfer", StepSendReport, SourceState{HasKnowledge: true}, ""},
	} {
		if code, _ := NewBudget(0).Admit(0, c.step, c.p); code != c.code {
			t.Errorf("%s: got code %q, want %q", c.name, code, c.code)
		}
	}
	b, accepted := NewBudget(0), 0
	for now := 0.0; now < 10000; now++ { // a thousand connections a second
		if b.AllowConnection(now) {
			accepted++
		}
	}
	if accepted < 320 || accepted > 64+321 {
		t.Errorf("accepted %d connections in 10 s, want 320 to 385", accepted)
	}
}

// runSelection steps a selection every 10 ms. Donors return their responses to an action, which take effect 50 ms
// apart. It returns the actions with their times, and the time at which the selection ended, or -1.
func runSelection(r *SourceSelection,
	donors map[string]func(now float64, action ActionKind) []func()) (log []string, ended float64) {
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
		actions, finished := r.Step(now)
		for _, d := range actions {
			log = append(log, fmt.Sprintf("%.0f %s %s", now, []string{"connect", "take", "drop"}[d.Kind], d.Addr))
			if f := donors[d.Addr]; f != nil {
				for i, do := range f(now, d.Kind) {
					queue = append(queue, event{now + 50*float64(i+1), do})
				}
			}
		}
		if finished {
			return log, now
		}
	}
	return log, -1
}

func TestSourceSelection(t *testing.T) {
	for _, c := range []struct {
		name   string
		donors []string // name and behavior
		log    []string
		found  []string
		ended  float64
	}{
		{"no sources", nil, nil, nil, 0},
		{"one good source", []string{"a good"}, []string{"0 connect a", "50 take a"}, []string{"a"}, 100},
		{"draining, cold and empty sources are skipped", []string{"a draining", "b cold", "c empty", "d good"},
			[]string{"0 connect a", "0 connect b", "0 connect c", "0 connect d", "50 drop a", "50 drop b", "50 drop c",
				"50 take d"}, []string{"d"}, 100},
		{"the three of five with most runs", []string{"a 10", "b 50", "c 20", "d 40", "e 30"},
			[]string{"0 connect a", "0 connect b", "0 connect c", "0 connect d", "0 connect e", "50 take b",
				"50 take d", "50 take e", "100 drop a", "100 drop c"}, []string{"b", "d", "e"}, 100},
		{"a failed source is replaced", []string{"a dies", "b 90", "c 80", "d 70"},
			[]string{"0 connect a", "0 connect b", "0 connect c", "0 connect d", "50 take a", "50 take b", "50 take c",
				"100 take d"}, []string{"b", "c", "d"}, 150},
		{"another source is used in addition to a slow one", []string{"a hangs", "b 90", "c 80", "d 70"},
			[]string{"0 connect a", "0 connect b", "0 connect c", "0 connect d", "50 take a", "50 take b", "50 take c",
				"550 take d", "600 drop a"}, []string{"b", "c", "d"}, 600},
		{"the selection ends at its deadline if the only source hangs", []string{"a hangs"}, []string{"0 connect a",
			"50 take a", "5000 drop a"}, nil, 5000},
		{"a silent source does not delay the others", []string{"a silent", "b good"},
			[]string{"0 connect a", "0 connect b", "450 take b", "5000 drop a"}, []string{"b"}, 5000},
		{"a busy source is retried", []string{"a busy"}, []string{"0 connect a", "750 connect a", "800 take a"},
			[]string{"a"}, 850},
	} {
		t.Run(c.name, func(t *testing.T) {
			var addrs []string
			donors := map[string]func(float64, ActionKind) []func(){}
			r := (*SourceSelection)(nil)
			for _, d := range c.donors {
				name, behavior, _ := strings.Cut(d, " ")
				addrs = append(addrs, name)
				tries := 0
				donors[name] = func(now float64, action ActionKind) []func() {
					summary := Summary{Node: name, Warm: behavior != "cold", Draining: behavior == "draining",
						Runs: 100}
					fmt.Sscanf(behavior, "%f", &summary.Runs)
					if behavior == "empty" {
						summary.Runs = 0
					}
					whole := sampleReport()
					whole.Node = name
					switch {
					case action == ActionClose || behavior == "silent":
						return nil
					case action == ActionConnect && behavior == "busy" && tries == 0:
						tries++
						return []func(){func() { r.HandleBusy(now+50, name, 700) }}
					case action == ActionConnect:
						return []func(){func() { r.HandleWelcome(now+50, name, summary) }}
					case behavior == "hangs":
						return nil
					case behavior == "dies":
						return []func(){func() { r.HandleFailure(name, knowledge.Report{}) }}
					}
					return []func(){func() { r.HandleReport(name, whole) }}
				}
			}
			r = NewSourceSelection(addrs, 5000)
			log, ended := runSelection(r, donors)
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

// The complete sections of a failed source are used only if no source has sent a complete report.
func TestPartialReportsAreFallback(t *testing.T) {
	partial := sampleReport()
	partial.Classes = partial.Classes[:1]
	for _, whole := range []bool{false, true} {
		r := NewSourceSelection([]string{"a", "b"}, 5000)
		r.Step(0)
		for _, n := range []string{"a", "b"} {
			r.HandleWelcome(10, n, Summary{Warm: true, Runs: 1})
		}
		r.Step(20)
		r.HandleFailure("a", partial)
		if whole {
			r.HandleReport("b", sampleReport())
		} else {
			r.HandleFailure("b", knowledge.Report{})
		}
		got := r.Reports()
		if len(got) != 1 || len(got[0].Classes) != map[bool]int{false: 1, true: 2}[whole] {
			t.Errorf("second source complete=%t: got %d reports, want one, complete if the second source is", whole,
				len(got))
		}
	}
}
