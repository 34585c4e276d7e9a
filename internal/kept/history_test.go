package kept

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"

	"whinrudder/internal/core"
)

// The states of a key as far as its callers can know.
const (
	keyNotRun   = iota // no answer shows that it ran
	keyRan             // it ran, and no caller was served a durable result
	keyPromised        // it ran, and a caller was served its durable result
)

// observation is the outcome of a request as its caller sees it: "first" is the result of its own run, "again" the kept
// result of an earlier run, and with "early" the result was served before it was durable. "nothing" is every other
// outcome, including no answer.
type observation string

// model allows at most one first result of a key, the same result again afterwards, and no doubt after a durable result
// was served.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyNotRun} },
	Step: func(state, _, output any) []any {
		switch s, o := state.(int), output.(observation); {
		case o == "first" && s == keyNotRun:
			return []any{keyPromised}
		case o == "early" && s == keyNotRun:
			return []any{keyRan}
		case o == "again" && s != keyNotRun:
			return []any{keyPromised}
		case o == "again early" && s != keyNotRun:
			return []any{s}
		case o == "refused", o == "in-doubt" && s == keyRan:
			return []any{s}
		case (o == "nothing" || o == "in-doubt") && s == keyNotRun: // it may have run
			return []any{keyNotRun, keyRan}
		case o == "nothing":
			return []any{s}
			// Otherwise no order explains the outcome: in doubt after a durable result, or a first result twice.
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// Guards against histories that contradict a single run of each key. Random sequences of requests, crashes, disk
// errors, broken links and callers that give up must give outcomes per key that have a linearization with at most one
// run.
func TestHistoriesAreLinearizable(t *testing.T) {
	counts := map[observation]int{}
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		h := newHarness(seed, defaultConfig)
		h.replaysNotices = seed%2 == 0
		type span struct {
			req       *testRequest
			call, end int64
		}
		var spans []*span
		clock := int64(0)
		for step := range 500 {
			clock++
			if rng.IntN(3) == 0 {
				key := fmt.Sprint("k", rng.IntN(1+step/25))
				spans = append(spans, &span{req: h.request(key, "b:"+key), call: clock})
			} else if move := moves[3+rng.IntN(len(moves)-3)]; move.name != "crash" && move.name != "due" ||
				rng.IntN(8) == 0 {
				move.apply(h)
			}
			clock++
			for _, s := range spans {
				if s.end == 0 && len(s.req.answers) > 0 {
					s.end = clock
				}
			}
		}
		if len(h.violations) > 0 {
			t.Fatalf("seed %d: broken rule: %s", seed, h.violations[0])
		}
		histories := map[string][]porcupine.Operation{}
		for i, s := range spans {
			observed := observation("nothing")
			if len(s.req.answers) == 0 {
				s.end = clock + 1
			} else if answer := s.req.answers[0]; answer.Outcome == core.Served {
				switch observed = "first"; {
				case answer.Kept == "result" && s.req.promised:
					observed = "again"
				case answer.Kept == "result":
					observed = "again early"
				case !s.req.promised:
					observed = "early"
				}
			} else if answer.Outcome == core.Refused {
				observed = "refused"
			} else if answer.Kept == "in-doubt" {
				observed = "in-doubt"
			}
			counts[observed]++
			histories[s.req.key] = append(histories[s.req.key], porcupine.Operation{ClientId: i, Input: s.req.id,
				Call: s.call, Output: observed, Return: s.end})
		}
		for key, history := range histories {
			if !porcupine.CheckOperations(model.ToModel(), history) {
				t.Fatalf("seed %d: history of key %s is not linearizable: %+v", seed, key, history)
			}
		}
	}
	t.Log(counts)
	for _, o := range []observation{"first", "again", "in-doubt", "refused", "nothing"} {
		if counts[o] < 20 {
			t.Errorf("got %d requests with outcome %q, want at least 20 for the test to be meaningful", counts[o], o)
		}
	}
}
