package pool

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"whinrudder/internal/core"
)

// Guards against memory that grows while the worker pool answers no polls: commands that are not known to have been read
// stay within a bound, and the start of a run is never the one that is given up.
func TestUnconfirmedCommandsAreBounded(t *testing.T) {
	l := New([]string{"status"}, []string{"cpu_busy"})
	feed := func(line string) (inputs []core.Input) {
		inputs, _, err := l.Feed([]byte(line + "\n"))
		if err != nil {
			t.Fatal(err)
		}
		return inputs
	}
	synchronize := func() []core.Input {
		l.StartConnection()
		feed(`{"msg":"bound","how":"WARM","duration":5}`)
		return feed(fmt.Sprintf(`{"msg":"polled","cookie":%q,"stats":[0.5]}`, l.fence))
	}
	synchronize()
	l.Enqueue(core.Spawn{ID: "run"})
	for i := range 10 * maxUnconfirmed {
		l.Enqueue(core.Poll{})
		l.Enqueue(core.Suspend{ID: fmt.Sprint("gone", i)})
		l.AppendCommands(nil)
	}
	if n := len(l.sent) + cap(l.queue); n > 2*maxUnconfirmed+1 {
		t.Errorf("got %d commands that are not known to have been read, want at most %d", n, 2*maxUnconfirmed+1)
	}
	for _, i := range synchronize() {
		if s, ok := i.(core.LinkSynced); ok {
			if len(s.InDoubt) != 1 || s.InDoubt[0] != "run" {
				t.Errorf("got runs %v in doubt, want the one that was started", s.InDoubt)
			}
			return
		}
	}
	t.Error("the link was not synchronized")
}

// Guards against runs that are lost because the notice of another one can't be read: the link passes over that line, of whatever
// length, and goes on. Ending the link would not help, because the worker pool repeats the line on the next connection.
func TestUnreadableNoticesArePassedOver(t *testing.T) {
	l := New([]string{"status"}, nil)
	l.StartConnection()
	feed := func(text string) (inputs []core.Input, failed bool) {
		for _, piece := range slices.Collect(slices.Chunk([]byte(text), 4096)) {
			i, _, err := l.Feed(piece)
			inputs, failed = append(inputs, i...), failed || err != nil
		}
		return inputs, failed
	}
	if _, failed := feed("HTTP/1.1 400 Bad Request\n"); !failed || l.Bound() {
		t.Error("a link that is not bound accepts another protocol")
	}
	feed(`{"msg":"bound","how":"WARM","duration":5}` + "\n" + `{"msg":"polled","cookie":"fence1","stats":[]}` + "\n")
	const finished = `{"msg":"finished","serial":%d,"call":"a","how":"OK","duration":3,"blob":"%s"}` + "\n"
	for i, bad := range []string{"{\n", strings.Repeat("x", 5*maxLineBytes) + "\n", fmt.Sprintf(finished, 9, strings.Repeat("b", 2*maxLineBytes))} {
		inputs, failed := feed(bad + fmt.Sprintf(finished, i+1, "b2s="))
		if !failed || len(inputs) != 1 {
			t.Errorf("line %d: got inputs %v and failed %t, want the end of the run after it and an error", i, inputs, failed)
		}
	}
}
