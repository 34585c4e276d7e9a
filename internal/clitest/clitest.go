// Package clitest runs recorded command lines against a program's command line and compares the output. A recording is
// a text file: the first line is the command line, each section "== NAME" is a file that the command line can name, and
// the section "== says" is the expected output.
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

// RunRecorded runs each recording (*.txt) in a folder as a sub-test, in a temporary folder with its files. If the
// command returns an error, with which its process would exit 1, the output ends with the line "error: " and the error
// text.
func RunRecorded(t *testing.T, folder string, app func(io.Writer) *cli.Command) {
	files, _ := filepath.Glob(filepath.Join(folder, "*.txt"))
	if len(files) == 0 {
		t.Fatal("no recordings (*.txt) in the folder")
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			recording, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			parts := strings.Split(string(recording), "\n== ")
			dir, want := t.TempDir(), ""
			for _, part := range parts[1:] {
				name, body, _ := strings.Cut(part, "\n")
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
			if diff := cmp.Diff(strings.Split(want, "\n"),
				strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")); diff != "" {
				t.Error(diff)
			}
		})
	}
}
