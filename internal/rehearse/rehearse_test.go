package rehearse

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Plays each built-in exchange over its protocol. Those of the folders all and kept must have the same result over
// each protocol.
func TestExchanges(t *testing.T) {
	for x, r := range playAll(Shipped()) {
		t.Run(x.Protocol+"/"+x.Name, func(t *testing.T) {
			if r.err != nil {
				t.Fatal(r.err)
			}
			if diff := cmp.Diff(r.want, r.got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A player that finds no differences would let every exchange pass. It must report a wrong answer, a wrong line to the
// worker pool and a line that no step reads.
func TestDifferencesAreReported(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"status", "node\npool up\ncheck a\nanswer a 503 load\n", []string{"- answer a 503 load", "+ answer a 200 load"}},
		{"pool", "node\npool < {}\n", []string{"- pool < {}", `+ pool < {"msg":"bind","serial":0}`}},
		{"leftover", "node\npool up\ncall a payout-book 00000000000000a1\npool unordered 1\n",
			[]string{"- (nothing)", `+ left over: pool < {"msg":"spawn","call":"00000000000000a1",` +
				`"service":"payout-book","blob":""}`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			want, got, err := Play(c.text, "http")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, differences(want, got)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a play that hangs when the step upgrade cannot start the second process, here because its address is
// in use. The play must end with that error.
func TestFailedUpgradeEndsPlay(t *testing.T) {
	ended := make(chan error, 1)
	go func() {
		_, _, err := Play("node\npool up\nupgrade\n", "http")
		ended <- err
	}()
	select {
	case err := <-ended:
		if err == nil || !strings.Contains(err.Error(), "address already in use") {
			t.Errorf("got error %v, want one with \"address already in use\"", err)
		}
	case <-time.After(time.Minute):
		t.Error("the play did not end within a minute")
	}
}
