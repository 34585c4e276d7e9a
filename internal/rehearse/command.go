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
var shipped embed.FS

// An Exchange is a file to be played over a protocol.
type Exchange struct{ Name, Protocol, Text string }

// Shipped returns the exchanges that come with the daemon: those in all over each protocol.
func Shipped() (out []Exchange) {
	for _, d := range []struct{ dir, protocol string }{
		{"all", "http"}, {"all", "uwsgi"}, {"all", "h2c"}, {"h2c", "h2c"}, {"http", "http"}, {"uwsgi", "uwsgi"}, {"peer", "http"},
		{"kept", "http"}, {"kept", "uwsgi"}, {"kept", "h2c"}, {"door", "http"}, {"upgrade", "http"}, {"moved", "http"},
	} {
		files, _ := fs.Glob(shipped, "exchanges/"+d.dir+"/*.txt")
		for _, f := range files {
			text, _ := shipped.ReadFile(f)
			out = append(out, Exchange{path.Base(f), d.protocol, string(text)})
		}
	}
	return out
}

// Run plays files over http, uwsgi or both, or the shipped exchanges if none is named. It writes one line for
// each play and what differed, and returns an error if anything did.
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
	for x, r := range playAll(plays) {
		diff, err := differences(r.want, r.got), r.err
		word := "ok"
		if err != nil || len(diff) > 0 {
			word = "DIFFERS"
			failed++
		}
		fmt.Fprintf(w, "%-8s %-6s %s\n", word, x.Protocol, x.Name)
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

// sideBySide is how many exchanges are played at a time: they mostly wait.
const sideBySide = 24

type played struct {
	want, got []string
	err       error
}

// playAll plays exchanges side by side and returns them in their order with what came of them.
func playAll(plays []Exchange) iter.Seq2[Exchange, played] {
	results := make([]chan played, len(plays))
	for i := range results {
		results[i] = make(chan played, 1)
	}
	go func() {
		room := make(chan bool, sideBySide)
		for i, x := range plays {
			room <- true
			go func() {
				want, got, err := Play(x.Text, x.Protocol)
				results[i] <- played{want, got, err}
				<-room
			}()
		}
	}()
	return func(yield func(Exchange, played) bool) {
		for i, x := range plays {
			if !yield(x, <-results[i]) {
				return
			}
		}
	}
}

// differences lists the lines that went otherwise: a file and its transcript go line by line.
func differences(want, got []string) (out []string) {
	for i := range max(len(want), len(got)) {
		w, g := "(nothing)", "(not reached)"
		if i < len(want) {
			w = want[i]
		}
		if i < len(got) {
			g = got[i]
		}
		if w != g {
			out = append(out, "- "+w, "+ "+g)
		}
	}
	return out
}
