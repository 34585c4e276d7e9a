package live

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"whinrudder/internal/emu/experiment"
	"whinrudder/internal/emu/fleet"
	"whinrudder/internal/settings"
)

// The configuration of a process yields the same settings as those of a simulated node.
func TestConfig(t *testing.T) {
	d := fleet.DefaultDay(1)
	text, err := config(d, d.Settings(true), "n1", "127.0.0.1:1", "127.0.0.1:2", 7)
	if err != nil {
		t.Fatal(err)
	}
	c, err := settings.ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(d.Settings(true), c.Settings.Policy); diff != "" || c.Seed != 7 ||
		c.Settings.ClassNames[2] != "payout-book" {
		t.Errorf("seed %d, want 7; class names %q; difference of the settings: %s", c.Seed, c.Settings.ClassNames, diff)
	}
}

// Two real nodes, one of which crashes and one of which is replaced by a deploy, serve a short day. The test checks
// that requests are served, that a crashed node is down and comes back, and that invalid days fail. It does not check
// latency, which depends on the machine.
func TestRunDay(t *testing.T) {
	program := filepath.Join(t.TempDir(), "whinrudder")
	if out, err := exec.Command("go", "build", "-o", program,
		"whinrudder/cmd/whinrudder").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	e, err := experiment.Parse([]byte(`{"day":{"nodes":2,"seconds":5,"load":0.3,"slack_ms":5000,"stop":2,"drain":0.5,"list_lag":0.2,
		"classes":[{"name":"quote","aim_ms":1000,"deadline_ms":2000,"work":60}],
		"troubles":[{"kind":"crash","at":1,"for":1,"share":0.5},{"kind":"deploy","at":3,"for":0.1,"share":0.5}]}}`), "", nil)
	if err != nil {
		t.Fatal(err)
	}
	d, err := e.Day(0, 0, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(time.Minute))
	defer cancel()
	r, err := RunDay(ctx, program, d)
	if err != nil {
		t.Fatal(err)
	}
	if r.Requests < 50 || r.Latency.Count() == 0 || r.Buckets[2].NodesUp != 1 || r.Buckets[5].NodesUp != 2 {
		t.Errorf("result %+v, want at least 50 requests, some of them served, 1 node up in bucket 2 and 2 in bucket 5",
			r)
	}
	for _, b := range r.Violations {
		t.Log(b) // answers are late on a machine that stalls for seconds
	}
	d.Nodes = maxNodes + 1
	if _, err := RunDay(ctx, program, d); err == nil {
		t.Error("a day with too many nodes is played, want an error")
	}
	if _, err := RunDay(ctx, filepath.Join(t.TempDir(), "none"), fleet.Day{Nodes: 1, Cores: 1, Classes: d.Classes,
		Callers: d.Callers, DurationMs: 1000, Load: 0.1}); err == nil {
		t.Error("a program that does not exist is played, want an error")
	}
}
