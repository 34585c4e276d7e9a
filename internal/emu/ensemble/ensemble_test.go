package ensemble

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Replays each history of testdata/histories.txt, which describes its own format, and compares the notifications with
// those listed there. Guards against znodes that appear or expire at the wrong time.
func TestHistories(t *testing.T) {
	f, err := os.Open("testdata/histories.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var name, want, got string
	var m *Model
	check := func() {
		if diff := cmp.Diff(want, got); m != nil && diff != "" {
			t.Errorf("%s: notifications (-want +got):\n%s", name, diff)
		}
	}
	now := 0.0
	advance := func(to float64) {
		for m.Next() <= to {
			at := m.Next()
			for _, c := range m.Step(at) {
				got += fmt.Sprintf("%v %d %v\n", at, c.Node, c.Listed)
			}
		}
		now = to
	}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := lines.Text()
		switch {
		case line == "" || strings.HasPrefix(line, "//"):
		case strings.HasPrefix(line, "# "):
			check()
			var p Params
			name, want, got = line, "", ""
			if _, err := fmt.Sscanf(line[strings.Index(line, ":")+1:], "%f %f", &p.SessionTimeout, &p.WatchDelay); err != nil {
				t.Fatal(line, err)
			}
			m, now = New(p, 3, true), 0
		case strings.HasPrefix(line, "< "):
			want += line[2:] + "\n"
		default:
			var at float64
			var event string
			var node int
			fmt.Sscanf(line, "%f %s %d", &at, &event, &node)
			advance(at)
			map[string]func(){"join": func() { m.Join(now, node) }, "leave": func() { m.Leave(now, node) }, "silent": func() { m.Disconnect(now, node) },
				"down": func() { m.BeginOutage(now) }, "up": func() { m.EndOutage(now) }, "end": func() {}}[event]()
		}
	}
	check()
}
