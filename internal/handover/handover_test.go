package handover

import (
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
)

var sample = knowledge.Report{Node: "n1", Cores: 6, Warm: true, Classes: []knowledge.Class{{Name: "status",
	ClassKnowledge: whinrudder.ClassKnowledge{Cost: whinrudder.CostModel{N: 20, Time: 100}}}},
	Limit: whinrudder.Estimate{Value: 2, N: 10}}

// parseAddrs parses FRONT=ADDRESS pairs that are separated by commas.
func parseAddrs(text string) map[string]string {
	out := map[string]string{}
	for pair := range strings.SplitSeq(text, ",") {
		k, v, _ := strings.Cut(pair, "=")
		out[k] = v
	}
	return out
}

// parseLoad parses the words of a load: requests in progress, kB of memory, IDs.
func parseLoad(words []string) (b whinrudder.Beside, ids []string) {
	b.InProgress, _ = strconv.Atoi(words[0])
	b.MemoryKB, _ = strconv.ParseFloat(words[1], 64)
	if len(words) > 2 {
		ids = strings.Split(words[2], ",")
	}
	return b, ids
}

// parseDrain parses the operators' drain, such as away=2 or back=3, at the end of words, and returns the other words.
func parseDrain(words []string) (core.DrainState, []string) {
	if len(words) == 0 {
		return core.DrainState{}, words
	}
	last := len(words) - 1
	for _, kind := range []string{"away", "back"} {
		if text, ok := strings.CutPrefix(words[last], kind+"="); ok {
			revision, _ := strconv.ParseUint(text, 10, 64)
			return core.DrainState{On: kind == "away", Revision: revision}, words[:last]
		}
	}
	return core.DrainState{}, words
}

// describeDrain returns the operators' drain in the form of the transcripts, after a space; empty if there was no order.
func describeDrain(s core.DrainState) string {
	if s.Revision == 0 {
		return ""
	}
	return fmt.Sprint(" ", map[bool]string{true: "away", false: "back"}[s.On], "=", s.Revision)
}

