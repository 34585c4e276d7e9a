package node

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// closedPort returns an address of this machine where nobody listens.
func closedPort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// said returns the codes that were logged so far.
func said(n *Node, log lines) (codes []string) {
	n.out.flush(now() + 1000)
	for len(log) > 0 {
		code, _, _ := strings.Cut(<-log, " ")
		codes = append(codes, code)
	}
	return codes
}

// A connection to the worker pool that the system refuses leaves a line, once for each time that it begins to be.
func TestRefusedLinkIsLoggedOnce(t *testing.T) {
	log := make(lines, 16)
	n := testNode(log)
	l := &link{node: n, addr: closedPort(t)}
	for range 3 {
		if l.dial() != nil {
			t.Fatal("connected to a closed port")
		}
	}
	to, err := net.Listen("tcp", l.addr)
	if err != nil {
		t.Fatal(err)
	}
	c := l.dial()
	to.Close()
	if c == nil {
		t.Fatal("did not connect")
	}
	c.Close()
	l.dial()
	if diff := cmp.Diff([]string{"dial", "dial"}, said(n, log)); diff != "" {
		t.Error(diff)
	}
}

// Reports that can't be sent leave a line, and the node goes on trying.
func TestRefusedReportsAreLoggedOnce(t *testing.T) {
	log := make(lines, 16)
	n := testNode(log)
	n.reports = reporter{addr: "127.0.0.1:99999", wake: make(chan struct{}, 1)}
	done := make(chan struct{})
	go func() { n.announce(); close(done) }()
	for range 4 { // each is taken by a round of its own
		select {
		case n.reports.wake <- struct{}{}:
		case <-time.After(10 * time.Second):
			t.Fatal("the reports have stopped")
		}
	}
	close(n.over)
	<-done
	if diff := cmp.Diff([]string{"dial"}, said(n, log)); diff != "" {
		t.Error(diff)
	}
}
