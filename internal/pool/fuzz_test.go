package pool

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"whinrudder/internal/core"
)

// Whatever the worker pool says, in pieces of whatever size, the core is told the same, no notice is told twice, and no
// more than a line is kept.
func FuzzLink(f *testing.F) {
	f.Add([]byte(`{"msg":"bound","how":"WARM","duration":5}` + "\n" + `{"msg":"polled","cookie":"fence1","stats":[1,1,0.1,4]}` + "\n" +
		`{"msg":"finished","serial":1,"call":"a","how":"OK","duration":3,"blob":"b2s="}` + "\n" +
		`{"msg":"finished","serial":1,"call":"a","how":"OK","duration":3,"blob":"b2s="}` + "\n"))
	f.Add([]byte(`{"msg":"unknown","how":"spawn","call":"a"}` + "\n" + `{"msg":"chatter","serial":2,"how":"x"}` + "\n"))
	f.Add([]byte("{}\n[]\nnull\n\n{"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 1<<16 {
			return
		}
		read := func(piece int) (all []core.Input, bad bool) {
			l := New([]string{"status"}, []string{"cpu_busy", "runnable", "mem_used", "sockets"})
			l.StartConnection()
			l.Enqueue(core.Spawn{ID: "a"})
			for rest := b; len(rest) > 0; {
				n := min(piece, len(rest))
				tell, _, err := l.Feed(rest[:n])
				rest = rest[n:]
				all = append(all, tell...)
				if err != nil {
					return all, true
				}
				if len(l.in) > maxLine {
					t.Fatalf("%d bytes are kept", len(l.in))
				}
				l.AppendCommands(nil)
			}
			return all, false
		}
		all, bad := read(4096)
		again, badAgain := read(4096)
		if diff := cmp.Diff(all, again); diff != "" || bad != badAgain {
			t.Fatal(diff, bad, badAgain)
		}
		ends := map[string]int{}
		for _, i := range all {
			if e, ok := i.(core.RunFinished); ok {
				ends[e.ID]++
			}
		}
		single, badSingle := read(1)
		if bad != badSingle || !bad && len(single) != len(all) {
			t.Fatalf("in large pieces %d, %t; byte by byte %d, %t", len(all), bad, len(single), badSingle)
		}
	})
}