// encodeFrame returns the bytes of the frame that the words of an "in" line describe.
func encodeFrame(t *testing.T, words []string) []byte {
	t.Helper()
	rest := words[1:]
	switch words[0] {
	case "hello":
		return peer.AppendValue(nil, kindHello, hello{rest[0], parseAddrs(rest[1])})
	case "welcome":
		drain, _ := parseDrain(rest)
		return peer.AppendValue(nil, kindWelcome, welcome{Node: rest[0], Fronts: strings.Split(rest[1], ","),
			OperatorDrained: len(rest) > 2 && rest[2] == "away" || drain.On, DrainRevision: drain.Revision,
			Summary: peer.SummaryOf(sample)})
	case "sections":
		return peer.AppendSections(nil, sample)
	case "serving":
		return peer.AppendValue(nil, kindServing, struct{}{})
	case "yielded":
		return peer.AppendValue(nil, kindYielded, struct{}{})
	case "load":
		drain, rest := parseDrain(rest)
		b, ids := parseLoad(rest)
		return peer.AppendValue(nil, kindLoad, load{b.InProgress, b.MemoryKB, []byte(strings.Join(ids, "")), drain.On,
			drain.Revision})
	case "conn":
		n, _ := strconv.Atoi(strings.TrimPrefix(rest[1], "served="))
		return peer.AppendValue(nil, kindConn, Conn{Front: rest[0], Served: n})
	case "refuse":
		return peer.AppendRefuse(nil, rest[0])
	}
	b, err := hex.DecodeString(rest[0])
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func describeLoad(b whinrudder.Beside, ids []string) string {
	return strings.TrimSpace(fmt.Sprint(b.InProgress, " ", b.MemoryKB, " ", strings.Join(ids, ",")))
}

// describeEvent returns an event in the form of the transcripts.
func describeEvent(e Event) string {
	switch e := e.(type) {
	case HelloReceived:
		return "asked " + e.Node
	case ListenersReceived:
		return strings.TrimSpace("offered " + strings.Join(e.Fronts, ",") + describeDrain(e.Drain))
	case KnowledgeReceived:
		return fmt.Sprint("learned ", len(e.Classes))
	case LoadReceived:
		return "loaded " + describeLoad(e.Beside, e.IDs) + describeDrain(e.Drain)
	case PredecessorYielded:
		return "yielded"
	case ConnReceived:
		return fmt.Sprintf("came %s served=%d", e.Front, e.Served)
	}
	return "serving"
}

// describeMessages returns the frames of messages, and what is passed along, in the form of the transcripts.
func describeMessages(t *testing.T, messages []Message) (out []string) {
	for _, m := range messages {
		var r peer.Reader
		r.Feed(m.Bytes)
		for f, ok, fault := r.Next(); ok || fault != nil; f, ok, fault = r.Next() {
			if fault != nil {
				t.Fatal(fault)
			}
			line := "out " + peer.DescribeFrame(f)
			switch f.Kind {
			case kindHello:
				var h hello
				peer.DecodeValue(f, &h)
				var pairs []string
				for _, k := range slices.Sorted(maps.Keys(h.Addrs)) {
					pairs = append(pairs, k+"="+h.Addrs[k])
				}
				line = "out hello " + h.Node + " " + strings.Join(pairs, ",")
			case kindWelcome:
				var w welcome
				peer.DecodeValue(f, &w)
				line = "out welcome " + strings.Join(w.Fronts, ",") + describeDrain(drainState(w.OperatorDrained, w.DrainRevision))
			case kindServing:
				line = "out serving"
			case kindYielded:
				line = "out yielded"
			case kindLoad:
				e, _ := decodeLoad(f)
				line = "out load " + describeLoad(e.Beside, e.IDs) + describeDrain(e.Drain)
			case kindConn:
				var c Conn
				peer.DecodeValue(f, &c)
				line = fmt.Sprintf("out conn %s served=%d", c.Front, c.Served)
			case peer.KindSection:
				var s struct {
					Class string `cbor:"class"`
				}
				peer.DecodeValue(f, &s)
				line = strings.TrimSpace("out section " + s.Class)
			case peer.KindEnd:
				var e struct {
					Sections int `cbor:"sections"`
				}
				peer.DecodeValue(f, &e)
				line = fmt.Sprint("out end ", e.Sections)
			}
			if len(m.Fronts) > 0 {
				line += " +" + strings.Join(m.Fronts, ",")
			}
			if m.Conn != nil {
				line += fmt.Sprint(" +", m.Conn)
			}
			out = append(out, line)
		}
	}
	return out
}

// machine is implemented by Predecessor and Successor.
type machine interface {
	Feed(now float64, b []byte) ([]Event, *peer.Fault)
	Messages() []Message
	CheckTimeouts(readUntil float64) *peer.Fault
	SendLoad(b whinrudder.Beside, ids []string, drain core.DrainState)
	SendDrain(drain core.DrainState)
}

// newMachine returns the machine of a side, under the name of its transcript.
func newMachine(name string) machine {
	if name == "give" {
		return NewPredecessor("n1", parseAddrs("http=a:1,h2c=b:2,uwsgi=c:3"), 0)
	}
	return NewSuccessor("n1", parseAddrs("http=a:1,h2c=b:2"), 0)
}

// Each line of a transcript is an input or an expected output of one side. The test feeds the inputs and compares all
// lines.
func TestTranscripts(t *testing.T) {
	for _, name := range []string{"give", "take"} {
		text, err := os.ReadFile("testdata/" + name + ".txt")
		if err != nil {
			t.Fatal(err)
		}
		var want, got []string
		m, now := newMachine(name), 0.0
		got = append(got, describeMessages(t, m.Messages())...)
		for line := range strings.Lines(string(text)) {
			line = strings.TrimSpace(line)
			if line == "" || line[0] == '#' {
				continue
			}
			want = append(want, line)
			words := strings.Fields(line)
			if slices.Contains([]string{"out", "event", "fault"}, words[0]) {
				continue
			}
			got = append(got, line)
			var events []Event
			var fault *peer.Fault
			switch words[0] {
			case "new":
				m, now = newMachine(name), 0
			case "in":
				for _, b := range encodeFrame(t, words[1:]) { // byte by byte
					e, f := m.Feed(now, []byte{b})
					events = append(events, e...)
					if f != nil {
						fault = f
						break
					}
				}
			case "give":
				drain, _ := parseDrain(words)
				m.(*Predecessor).SendWelcome(now, drain, sample)
			case "drain":
				drain, _ := parseDrain(words)
				m.SendDrain(drain)
			case "serve":
				m.(*Successor).SendServing()
			case "load":
				drain, rest := parseDrain(words[1:])
				b, ids := parseLoad(rest)
				m.SendLoad(b, ids, drain)
			case "yield":
				m.(*Predecessor).SendYielded()
			case "conn":
				m.(*Predecessor).SendConn(Conn{Front: "http", Served: 2}, words[1])
			case "at":
				now, _ = strconv.ParseFloat(words[1], 64)
			case "due":
				fault = m.CheckTimeouts(now)
			}
			for _, e := range events {
				got = append(got, "event "+describeEvent(e))
			}
			got = append(got, describeMessages(t, m.Messages())...)
			if fault != nil {
				got = append(got, "fault "+fault.Code)
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("transcript %s (-want +got):\n%s", name, diff)
		}
	}
}

// Reads may split the bytes anywhere. Each side must still receive everything that the other sent, once and in order,
// with the descriptors in the order of the frames that name them.
func TestReadsSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		addrs := parseAddrs("http=a:1,h2c=b:2,uwsgi=c:3")
		predecessor, successor := NewPredecessor("n1", addrs, 0), NewSuccessor("n1", addrs, 0)
		var sent, received, passed, named []string // IDs sent and received; descriptors passed and named by frames
		for i := range rapid.IntRange(0, 2500).Draw(t, "ids") {
			sent = append(sent, fmt.Sprintf("%016x", i))
		}
		conns := rapid.IntRange(0, 5).Draw(t, "conns")
		handle := func(e Event) {
			switch e := e.(type) {
			case HelloReceived:
				predecessor.SendWelcome(0, core.DrainState{}, sample)
				predecessor.SendLoad(whinrudder.Beside{InProgress: 2}, sent, core.DrainState{})
			case ListenersReceived:
				named = append(named, e.Fronts...)
			case KnowledgeReceived:
				successor.SendServing()
			case SuccessorServing:
				for i := range conns {
					predecessor.SendConn(Conn{Front: "http", Served: i}, fmt.Sprint("c", i))
				}
			case LoadReceived:
				received = append(received, e.IDs...)
			case ConnReceived:
				named = append(named, fmt.Sprint("c", e.Served))
			}
		}
		for busy := true; busy; {
			busy = false
			for _, direction := range []struct{ from, to machine }{{successor, predecessor}, {predecessor, successor}} {
				var b []byte
				for _, m := range direction.from.Messages() {
					b = append(b, m.Bytes...)
					passed = append(passed, m.Fronts...)
					if m.Conn != nil {
						passed = append(passed, m.Conn.(string))
					}
				}
				for len(b) > 0 {
					busy = true
					n := min(len(b), rapid.IntRange(1, 9000).Draw(t, "size"))
					events, fault := direction.to.Feed(0, b[:n])
					if fault != nil {
						t.Fatal(fault)
					}
					for _, e := range events {
						handle(e)
					}
					b = b[n:]
				}
			}
		}
		if !predecessor.SuccessorServing() || !slices.Equal(sent, received) || !slices.Equal(passed, named) || len(named) != 3+conns {
			t.Fatalf("successor serving %t; IDs sent %d, received %d; descriptors passed %v, named %v, want all and in order",
				predecessor.SuccessorServing(), len(sent), len(received), passed, named)
		}
	})
}

