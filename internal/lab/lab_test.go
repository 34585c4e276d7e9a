package lab

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against results that depend on the order in which the worker goroutines play the days: the same seed must give
// the same output byte for byte.
func TestSameSeedSamePairs(t *testing.T) {
	play := func() string {
		var b strings.Builder
		pairs, all, err := RunWarmUp(7, 2, LoadRange{0.4, 0.5}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := WriteJSON(&b, pairs, all); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	first := play()
	if diff := cmp.Diff(first, play()); diff != "" {
		t.Error(diff)
	}
	if want := 2*len(Variants) + 1; strings.Count(first, "\n") != want {
		t.Errorf("want %d lines, got:\n%s", want, first)
	}
}

func TestBadRangesAreRefused(t *testing.T) {
	for _, l := range []LoadRange{{0, 0.5}, {0.6, 0.5}, {0.5, 9}} {
		if _, _, err := RunWarmUp(1, 1, l, nil); err == nil {
			t.Errorf("load range %v: got no error, want one", l)
		}
	}
}
