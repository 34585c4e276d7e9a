package rehearse

import "testing"

// Connections to two fronts of a node may come from the same caller port. A recorder that tells them apart by the peer
// address alone would mix up their log lines.
func TestLogKeepsFrontsApart(t *testing.T) {
	b := newLogRecorder()
	for _, line := range []string{"15:04:05.000 conn front=http peer=127.0.0.1:39156 code=bad-path served=0",
		"15:04:05.001 conn front=h2c peer=127.0.0.1:39156 code=bad-preface served=0"} {
		if _, err := b.Write([]byte(line + "\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got := b.waitConn("h2c 127.0.0.1:39156"); got != "bad-preface" {
		t.Errorf("code of the h2c connection: got %q, want bad-preface", got)
	}
	if got := b.duplicates(); len(got) > 0 {
		t.Errorf("got connections with several codes %q, want none", got)
	}
}
