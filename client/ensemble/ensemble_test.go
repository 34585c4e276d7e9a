package ensemble

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"whinrudder/client"
	"whinrudder/internal/rehearse"
)

// Guards against a wrong list of nodes: nodes appear and disappear with their znodes as soon as the watch reports it,
// znodes that do not describe a node are skipped, and losing the ensemble removes no node.
func TestNodesComeAndGo(t *testing.T) {
	addr, step, stop, err := rehearse.StartEnsemble()
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	ensembleStep := func(word, at string) {
		t.Helper()
		if err := step(word, at); err != nil {
			t.Fatal(err)
		}
	}
	ensembleStep("add", `/nodes/a {"name":"a","listen":"127.0.0.1:1","uwsgi":"127.0.0.1:2"}`)
	lists := make(chan string, 100)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Source{Servers: []string{addr}, Path: "/nodes"}.Watch(ctx, func(_ time.Time, nodes []client.Node) {
			var lines []string
			for _, n := range nodes {
				lines = append(lines, fmt.Sprint(n.Name, " ", n.Addr, " ", n.Draining))
			}
			lists <- strings.Join(lines, ", ")
		})
	}()
	wantList := func(text string) {
		t.Helper()
		timeout := time.After(30 * time.Second)
		last := "nothing"
		for {
			select {
			case last = <-lists:
				if last == text {
					return
				}
			case <-timeout:
				t.Fatalf("got %q as the last list, want %q", last, text)
			}
		}
	}
	wantList("a 127.0.0.1:1 false")
	ensembleStep("add", `/nodes/b {"name":"b","listen":"127.0.0.1:3","uwsgi":"","draining":true}`)
	wantList("a 127.0.0.1:1 false, b 127.0.0.1:3 true")
	ensembleStep("add", `/nodes/c no node`)
	ensembleStep("add", `/nodes/d {"listen":""}`)
	ensembleStep("remove", "/nodes/a")
	wantList("b 127.0.0.1:3 true")
	ensembleStep("down", "")
	ensembleStep("add", `/nodes/e {"listen":"127.0.0.1:5"}`)
	ensembleStep("up", "")
	wantList("b 127.0.0.1:3 true, e 127.0.0.1:5 false")
	cancel()
	<-ended
	for _, test := range []struct {
		protocol client.Protocol
		want     string
	}{{client.UWSGI, "u"}, {client.H2C, "h"}, {"", "l"}} {
		if n, ok := (Source{Protocol: test.protocol}).node("x", []byte(`{"listen":"l","uwsgi":"u","h2c":"h"}`)); !ok ||
			n.Addr != test.want {
			t.Errorf("protocol %q: got %+v, want address %q", test.protocol, n, test.want)
		}
	}
}
