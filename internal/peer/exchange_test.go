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

var record = flag.Bool("record", false, "write the transcripts of the exchanges anew")

func sample() knowledge.Report {
	return knowledge.Report{Node: "n3", Uptime: 90000, Cores: 6, Warm: true, Classes: []knowledge.Class{
		{Name: "status-lookup", ClassKnowledge: whinrudder.ClassKnowledge{Share: 40, Waits: []float64{5580, 5580},
			Cost: whinrudder.CostModel{N: 120, Age: 250, Time: 512.5}}},
		{Name: "payout-book", ClassKnowledge: whinrudder.ClassKnowledge{Share: 35.5, Cost: whinrudder.CostModel{N: 44, Age: 3000,
			Time: 498}}}},
		Limit: whinrudder.Estimate{Value: 2.5, N: 80, Age: 500}}
}

// An exchange is a file of lines: "in HEX" are bytes that come, fed as they stand, or the name of a frame in place of
// HEX; "do" is what the driver does then; the rest is what the machine says and answers, byte by byte.
func inBytes(t *testing.T, words []string) []byte {
	t.Helper()
	switch words[0] {
	case "hello":
		var versions []uint64
		for _, w := range words[1:] {
			v, _ := strconv.ParseUint(w, 10, 8)
			versions = append(versions, v)
		}
		return frame(nil, KindHello, hello{"n9", versions})
	case "take":
		return AppendFrame(nil, Frame{KindTake, nil})
	case "welcome":
		return frame(nil, KindWelcome, SummaryOf(sample()))
	case "sections":
		return AppendSections(nil, sample())
	case "busy":
		ms, _ := strconv.ParseFloat(words[1], 64)
		return frame(nil, KindBusy, busy{ms, "busy"})
	case "refuse":
		return frame(nil, KindRefuse, refuse{words[1]})
	}
	b, err := hex.DecodeString(strings.Join(words, ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

var stepWords = []string{"read", "welcome", "give", "end"}
var newsWords = []string{"none", "welcome", "busy", "whole", "refused", "sections"}

// playGiver and playTaker play the lines that come and return the whole transcript.
func playGiver(t *testing.T, lines []string) (out []string) {
	g := NewSourceConn(1000)
	tell := func(step Step, b []byte, bad *Fault) {
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
			tell(g.Feed(inBytes(t, words[1:])))
		case "do":
			out = append(out, l)
			switch words[1] {
			case "welcome":
				tell(g.SendWelcome(SummaryOf(sample())))
			case "give":
				tell(g.SendReport(sample()))
			case "busy":
				tell(g.SendBusy("busy", 1500))
			}
		}
	}
	return out
}

func playTaker(t *testing.T, lines []string) (out []string) {
	k, b := NewReceiverConn("n9")
	out = append(out, "out "+hex.EncodeToString(b))
	for _, l := range lines {
		words := strings.Fields(l)
		switch words[0] {
		case "in":
			out = append(out, l)
			news, bad := k.Feed(inBytes(t, words[1:]))
			r, whole := k.Report()
			out = append(out, fmt.Sprintf("news %s classes=%d whole=%t code=%s", newsWords[news], len(r.Classes), whole, k.Code))
			if bad != nil {
				out = append(out, "fault "+bad.Code)
			}
		case "do":
			out = append(out, l, "out "+hex.EncodeToString(k.RequestSections()))
		}
	}
	return out
}

func TestExchanges(t *testing.T) {
	files, _ := filepath.Glob("testdata/exchanges/*.txt")
	if len(files) < 10 {
		t.Fatal("exchanges are missing: ", files)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			var remarks, lines []string
			for l := range strings.Lines(string(text)) {
				if l = strings.TrimSpace(l); strings.HasPrefix(l, "#") {
					remarks = append(remarks, l)
				} else if l != "" {
					lines = append(lines, l)
				}
			}
			play := playGiver
			if strings.HasPrefix(filepath.Base(f), "taker") {
				play = playTaker
			}
			got := play(t, lines)
			if *record {
				all := strings.Join(append(remarks, got...), "\n") + "\n"
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
