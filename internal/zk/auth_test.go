package zk

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Credentials are one line. The error for a malformed file contains the path and never the secret.
func TestReadAuth(t *testing.T) {
	for text, want := range map[string]string{"payouts:secret\n": "payouts:secret", "a:b:c\r\n": "a:b:c", "": "",
		"secret": "", ":secret": "", "secret:": "", "payouts:secret\nmore": "", "secret:\x00": "",
		"secret:" + strings.Repeat("x", maxAuthBytes): ""} {
		path := filepath.Join(t.TempDir(), "auth")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := ReadAuth(path)
		if string(got) != want || (err == nil) != (want != "") {
			t.Errorf("%q: got %q, error %v, want %q", text, got, err, want)
		}
		if err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("the error contains the content of the file: %v", err)
		}
	}
	if got, err := ReadAuth(""); got != nil || err != nil {
		t.Errorf("empty path: got %q, error %v, want neither", got, err)
	}
	if _, err := ReadAuth(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("got no error for a missing file")
	}
}
