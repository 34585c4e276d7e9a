package rehearse

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var kills = flag.Int("kills", 2, "how often the sessions with the ensemble are killed under load")

// Sessions are killed while a booking and a read are held on each front: every answer comes, each booking is started once, and the znode
// is there again each time; and a drain at the end runs nothing that came over two seconds after its notice.
func TestSessionsKilledUnderLoad(t *testing.T) {
	for _, protocol := range []string{"http", "uwsgi", "h2c"} {
		t.Run(protocol, func(t *testing.T) {
			t.Parallel()
			var b strings.Builder
			b.WriteString("node zk deadline_ms=60000 aim_ms=50000 cores=8\npool up\nzk serves /payout-nodes/r1\n")
			serial := 0
			for i := range *kills {
				for _, k := range []struct{ caller, class string }{{"a", "payout-book"}, {"b", "status-lookup"}} {
					id := fmt.Sprintf("%015x%s", i, k.caller)
					fmt.Fprintf(&b, "call %s%d %s %s wait=60000\n", k.caller, i, k.class, id)
					fmt.Fprintf(&b, "pool < {\"msg\":\"spawn\",\"call\":%q,\"service\":%q,\"blob\":\"\"}\n", id, k.class)
				}
				b.WriteString("zk expire\n")
				for _, k := range []string{"a", "b"} {
					serial++
					fmt.Fprintf(&b, "pool > {\"msg\":\"finished\",\"serial\":%d,\"call\":\"%015x%s\",\"how\":\"OK\",\"duration\":20,\"blob\":\"b2s=\"}\n", serial, i, k)
					fmt.Fprintf(&b, "answer %s%d 200 load \"ok\"\n", k, i)
				}
				b.WriteString("zk serves /payout-nodes/r1\nzk newest /payout-nodes/r1\n")
			}
			b.WriteString("leave\nzk drains /payout-nodes/r1\nzk gone /payout-nodes/r1\nwait 700\ncall z status-lookup 00000000000000ff\n" +
				"answer z 503 load wait=1000\nend\n")
			want, got, err := Play(b.String(), protocol)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
