package zk

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Credentials are one line; what is none is named by its file and never by what it holds.
func TestReadAuth(t *testing.T) {
	for text, want := range map[string]string{"payouts:secret\n": "payouts:secret", "a:b:c\r\n": "a:b:c", "": "", "secret": "", ":secret": "", "secret:": "",
		"payouts:secret\nmore": "", "secret:\x00": "", "secret:" + strings.Repeat("x", maxAuth): ""} {
		path := filepath.Join(t.TempDir(), "auth")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := ReadAuth(path)
		if string(got) != want || (err == nil) != (want != "") {
			t.Errorf("%q: %q, %v", text, got, err)
		}
		if err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("the error tells what the file holds: %v", err)
		}
	}
	if got, err := ReadAuth(""); got != nil || err != nil {
		t.Errorf("no file: %q, %v", got, err)
	}
	if _, err := ReadAuth(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a file that is not there is no fault")
	}
}
