package rehearse

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Each exchange is played over its protocol; those in both must end alike over either.
func TestExchanges(t *testing.T) {
	for _, run := range []struct{ dir, protocol string }{
		{"both", "http"}, {"both", "uwsgi"}, {"http", "http"}, {"uwsgi", "uwsgi"},
	} {
		files, err := filepath.Glob("exchanges/" + run.dir + "/*.txt")
		if err != nil || len(files) == 0 {
			t.Fatalf("no exchanges in %s: %v", run.dir, err)
		}
		for _, f := range files {
			t.Run(run.protocol+"/"+filepath.Base(f), func(t *testing.T) {
				t.Parallel()
				text, err := os.ReadFile(f)
				if err != nil {
					t.Fatal(err)
				}
				want, got, err := Play(string(text), run.protocol)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}
