// Package clitest plays command lines that are recorded in text files against a program's command line: the line, the
// files it names, each behind "== NAME", and behind "== says" what it says.
package clitest

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"
)

// RunRecorded plays the files of a folder. A fault ends a command with an error, so that its process exits 1.
func RunRecorded(t *testing.T, folder string, app func(io.Writer) *cli.Command) {
	files, _ := filepath.Glob(filepath.Join(folder, "*.txt"))
	if len(files) == 0 {
		t.Fatal("nothing is recorded")
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
