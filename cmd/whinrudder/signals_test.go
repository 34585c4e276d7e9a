package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// words takes the log and keeps the word and the code of each line.
type words chan string

func (w words) Write(b []byte) (int, error) {
	_, text, _ := strings.Cut(strings.TrimSpace(string(b)), " ")
	word, rest, _ := strings.Cut(text, " ")
	if word == "reload" {
		word += " " + strings.Fields(rest)[0]
	}
	if word != "link" {
		w <- word
	}
	return len(b), nil
}

// SIGHUP must make the node read its file again, not end it, whatever the file holds; SIGTERM still ends it.
func TestSignals(t *testing.T) {
	example, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	good := strings.NewReplacer("127.0.0.1:8080", "127.0.0.1:0", `"stop_ms":3000`, `"stop_ms":500`).Replace(string(example))
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(good)
	log, ended := make(words, 64), make(chan error, 1)
	go func() { ended <- app(log).Run(context.Background(), []string{"whinrudder", "serve", "--config", file}) }()
	got := []string{<-log}
	for _, text := range []string{good, "{", good} {
		write(text)
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		got = append(got, <-log)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	got = append(got, <-log, <-log)
	want := []string{"serve", "reload code=ok", "reload code=faulty", "reload code=ok", "drain", "end"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
