// Command standin2 plays the cases of the second review: it starts the project's program, and stands in for clients,
// worker pools, the announce service and the platform. Its arguments are the name of a case and the path of its record.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestCase is how long a case may take.
const longestCase = 115 * time.Second

var cases = map[string]func(w *world){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]]))
}

// play plays a case and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func play(run func(w *world)) (code int) {
	w := newWorld(os.Args[2])
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() { // a case that takes too long, or is told to stop, leaves nothing behind
		select {
		case <-stopped:
		case <-time.After(longestCase):
		}
		w.log("the case is stopped")
		w.close()
		os.Exit(2)
	}()
	defer func() {
		if p := recover(); p != nil {
			if c, ok := p.(couldNotRun); ok {
				w.log("could not run: %s", c.text)
				fmt.Println("could not run:", c.text)
				code = 2
				return
			}
			panic(p)
		}
	}()
	run(w)
	for _, n := range w.nodes {
		n.copyLog()
	}
	if len(w.broken) > 0 {
		fmt.Printf("the rule was broken (%d times): %s\n", len(w.broken), w.broken[0])
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
