package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Each file of testdata holds a command line, the files it names and what it says; a fault ends it with an error,
// so the process exits 1 before it listens.
func TestCommandLine(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no testdata")
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			parts := strings.Split(string(text), "\n== ")
			dir, want := t.TempDir(), ""
			for _, p := range parts[1:] {
				name, body, _ := strings.Cut(p, "\n")
				if name == "says" {
					want = strings.TrimSuffix(body, "\n")
					continue
				}
				if err := os.WriteFile(filepath.Join(dir, name), []byte(body), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			t.Chdir(dir)
			var out strings.Builder
			if err := app(&out).Run(context.Background(), strings.Fields(parts[0])); err != nil {
				out.WriteString("error: " + err.Error())
			}
			if diff := cmp.Diff(strings.Split(want, "\n"), strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")); diff != "" {
				t.Error(diff)
			}
		})
	}
}
