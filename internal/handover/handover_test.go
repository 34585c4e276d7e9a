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
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
)

var sample = knowledge.Report{Node: "n1", Cores: 6, Warm: true, Classes: []knowledge.Class{{Name: "status",
	ClassKnowledge: whinrudder.ClassKnowledge{Cost: whinrudder.CostModel{N: 20, Time: 100}}}},
	Limit: whinrudder.Estimate{Value: 2, N: 10}}

func addrs(text string) map[string]string {
	out := map[string]string{}
	for pair := range strings.SplitSeq(text, ",") {
		k, v, _ := strings.Cut(pair, "=")
		out[k] = v
	}
	return out
}

func loadOf(words []string) (b whinrudder.Beside, ids []string) {
	b.InProgress, _ = strconv.Atoi(words[0])
	b.MemoryKB, _ = strconv.ParseFloat(words[1], 64)
	if len(words) > 2 {
		ids = strings.Split(words[2], ",")
	}
	return b, ids
}

// frameOf makes the bytes that a line tells to come.
func frameOf(t *testing.T, words []string) []byte {
	t.Helper()
	rest := words[1:]
	switch words[0] {
	case "hello":
		return peer.AppendValue(nil, kindHello, hello{rest[0], addrs(rest[1])})
	case "welcome":
		return peer.AppendValue(nil, kindWelcome, welcome{Node: rest[0], Fronts: strings.Split(rest[1], ","), Away: len(rest) > 2, Head: peer.SummaryOf(sample)})
	case "sections":
		return peer.AppendSections(nil, sample)
	case "serving":
		return peer.AppendValue(nil, kindServing, struct{}{})
	case "yielded":
		return peer.AppendValue(nil, kindYielded, struct{}{})
	case "load":
		b, ids := loadOf(rest)
		return peer.AppendValue(nil, kindLoad, load{b.InProgress, b.MemoryKB, []byte(strings.Join(ids, ""))})
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

func told(b whinrudder.Beside, ids []string) string {
	return strings.TrimSpace(fmt.Sprint(b.InProgress, " ", b.MemoryKB, " ", strings.Join(ids, ",")))
}

func tellEvent(e Event) string {
	switch e := e.(type) {
	case HelloReceived:
		return "asked " + e.Node
	case ListenersReceived:
		return strings.TrimSpace("offered " + strings.Join(e.Fronts, ",") + map[bool]string{true: " away"}[e.OperatorDrained])
	case KnowledgeReceived:
		return fmt.Sprint("learned ", len(e.Classes))
	case LoadReceived:
		return "loaded " + told(e.Beside, e.IDs)
	case PredecessorYielded:
		return "yielded"
	case ConnReceived:
		return fmt.Sprintf("came %s served=%d", e.Front, e.Served)
	}
	return "serving"
}

// tellOut names the frames of messages and what goes along.
func tellOut(t *testing.T, all []Message) (out []string) {
	for _, m := range all {
		var r peer.Reader
		r.Feed(m.Bytes)
		for f, ok, bad := r.Next(); ok || bad != nil; f, ok, bad = r.Next() {
			if bad != nil {
				t.Fatal(bad)
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
				line = "out welcome " + strings.Join(w.Fronts, ",")
			case kindServing:
				line = "out serving"
			case kindYielded:
				line = "out yielded"
			case kindLoad:
				e, _ := loaded(f)
				line = "out load " + told(e.Beside, e.IDs)
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

// machine is either side.
type machine interface {
	Feed(now float64, b []byte) ([]Event, *peer.Fault)
	Messages() []Message
	CheckTimeouts(now float64) *peer.Fault
	SendLoad(b whinrudder.Beside, ids []string)
}

func newSide(name string) machine {
	if name == "give" {
		return NewPredecessor("n1", addrs("http=a:1,h2c=b:2,uwsgi=c:3"), 0)
	}
	return NewSuccessor("n1", addrs("http=a:1,h2c=b:2"), 0)
}

func TestTranscripts(t *testing.T) {
	for _, name := range []string{"give", "take"} {
		text, err := os.ReadFile("testdata/" + name + ".txt")
		if err != nil {
			t.Fatal(err)
		}
		var want, got []string
		m, now := newSide(name), 0.0
		got = append(got, tellOut(t, m.Messages())...)
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
			var bad *peer.Fault
			switch words[0] {
			case "new":
				m, now = newSide(name), 0
			case "in":
				for _, b := range frameOf(t, words[1:]) { // byte by byte
					e, f := m.Feed(now, []byte{b})
					events = append(events, e...)
					if f != nil {
						bad = f
						break
					}
				}
			case "give":
				m.(*Predecessor).SendWelcome(now, false, sample)
			case "serve":
				m.(*Successor).SendServing()
			case "load":
				m.SendLoad(loadOf(words[1:]))
			case "yield":
				m.(*Predecessor).SendYielded()
			case "conn":
				m.(*Predecessor).SendConn(Conn{Front: "http", Served: 2}, words[1])
			case "at":
				now, _ = strconv.ParseFloat(words[1], 64)
			case "due":
				bad = m.CheckTimeouts(now)
			}
			for _, e := range events {
				got = append(got, "event "+tellEvent(e))
			}
			got = append(got, tellOut(t, m.Messages())...)
			if bad != nil {
				got = append(got, "fault "+bad.Code)
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// However the bytes are cut, each side hears all that the other said, once and in order, with the descriptors in the
// order of the frames that name them.
func TestTalkInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := addrs("http=a:1,h2c=b:2,uwsgi=c:3")
		g, k := NewPredecessor("n1", all, 0), NewSuccessor("n1", all, 0)
		var sent, heard, files, named []string
		for i := range rapid.IntRange(0, 2500).Draw(t, "ids") {
			sent = append(sent, fmt.Sprintf("%016x", i))
		}
		conns := rapid.IntRange(0, 5).Draw(t, "conns")
		take := func(e Event) {
			switch e := e.(type) {
			case HelloReceived:
				g.SendWelcome(0, false, sample)
				g.SendLoad(whinrudder.Beside{InProgress: 2}, sent)
			case ListenersReceived:
				named = append(named, e.Fronts...)
			case KnowledgeReceived:
				k.SendServing()
			case SuccessorServing:
				for i := range conns {
					g.SendConn(Conn{Front: "http", Served: i}, fmt.Sprint("c", i))
				}
			case LoadReceived:
				heard = append(heard, e.IDs...)
			case ConnReceived:
				named = append(named, fmt.Sprint("c", e.Served))
			}
		}
		for busy := true; busy; {
			busy = false
			for _, way := range []struct{ from, to machine }{{k, g}, {g, k}} {
				var b []byte
				for _, m := range way.from.Messages() {
					b = append(b, m.Bytes...)
					files = append(files, m.Fronts...)
					if m.Conn != nil {
						files = append(files, m.Conn.(string))
					}
				}
				for len(b) > 0 {
					busy = true
					n := min(len(b), rapid.IntRange(1, 9000).Draw(t, "size"))
					events, bad := way.to.Feed(0, b[:n])
					if bad != nil {
						t.Fatal(bad)
					}
					for _, e := range events {
						take(e)
					}
					b = b[n:]
				}
			}
		}
		if !g.SuccessorServing() || !slices.Equal(sent, heard) || !slices.Equal(files, named) || len(named) != 3+conns {
			t.Fatal(g.SuccessorServing(), len(sent), len(heard), files, named)
		}
	})
}

func TestGrace(t *testing.T) {
	for longest, want := range map[float64]float64{900: 1500, 3000: 3600, 9300: 3600} {
		if got := GraceMs([]whinrudder.Class{{Deadline: 100}, {Deadline: longest}}); got != want {
			t.Errorf("%v ms with a deadline of %v, want %v", got, longest, want)
		}
	}
}

func FuzzSides(f *testing.F) {
	f.Add(true, peer.AppendValue(nil, kindHello, hello{"n1", addrs("http=a:1")}))
	f.Add(false, append(peer.AppendValue(nil, kindWelcome, welcome{Node: "n1", Fronts: []string{"http"}, Head: peer.SummaryOf(sample)}), peer.AppendSections(nil, sample)...))
	f.Add(false, peer.AppendValue(nil, kindConn, Conn{Front: "http"}))
	f.Fuzz(func(t *testing.T, give bool, b []byte) {
		m := newSide(map[bool]string{true: "give", false: "take"}[give])
		m.Messages()
		events, _ := m.Feed(0, b)
		for _, e := range events {
			switch e := e.(type) {
			case LoadReceived:
				if e.InProgress < 0 || !(e.MemoryKB >= 0) {
					t.Error(e)
				}
			case ListenersReceived:
				for _, n := range e.Fronts {
					if n != "http" && n != "h2c" {
						t.Error(e)
					}
				}
			}
		}
	})
}
