package kept

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"

	"whinrudder/internal/core"
)

// The states of a key as its callers may know it.
const (
	unknown = iota // not run, as far as any answer tells
	hidden         // run, and nobody was told for sure
	told           // run, and its result was promised
)

// said is what a request was told.
type said string

// model is what a key may do: one first result at most, the same result again afterwards, and no doubt once it was promised.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{unknown} },
	Step: func(state, _, output any) []any {
		switch s, o := state.(int), output.(said); {
		case o == "first" && s == unknown:
			return []any{told}
		case o == "early" && s == unknown:
			return []any{hidden}
		case o == "again" && s != unknown:
			return []any{told}
		case o == "again early" && s != unknown:
			return []any{s}
		case o == "refused", o == "in-doubt" && s == hidden:
			return []any{s}
		case (o == "nothing" || o == "in-doubt") && s == unknown: // it may have run
			return []any{unknown, hidden}
		case o == "nothing":
			return []any{s}
			// In doubt once a result was promised, or a first result twice: no order explains that.
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// Long runs by chance, with crashes, failing disks, broken links and callers that leave: what the callers of each key were
// told can be put in an order in which it ran once at most.
func TestHistoriesAreLinearizable(t *testing.T) {
	counts := map[said]int{}
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		w := newWorld(seed, usual)
		w.back = seed%2 == 0
		type span struct {
			a         *try
			call, end int64
		}
		var spans []*span
		clock := int64(0)
		for step := range 500 {
			clock++
			if rng.IntN(3) == 0 {
				k := fmt.Sprint("k", rng.IntN(1+step/25))
				spans = append(spans, &span{a: w.ask(k, "b:"+k), call: clock})
			} else if m := moves[3+rng.IntN(len(moves)-3)]; m.name != "crash" && m.name != "due" || rng.IntN(8) == 0 {
				m.do(w)
			}
			clock++
			for _, s := range spans {
				if s.end == 0 && len(s.a.answers) > 0 {
					s.end = clock
				}
			}
		}
		if len(w.wrong) > 0 {
			t.Fatalf("seed %d: %s", seed, w.wrong[0])
		}
		histories := map[string][]porcupine.Operation{}
		for i, s := range spans {
			out := said("nothing")
			if len(s.a.answers) == 0 {
				s.end = clock + 1
			} else if x := s.a.answers[0]; x.Outcome == core.Served {
				switch out = "first"; {
				case x.Kept == "result" && s.a.promised:
					out = "again"
				case x.Kept == "result":
					out = "again early"
				case !s.a.promised:
					out = "early"
				}
			} else if x.Outcome == core.Refused {
				out = "refused"
			} else if x.Kept == "in-doubt" {
				out = "in-doubt"
			}
			counts[out]++
			histories[s.a.key] = append(histories[s.a.key], porcupine.Operation{ClientId: i, Input: s.a.id, Call: s.call, Output: out, Return: s.end})
		}
		for key, h := range histories {
			if !porcupine.CheckOperations(model.ToModel(), h) {
				t.Fatalf("seed %d: %s: %+v", seed, key, h)
			}
		}
	}
	t.Log(counts)
	for _, s := range []said{"first", "again", "in-doubt", "refused", "nothing"} {
		if counts[s] < 20 {
			t.Errorf("%d times %s: the runs show too little", counts[s], s)
		}
	}
}
