package study

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"whinrudder/internal/vtime"
)

// A study is the same twice, tells no difference where there is none, and all families can be drawn.
func TestStudyIsTheSameTwice(t *testing.T) {
	v := Variants()
	two := []Variant{v[0], v[0], v[2]}
	two[1].Name = "the same"
	tell := func() string {
		var w, more strings.Builder
		if err := Write(&w, &more, Run(Families()[:2], two, 1, 2, nil)); err != nil {
			t.Fatal(err)
		}
		return w.String() + more.String()
	}
	a, b := tell(), tell()
	if diff := cmp.Diff(a, b); diff != "" {
		t.Error(diff)
	}
	for _, c := range Run(Families()[:1], two, 1, 2, nil)[1:2] {
		if c.Less != 0 || c.Low != 0 || c.High != 0 || c.Broken != 0 {
			t.Errorf("%+v", c)
		}
	}
	for _, f := range Families() {
		if d := f.Of(7); d.Nodes < 11 || d.Load < 0.4 || fmt.Sprint(d) != fmt.Sprint(f.Of(7)) {
			t.Errorf("%s: %+v", f.Name, d)
		}
	}
}

// The interval of a mean holds it about as often as it says.
func TestBootstrapCovers(t *testing.T) {
	hits := 0
	for i := range 400 {
		r := vtime.Seed(9).Split("sample", i).Rand()
		v := make([]float64, 30)
		for j := range v {
			v[j] = r.ExpFloat64()
		}
		mean, low, high := Bootstrap(v, vtime.Seed(9).Split("boot", i))
		if low > mean || high < mean || math.IsNaN(mean) {
			t.Fatal(mean, low, high)
		}
		if low <= 1 && 1 <= high {
			hits++
		}
	}
	if hits < 355 || hits > 395 {
		t.Errorf("%d of 400 intervals hold the mean, want about 370", hits)
	}
}
