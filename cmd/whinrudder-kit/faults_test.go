package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against a kit that misses broken rules: with a fault in a copy of the decision module, shrink must report the
// broken rule and reduce the day to a small one, and replay of the small day must break the same rule.
func TestFaultsInTheModuleAreFound(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the kit")
	}
	const day = `{ day: { nodes: 6, seconds: 40, load: 0.8, list_lag: 4, callers: [{ choice: 'round' }, { choice: 'least', tries: 2 }, { choice: 'by_key', heeds: false }],
		troubles: [{ kind: 'deploy', at: 8, 'for': 15, share: 0.6 }, { kind: 'burst', at: 5, 'for': 20, factor: 1.6 }, { kind: 'crawl', at: 20, 'for': 10, share: 0.3, factor: 5 }] } }`
	type change struct{ file, line, instead string }
	for _, f := range []struct {
		rule    string
		changes []change
	}{
		{"drain", []change{{"policy.go", "if p.shuttingDown && r.arrived > p.noticeAt+p.cfg.Rules.DrainGrace {", "if p.shuttingDown && r.arrived > p.noticeAt+3*p.cfg.Rules.DrainGrace {"}}},
		{"lost", []change{{"policy.go", "	r.due = max(r.due-2*p.cfg.Tick, p.now)\n", "	r.due = max(r.due-2*p.cfg.Tick, p.now) + 800\n"},
			{"internal/core/core.go", "	unansweredGraceMs  = 30 ", "	unansweredGraceMs  = 800 "}}}, // the core would answer in the module's place
	} {
		t.Run(f.rule, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			in := func(name string, text []byte) string {
				path := filepath.Join(dir, name)
				if err := os.WriteFile(path, text, 0o600); err != nil {
					t.Fatal(err)
				}
				return path
			}
			replace := map[string]string{}
			for i, c := range f.changes {
				path, err := filepath.Abs(filepath.Join("../..", c.file))
				if err != nil {
					t.Fatal(err)
				}
				text, err := os.ReadFile(path)
				if err != nil || strings.Count(string(text), c.line) != 1 {
					t.Fatalf("%s: %v, or the line is not there once", c.file, err)
				}
				replace[path] = in(fmt.Sprint("changed", i, ".go"), []byte(strings.Replace(string(text), c.line, c.instead, 1)))
			}
			list, err := json.Marshal(map[string]any{"Replace": replace})
			if err != nil {
				t.Fatal(err)
			}
			kit, small := filepath.Join(dir, "kit"), filepath.Join(dir, "small.json")
			if out, err := exec.Command("go", "build", "-overlay", in("overlay.json", list), "-o", kit, ".").CombinedOutput(); err != nil {
				t.Fatalf("%v: %s", err, out)
			}
			run := func(args ...string) string {
				out, err := exec.Command(kit, append([]string{"lab"}, args...)...).CombinedOutput()
				if err != nil {
					t.Fatalf("%v: %v: %s", args, err, out)
				}
				return string(out)
			}
			out := run("shrink", in("day.jsonnet", []byte(day)), "--seeds", "20", "--out", small)
			cut := regexp.MustCompile(`cuts: (\d) nodes, (\d) callers, (\d) troubles, [0-9.]+ s, (\d+) requests;`).FindStringSubmatch(out)
			if !strings.Contains(out, `breaks "`+f.rule+`"`) || cut == nil || cut[1] > "2" || cut[2] > "1" || cut[3] > "2" || len(cut[4]) > 2 {
				t.Errorf("%s", out)
			}
			if again := run("replay", small); !strings.Contains(again, f.rule+": ") {
				t.Errorf("replay of the small day does not break the rule: %s", again)
			}
			t.Log(out)
		})
	}
}
