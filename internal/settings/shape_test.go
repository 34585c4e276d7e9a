package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fastjson"
)

// A new configuration must have the keys of the one before it, wherever they are; more is no fault, and classes may
// come and go.
func TestLacks(t *testing.T) {
	const whole = `{"name":"r1","limits":{"cores":1},"settings":{"profiles":[{"name":"a","aim_ms":1},{"name":"b","aim_ms":1,"worth":2}],"parties":[]}}`
	of := func(text string) Config {
		v, err := fastjson.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		return Config{shape: shapeOf(v)}
	}
	for _, c := range []struct{ name, from, to, want string }{
		{"same", "", "", ""},
		{"more", `"cores":1`, `"cores":1,"new":{"x":1}`, ""},
		{"class dropped", `{"name":"a","aim_ms":1},`, ``, ""},
		{"class added", `{"name":"a","aim_ms":1},`, `{"name":"a","aim_ms":1},{"name":"c","aim_ms":1},`, ""},
		{"key that some classes have", `,"worth":2`, ``, ""},
		{"all classes dropped", `{"name":"a","aim_ms":1},{"name":"b","aim_ms":1,"worth":2}`, ``, ""},
		{"list filled", `"parties":[]`, `"parties":[{"quota":1}]`, ""},
		{"key at the top", `"name":"r1"`, `"nome":"r1"`, "name"},
		{"key of an object", `"cores":1`, ``, "limits.cores"},
		{"object", `"limits":{"cores":1},`, ``, "limits, limits.cores"},
		{"key of one class", `"name":"b","aim_ms":1`, `"name":"b"`, "settings.profiles[].aim_ms"},
		{"list", `"profiles":[{"name":"a","aim_ms":1},{"name":"b","aim_ms":1,"worth":2}],`, ``, "settings.profiles"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			if err := of(strings.Replace(whole, c.from, c.to, 1)).CheckMissingKeys(of(whole)); err != nil {
				got = strings.TrimSuffix(strings.TrimPrefix(err.Error(), "config: lacks "), ", which the configuration before it has")
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
