package whinrudder_test

import (
	"fmt"

	"whinrudder"
)

// A host passes one request to the policy when it was read, starts it, and reports its end.
func Example() {
	policy, err := whinrudder.New(whinrudder.Settings{
		Servers: 3, Callers: 2, Cores: 4, Memory: 1 << 20, RunFactor: 8, Tick: 4,
		Classes: []whinrudder.Class{{Aim: 500, Deadline: 2000, Worth: 1, Repeat: whinrudder.Safe}},
		Halt:    whinrudder.StopNone, CreditMode: whinrudder.CreditWindow, PassesDeadline: true,
		Rules: whinrudder.Rules{FallMultiple: 6, AnswerGrace: 50},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []whinrudder.Action
	step := func(now float64, events ...whinrudder.Event) {
		actions = policy.Step(now, events, actions[:0])
		for _, a := range actions {
			switch a := a.(type) {
			case whinrudder.Run:
				fmt.Println("run", a.ID)
			case whinrudder.Refuse:
				fmt.Println("refuse", a.ID)
			case whinrudder.Advertise:
				fmt.Printf("each caller may have %.0f out\n", a.Credit)
			}
		}
	}
	step(0)
	step(10, whinrudder.Arrival{ID: "a", Due: 2010, MemoryKB: 20})
	step(95, whinrudder.Ended{ID: "a", Code: whinrudder.OK, Latency: 85})
	// Output:
	// each caller may have 4 out
	// run a
}
