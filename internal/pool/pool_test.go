package pool

import (
	"fmt"
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
