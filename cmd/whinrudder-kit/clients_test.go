package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against writes that run twice, or run although the caller was told that they did not: over each protocol,
// proxies in their own processes call real nodes while one node crashes and one is replaced. The number of served
// requests is not checked, because it depends on the machine.
func TestProxiesOfALiveDay(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "whinrudder/cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	day := filepath.Join(dir, "day.json")
	text := `{"day":{"nodes":2,"seconds":4,"load":0.3,"stop":2,"drain":0.5,"list_lag":0.2,"callers":[{"library":true,"count":2}],
		"classes":[{"name":"book","aim_ms":1000,"deadline_ms":3000,"work":60,"write":true}],
		"troubles":[{"kind":"crash","at":1,"for":1,"share":0.5},{"kind":"deploy","at":2.5,"for":0.1,"share":0.5}]}}`
	if err := os.WriteFile(day, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, protocol := range []string{"http", "h2c", "uwsgi"} {
		t.Run(protocol, func(t *testing.T) {
			t.Parallel() // each play mostly waits, because it runs in real time
			out, err := exec.Command(filepath.Join(dir, "whinrudder-kit"), "lab", "clients", "--proxy",
				"--protocol", protocol, day).CombinedOutput()
			if err != nil || strings.Contains(string(out), "writes: 0 runs") ||
				!strings.Contains(string(out), "0 ran twice, 0 ran though they were told not to have") {
				t.Errorf("%v: %s", err, out)
			}
			t.Log(string(out))
		})
	}
}
