package pool

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"whinrudder/internal/core"
)

// FuzzLink checks for arbitrary input from the worker pool that the inputs for the core are deterministic, that neither
// their number nor the error depends on how the bytes are split, and that no more than one line is buffered.
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
		read := func(pieceSize int) (inputs []core.Input, failed bool) {
			l := New([]string{"status"}, []string{"cpu_busy", "runnable", "mem_used", "sockets"})
			l.StartConnection()
			l.Enqueue(core.Spawn{ID: "a"})
			for rest := b; len(rest) > 0; {
				n := min(pieceSize, len(rest))
				fed, _, err := l.Feed(rest[:n])
				rest = rest[n:]
				inputs = append(inputs, fed...)
				if err != nil {
					return inputs, true
				}
				if len(l.in) > maxLineBytes {
					t.Fatalf("the link buffers %d bytes, limit %d", len(l.in), maxLineBytes)
				}
				l.AppendCommands(nil)
			}
			return inputs, false
		}
		first, firstFailed := read(4096)
		second, secondFailed := read(4096)
		if diff := cmp.Diff(first, second); diff != "" || firstFailed != secondFailed {
			t.Fatalf("two readings of the same input differ: failed %t and %t\n%s", firstFailed, secondFailed, diff)
		}
		ends := map[string]int{}
		for _, i := range first {
			if e, ok := i.(core.RunFinished); ok {
				ends[e.ID]++
			}
		}
		bytewise, bytewiseFailed := read(1)
		if firstFailed != bytewiseFailed || !firstFailed && len(bytewise) != len(first) {
			t.Fatalf("in pieces of 4096 bytes: %d inputs, failed %t; byte by byte: %d inputs, failed %t",
				len(first), firstFailed, len(bytewise), bytewiseFailed)
		}
	})
}
