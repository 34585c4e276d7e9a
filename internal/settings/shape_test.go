package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fastjson"
)

// A reloaded configuration must have every key of the previous one, at any depth: a missing key would be read as 0.
// Additional keys are accepted, and classes may be added and removed.
func TestCheckMissingKeys(t *testing.T) {
	const complete = `{"name":"r1","limits":{"cores":1},"settings":{"profiles":[{"name":"a","aim_ms":1},` +
		`{"name":"b","aim_ms":1,"worth":2}],"parties":[]}}`
	parse := func(text string) Config {
		v, err := fastjson.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		return Config{keys: keysOf(v)}
	}
	for _, c := range []struct{ name, from, to, want string }{
		{"same", "", "", ""},
		{"keys added", `"cores":1`, `"cores":1,"new":{"x":1}`, ""},
		{"class dropped", `{"name":"a","aim_ms":1},`, ``, ""},
		{"class added", `{"name":"a","aim_ms":1},`, `{"name":"a","aim_ms":1},{"name":"c","aim_ms":1},`, ""},
		{"key of only some classes dropped", `,"worth":2`, ``, ""},
		{"all classes dropped", `{"name":"a","aim_ms":1},{"name":"b","aim_ms":1,"worth":2}`, ``, ""},
		{"list filled", `"parties":[]`, `"parties":[{"quota":1}]`, ""},
		{"top-level key missing", `"name":"r1"`, `"nome":"r1"`, "name"},
		{"key of an object missing", `"cores":1`, ``, "limits.cores"},
		{"object missing", `"limits":{"cores":1},`, ``, "limits, limits.cores"},
		{"key of one class missing", `"name":"b","aim_ms":1`, `"name":"b"`, "settings.profiles[].aim_ms"},
		{"list missing", `"profiles":[{"name":"a","aim_ms":1},{"name":"b","aim_ms":1,"worth":2}],`, ``,
			"settings.profiles"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			if err := parse(strings.Replace(complete, c.from, c.to, 1)).CheckMissingKeys(parse(complete)); err != nil {
				got = strings.TrimPrefix(err.Error(),
					"config: missing keys that the previous configuration has: ")
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
