package rehearse

import (
	"embed"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"iter"
	"os"
	"path"
)

//go:embed exchanges
var shippedFiles embed.FS

// An Exchange is the text of an exchange file and the protocol over which it is to be played.
type Exchange struct{ Name, Protocol, Text string }

// Shipped returns the exchanges that are built into the program. Those of the folders all and kept are
// returned once for each protocol.
func Shipped() (out []Exchange) {
	for _, d := range []struct{ dir, protocol string }{
		{"all", "http"}, {"all", "uwsgi"}, {"all", "h2c"}, {"h2c", "h2c"}, {"http", "http"}, {"uwsgi", "uwsgi"}, {"peer", "http"},
		{"kept", "http"}, {"kept", "uwsgi"}, {"kept", "h2c"}, {"door", "http"}, {"upgrade", "http"}, {"moved", "http"},
	} {
		files, _ := fs.Glob(shippedFiles, "exchanges/"+d.dir+"/*.txt")
		for _, f := range files {
			text, _ := shippedFiles.ReadFile(f)
			out = append(out, Exchange{path.Base(f), d.protocol, string(text)})
		}
	}
	return out
}

// Run plays files over http, uwsgi, h2c or all of them, or the shipped exchanges if files is empty. It writes one line
// for each play, followed by the lines that differ, and returns an error if any play differs or fails.
func Run(w io.Writer, protocol string, files []string) error {
	protocols := map[string][]string{"http": {"http"}, "uwsgi": {"uwsgi"}, "h2c": {"h2c"}, "all": {"http", "uwsgi", "h2c"}}[protocol]
	if protocols == nil {
		return fmt.Errorf("rehearse: unknown protocol %q", protocol)
	}
	plays := Shipped()
	if len(files) > 0 {
		plays = nil
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		for _, p := range protocols {
			plays = append(plays, Exchange{f, p, string(text)})
		}
	}
	failed := 0
	for play, result := range playAll(plays) {
		diff, err := differences(result.want, result.got), result.err
		word := "ok"
		if err != nil || len(diff) > 0 {
			word = "DIFFERS"
			failed++
		}
		fmt.Fprintf(w, "%-8s %-6s %s\n", word, play.Protocol, play.Name)
		if err != nil {
			fmt.Fprintf(w, "    %v\n", err)
		}
		for _, l := range diff {
			fmt.Fprintln(w, "   ", l)
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", len(plays)-failed, failed)
	if failed > 0 {
		return errors.New("rehearse: the node did not do as recorded")
	}
	return nil
}

// maxParallelPlays is the number of exchanges that are played at the same time. They spend most of their time waiting.
const maxParallelPlays = 24

// playResult is what Play returned for an exchange.
type playResult struct {
	want, got []string
	err       error
}

// playAll plays exchanges in parallel and yields them in their order, each with its result.
func playAll(plays []Exchange) iter.Seq2[Exchange, playResult] {
	results := make([]chan playResult, len(plays))
	for i := range results {
		results[i] = make(chan playResult, 1)
	}
	go func() {
		slots := make(chan bool, maxParallelPlays)
		for i, x := range plays {
			slots <- true
			go func() {
				want, got, err := Play(x.Text, x.Protocol)
				results[i] <- playResult{want, got, err}
				<-slots
			}()
		}
	}()
	return func(yield func(Exchange, playResult) bool) {
		for i, x := range plays {
			if !yield(x, <-results[i]) {
				return
			}
		}
	}
}

// differences compares a file with its transcript line by line and returns the lines that differ, as pairs of "- "
// and "+ ".
func differences(want, got []string) (out []string) {
	for i := range max(len(want), len(got)) {
		wantLine, gotLine := "(nothing)", "(not reached)"
		if i < len(want) {
			wantLine = want[i]
		}
		if i < len(got) {
			gotLine = got[i]
		}
		if wantLine != gotLine {
			out = append(out, "- "+wantLine, "+ "+gotLine)
		}
	}
	return out
}
