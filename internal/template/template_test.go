package template

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A template can read only regular files of limited size in its own folder, so that it can reach neither other files of
// the machine nor devices, and its imports can't grow without bound.
func TestImportsAreLimitedToTheFolder(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("ok.libsonnet", "{a: 1}")
	write("loop.libsonnet", "import 'loop.libsonnet'")
	write("big.libsonnet", strings.Repeat(" ", MaxFileBytes)+"1")
	for i := range MaxImports + 1 {
		write(fmt.Sprint("n", i, ".libsonnet"), "1")
	}
	if err := os.Symlink("/dev/zero", filepath.Join(dir, "link.libsonnet")); err != nil {
		t.Fatal(err)
	}
	var many strings.Builder
	for i := range MaxImports + 1 {
		fmt.Fprintf(&many, "(import 'n%d.libsonnet')+", i)
	}
	for _, c := range []struct{ text, want string }{
		{"(import 'ok.libsonnet').a", ""},
		{"import '/etc/hostname'", "does not lie beside"},
		{"import '../ok.libsonnet'", "does not lie beside"},
		{"importstr 'link.libsonnet'", "is not a regular file"},
		{"import 'big.libsonnet'", "is larger than"},
		{"import 'loop.libsonnet'", "max stack"},
		{many.String() + "0", "more than 32 imports"},
		{strings.Repeat(" ", MaxFileBytes) + "1", "is larger than"},
	} {
		_, err := Evaluate([]byte(c.text), filepath.Join(dir, "o.jsonnet"))
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%.40q: got error %v, want %q", c.text, err, c.want)
		}
	}
}
