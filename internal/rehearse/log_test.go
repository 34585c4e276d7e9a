package rehearse

import "testing"

// Connections to two ports of a node may come from one port of the callers': their lines are told apart by the front.
func TestLinesOfTwoFrontsAreApart(t *testing.T) {
	b := newLogBook()
	for _, line := range []string{"15:04:05.000 conn front=http peer=127.0.0.1:39156 code=bad-path served=0",
		"15:04:05.001 conn front=h2c peer=127.0.0.1:39156 code=bad-preface served=0"} {
		if _, err := b.Write([]byte(line + "\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got := b.code("h2c 127.0.0.1:39156"); got != "bad-preface" {
		t.Errorf("code %q", got)
	}
	if got := b.twice(); len(got) > 0 {
		t.Error(got)
	}
}
