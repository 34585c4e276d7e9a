package rehearse

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var sessionKills = flag.Int("kills", 2, "how often TestSessionsKilledUnderLoad expires the sessions with the ensemble")

// Guards against requests that are lost or started twice when the session with the ensemble expires while they run.
// Sessions expire while a booking and a read are pending on each front: each must be answered, each booking started
// once, and the znode created again. A drain at the end must run nothing that arrives more than two seconds after its
// notice.
func TestSessionsKilledUnderLoad(t *testing.T) {
	for _, protocol := range []string{"http", "uwsgi", "h2c"} {
		t.Run(protocol, func(t *testing.T) {
			t.Parallel()
			var exchange strings.Builder
			exchange.WriteString("node zk deadline_ms=60000 aim_ms=50000 cores=8\npool up\nzk serves /payout-nodes/r1\n")
			serial := 0
			for i := range *sessionKills {
				for _, k := range []struct{ caller, class string }{{"a", "payout-book"}, {"b", "status-lookup"}} {
					id := fmt.Sprintf("%015x%s", i, k.caller)
					fmt.Fprintf(&exchange, "call %s%d %s %s wait=60000\n", k.caller, i, k.class, id)
					fmt.Fprintf(&exchange, "pool < {\"msg\":\"spawn\",\"call\":%q,\"service\":%q,\"blob\":\"\"}\n", id, k.class)
				}
				exchange.WriteString("zk expire\n")
				for _, k := range []string{"a", "b"} {
					serial++
					fmt.Fprintf(&exchange, "pool > {\"msg\":\"finished\",\"serial\":%d,\"call\":\"%015x%s\",\"how\":\"OK\",\"duration\":20,\"blob\":\"b2s=\"}\n", serial, i, k)
					fmt.Fprintf(&exchange, "answer %s%d 200 load \"ok\"\n", k, i)
				}
				exchange.WriteString("zk serves /payout-nodes/r1\nzk newest /payout-nodes/r1\n")
			}
			exchange.WriteString("leave\nzk drains /payout-nodes/r1\nzk gone /payout-nodes/r1\nwait 700\ncall z status-lookup 00000000000000ff\n" +
				"answer z 503 load wait=1000\nend\n")
			want, got, err := Play(exchange.String(), protocol)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
