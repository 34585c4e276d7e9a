// Command benchlink connects policies to the simulator: it keeps one Policy for each instance and passes
// events and actions on. It decides nothing.
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

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	dec := simproto.NewDecoder(in)
	policies := map[int]*whinrudder.Policy{}
	var (
		batch   simproto.Batch
		reply   simproto.Reply
		events  = map[int][]whinrudder.Event{}
		order   []int
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
				continue // an event of a life that is over
			default:
				events[it.Instance] = append(events[it.Instance], it.Event)
			}
			seen := false
			for _, i := range order {
				seen = seen || i == it.Instance
			}
			if !seen {
				order = append(order, it.Instance)
			}
		}
		for _, i := range order {
			p := policies[i]
			if p == nil {
				continue
			}
			var fault string
			actions, fault = step(p, batch.Now, events[i], actions[:0])
			events[i] = events[i][:0]
			if fault != "" {
				reply.AppendCrash(i, fmt.Sprintf("instance %d: %s", i, fault))
				continue
			}
			reply.AppendActions(i, actions)
		}
		if _, err := reply.WriteTo(out); err != nil {
			return err
		}
	}
}

// step runs one step of a policy and turns a panic into the text of a fault.
func step(p *whinrudder.Policy, now float64, ev []whinrudder.Event, to []whinrudder.Action) (
	actions []whinrudder.Action, fault string) {
	defer func() {
		if r := recover(); r != nil {
			fault = fmt.Sprintf("panic: %v", r)
		}
	}()
	return p.Step(now, ev, to), ""
}