// Guards against an id that runs at both processes of an upgrade: claims and their answers arrive whole, in any number.
// A successor of an earlier version, which says nothing of claims, is asked for none.
func TestClaims(t *testing.T) {
	addrs := parseAddrs("http=a:1")
	predecessor, successor := NewPredecessor("n1", addrs, 0), NewSuccessor("n1", addrs, 0)
	pass := func(from, to machine) (events []Event) {
		for _, m := range from.Messages() {
			e, fault := to.Feed(0, m.Bytes)
			if fault != nil {
				t.Fatal(fault)
			}
			events = append(events, e...)
		}
		return events
	}
	pass(successor, predecessor)
	predecessor.SendWelcome(0, core.DrainState{}, sample)
	pass(predecessor, successor)
	predecessor.SendClaim([]string{"00000000000000a1"})
	if got := predecessor.Messages(); len(got) > 0 {
		t.Errorf("%d messages claim something before the successor serves", len(got))
	}
	successor.SendServing()
	pass(successor, predecessor)
	var sent, received []string
	for i := range 2 * maxIDsPerLoad {
		sent = append(sent, fmt.Sprintf("%016x", i))
	}
	predecessor.SendClaim(sent)
	for _, e := range pass(predecessor, successor) {
		received = append(received, e.(ClaimReceived).IDs...)
	}
	successor.SendClaimed(received[:1], received[1:3])
	answer := pass(successor, predecessor)
	want := []Event{ClaimAnswered{Granted: sent[:1], Known: sent[1:3]}}
	if diff := cmp.Diff(sent, received); diff != "" || !cmp.Equal(want, answer) {
		t.Errorf("claimed IDs differ: %s; got answer %v, want %v", diff, answer, want)
	}
	pools := []PoolLink{{"pool:1", 4}, {"pool:2", 0}}
	predecessor.SendLinks(pools)
	predecessor.SendLinks(pools) // not again
	if got := pass(predecessor, successor); !cmp.Equal(got, []Event{LinksReceived{pools}}) {
		t.Errorf("got %v, want the links once", got)
	}
	old := NewPredecessor("n1", addrs, 0)
	old.Feed(0, peer.AppendValue(nil, kindHello, hello{"n1", addrs}))
	old.SendWelcome(0, core.DrainState{}, sample)
	if _, fault := old.Feed(0, peer.AppendValue(nil, kindServing, struct{}{})); fault != nil || old.AnswersClaims() {
		t.Errorf("a successor that says nothing of claims: fault %v, answers claims %t", fault, old.AnswersClaims())
	}
}

