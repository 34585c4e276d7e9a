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

// Nodes come and go with their znodes, at once by the watch; what is no node is passed over, and an ensemble that is lost takes
// nobody away.
func TestNodesComeAndGo(t *testing.T) {
	addr, step, stop, err := rehearse.StartEnsemble()
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	do := func(word, at string) {
		t.Helper()
		if err := step(word, at); err != nil {
			t.Fatal(err)
		}
	}
	do("add", `/nodes/a {"name":"a","listen":"127.0.0.1:1","uwsgi":"127.0.0.1:2"}`)
	lists := make(chan string, 100)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Source{Servers: []string{addr}, Path: "/nodes"}.Watch(ctx, func(_ time.Time, nodes []client.Node) {
			var s []string
			for _, n := range nodes {
				s = append(s, fmt.Sprint(n.Name, " ", n.Addr, " ", n.Draining))
			}
			lists <- strings.Join(s, ", ")
		})
	}()
	want := func(text string) {
		t.Helper()
		late := time.After(30 * time.Second)
		last := "nothing"
		for {
			select {
			case last = <-lists:
				if last == text {
					return
				}
			case <-late:
				t.Fatalf("want %q, the last was %q", text, last)
			}
		}
	}
	want("a 127.0.0.1:1 false")
	do("add", `/nodes/b {"name":"b","listen":"127.0.0.1:3","uwsgi":"","draining":true}`)
	want("a 127.0.0.1:1 false, b 127.0.0.1:3 true")
	do("add", `/nodes/c no node`)
	do("add", `/nodes/d {"listen":""}`)
	do("remove", "/nodes/a")
	want("b 127.0.0.1:3 true")
	do("down", "")
	do("add", `/nodes/e {"listen":"127.0.0.1:5"}`)
	do("up", "")
	want("b 127.0.0.1:3 true, e 127.0.0.1:5 false")
	cancel()
	<-ended
	for _, p := range []struct {
		protocol client.Protocol
		want     string
	}{{client.UWSGI, "u"}, {client.H2C, "h"}, {"", "l"}} {
		if n, ok := (Source{Protocol: p.protocol}).node("x", []byte(`{"listen":"l","uwsgi":"u","h2c":"h"}`)); !ok || n.Addr != p.want {
			t.Errorf("%s: %+v", p.protocol, n)
		}
	}
}
