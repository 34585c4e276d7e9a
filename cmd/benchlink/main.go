// Command benchlink connects policies to the simulator over standard input and output. It keeps one whinrudder.Policy
// for each instance, passes it the events of the simulator and returns its actions.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"whinrudder"
	"whinrudder/internal/simproto"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// serve replies to batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	dec := simproto.NewDecoder(in)
	policies := map[int]*whinrudder.Policy{}
	var (
		batch   simproto.Batch
		reply   simproto.Reply
		events  = map[int][]whinrudder.Event{}
		order   []int // instances of the batch in order of their first message
		actions []whinrudder.Action
	)
	for {
		if err := dec.Decode(&batch); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		order = order[:0]
		for _, it := range batch.Items {
			switch {
			case it.Stopped:
				delete(policies, it.Instance)
				events[it.Instance] = events[it.Instance][:0]
				continue
			case it.Start != nil:
				p, err := whinrudder.New(it.Start.Settings, it.Start.Seed)
				if err != nil {
					return fmt.Errorf("instance %d: %w", it.Instance, err)
				}
				policies[it.Instance] = p
				events[it.Instance] = events[it.Instance][:0]
			case policies[it.Instance] == nil:
				continue // an event for an instance that has stopped
			default:
				events[it.Instance] = append(events[it.Instance], it.Event)
			}
			listed := false
			for _, i := range order {
				listed = listed || i == it.Instance
			}
			if !listed {
				order = append(order, it.Instance)
			}
		}
		for _, i := range order {
			p := policies[i]
			if p == nil {
				continue
			}
			var failure string
			actions, failure = step(p, batch.Now, events[i], actions[:0])
			events[i] = events[i][:0]
			if failure != "" {
				reply.AppendCrash(i, fmt.Sprintf("instance %d: %s", i, failure))
				continue
			}
			reply.AppendActions(i, actions)
		}
		if _, err := reply.WriteTo(out); err != nil {
			return err
		}
	}
}

// step runs one step of a policy and appends its actions to buf. If the policy panics, failure describes the panic.
func step(p *whinrudder.Policy, now float64, events []whinrudder.Event, buf []whinrudder.Action) (
	actions []whinrudder.Action, failure string) {
	defer func() {
		if r := recover(); r != nil {
			failure = fmt.Sprintf("panic: %v", r)
		}
	}()
	return p.Step(now, events, buf), ""
}