func TestGraceMs(t *testing.T) {
	for longest, want := range map[float64]float64{900: 1500, 3000: 3600, 9300: 3600} {
		if got := GraceMs([]whinrudder.Class{{Deadline: 100}, {Deadline: longest}}); got != want {
			t.Errorf("GraceMs with a longest deadline of %v ms: got %v ms, want %v ms", longest, got, want)
		}
	}
}

func FuzzSides(f *testing.F) {
	f.Add(true, peer.AppendValue(nil, kindHello, hello{"n1", parseAddrs("http=a:1")}))
	f.Add(false, append(peer.AppendValue(nil, kindWelcome, welcome{Node: "n1", Fronts: []string{"http"},
		Summary: peer.SummaryOf(sample)}), peer.AppendSections(nil, sample)...))
	f.Add(false, peer.AppendValue(nil, kindConn, Conn{Front: "http"}))
	f.Fuzz(func(t *testing.T, predecessor bool, b []byte) {
		m := newMachine(map[bool]string{true: "give", false: "take"}[predecessor])
		m.Messages()
		events, _ := m.Feed(0, b)
		for _, e := range events {
			switch e := e.(type) {
			case LoadReceived:
				if e.InProgress < 0 || !(e.MemoryKB >= 0) {
					t.Errorf("invalid load is accepted: %+v", e)
				}
			case ListenersReceived:
				for _, n := range e.Fronts {
					if n != "http" && n != "h2c" {
						t.Errorf("front %q is accepted, but was not requested", n)
					}
				}
			}
		}
	})
}
