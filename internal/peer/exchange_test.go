package peer

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"whinrudder"
	"whinrudder/internal/knowledge"
)

var record = flag.Bool("record", false, "rewrite the transcripts of the exchanges")

// sampleReport returns the report that the exchanges contain.
func sampleReport() knowledge.Report {
	return knowledge.Report{Node: "n3", Uptime: 90000, Cores: 6, Warm: true, Classes: []knowledge.Class{
		{Name: "status-lookup", ClassKnowledge: whinrudder.ClassKnowledge{Share: 40, Waits: []float64{5580, 5580},
			Cost: whinrudder.CostModel{N: 120, Age: 250, Time: 512.5}}},
		{Name: "payout-book", ClassKnowledge: whinrudder.ClassKnowledge{Share: 35.5,
			Cost: whinrudder.CostModel{N: 44, Age: 3000, Time: 498}}}},
		Limit: whinrudder.Estimate{Value: 2.5, N: 80, Age: 500}}
}

// inputBytes returns the bytes of an input line of an exchange. An exchange is a file of lines: "in HEX" is input, with
// the bytes in hexadecimal or the name of a frame with its arguments; "do" is an action of the driver; the other lines
// are the expected events and the exact bytes of the output.
func inputBytes(t *testing.T, words []string) []byte {
	t.Helper()
	switch words[0] {
	case "hello":
		var versions []uint64
		for _, w := range words[1:] {
			v, _ := strconv.ParseUint(w, 10, 8)
			versions = append(versions, v)
		}
		return appendMessage(nil, KindHello, helloPayload{"n9", versions})
	case "take":
		return AppendFrame(nil, Frame{KindTake, nil})
	case "welcome":
		return appendMessage(nil, KindWelcome, SummaryOf(sampleReport()))
	case "sections":
		return AppendSections(nil, sampleReport())
	case "busy":
		ms, _ := strconv.ParseFloat(words[1], 64)
		return appendMessage(nil, KindBusy, busyPayload{ms, "busy"})
	case "refuse":
		return appendMessage(nil, KindRefuse, refusePayload{words[1]})
	}
	b, err := hex.DecodeString(strings.Join(words, ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The words for steps and events in the exchanges.
var stepWords = []string{"read", "welcome", "give", "end"}
var eventWords = []string{"none", "welcome", "busy", "whole", "refused", "sections"}

// playSource runs the input and driver lines of an exchange through a SourceConn and returns the whole transcript.
func playSource(t *testing.T, lines []string) (out []string) {
	c := NewSourceConn(1000)
	addStep := func(step Step, b []byte, bad *Fault) {
		if len(b) > 0 {
			out = append(out, "out "+hex.EncodeToString(b))
		}
		out = append(out, "step "+stepWords[step])
		if bad != nil {
			out = append(out, "fault "+bad.Code)
		}
	}
	for _, l := range lines {
		words := strings.Fields(l)
		switch words[0] {
		case "in":
			out = append(out, l)
			addStep(c.Feed(inputBytes(t, words[1:])))
		case "do":
			out = append(out, l)
			switch words[1] {
			case "welcome":
				addStep(c.SendWelcome(SummaryOf(sampleReport())))
			case "give":
				addStep(c.SendReport(sampleReport()))
			case "busy":
				addStep(c.SendBusy("busy", 1500))
			}
		}
	}
	return out
}

// playReceiver does the same with a ReceiverConn.
func playReceiver(t *testing.T, lines []string) (out []string) {
	c, b := NewReceiverConn("n9")
	out = append(out, "out "+hex.EncodeToString(b))
	for _, l := range lines {
		words := strings.Fields(l)
		switch words[0] {
		case "in":
			out = append(out, l)
			event, bad := c.Feed(inputBytes(t, words[1:]))
			r, whole := c.Report()
			out = append(out, fmt.Sprintf("news %s classes=%d whole=%t code=%s", eventWords[event], len(r.Classes),
				whole, c.Code))
			if bad != nil {
				out = append(out, "fault "+bad.Code)
			}
		case "do":
			out = append(out, l, "out "+hex.EncodeToString(c.RequestSections()))
		}
	}
	return out
}

func TestExchanges(t *testing.T) {
	files, _ := filepath.Glob("testdata/exchanges/*.txt")
	if len(files) < 10 {
		t.Fatal("exchange files are missing, found only ", files)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			var comments, lines []string
			for l := range strings.Lines(string(text)) {
				if l = strings.TrimSpace(l); strings.HasPrefix(l, "#") {
					comments = append(comments, l)
				} else if l != "" {
					lines = append(lines, l)
				}
			}
			play := playSource
			if strings.HasPrefix(filepath.Base(f), "taker") {
				play = playReceiver
			}
			got := play(t, lines)
			if *record {
				all := strings.Join(append(comments, got...), "\n") + "\n"
				if err := os.WriteFile(f, []byte(all), 0o600); err != nil {
					t.Fatal(err)
				}
				return
			}
			if diff := cmp.Diff(lines, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
