package client

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A file is read when it changes, also by a new file in its place; one that is half written, or gone, changes nothing.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	lists := make(chan string, 100)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		File(path).Watch(ctx, func(_ time.Time, nodes []Node) { lists <- fmt.Sprint(nodes) })
	}()
	want := func(text string) {
		t.Helper()
		select {
		case got := <-lists:
			if got != text {
				t.Errorf("%s, want %s", got, text)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("%s does not come", text)
		}
	}
	write("# the fleet\n\na 127.0.0.1:1\nb 127.0.0.1:2 draining\n")
	want("[{a 127.0.0.1:1 false} {b 127.0.0.1:2 true}]")
	write("a 127.0.0.1:1\nb")
	os.Remove(path)
	write("c 127.0.0.1:33\n")
	want("[{c 127.0.0.1:33 false}]")
	cancel()
	<-ended
}

// A clock that is set back, or a file that is copied with its time, must not make a new list pass for an old one.
func TestFileOfAnEarlierTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes")
	write := func(text string, at time.Time) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		os.Chtimes(path+".new", at, at)
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write("a 127.0.0.1:1\n", time.Now().Add(time.Hour))
	c, err := New(Options{Source: File(path), Classes: classes})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	nodes := func(n int) {
		t.Helper()
		for late := time.Now().Add(30 * time.Second); c.Nodes() != n && time.Now().Before(late); {
			time.Sleep(10 * time.Millisecond)
		}
		if c.Nodes() != n {
			t.Fatalf("%d nodes, want %d", c.Nodes(), n)
		}
	}
	nodes(1)
	write("a 127.0.0.1:1\nb 127.0.0.1:2\n", time.Now().Add(-time.Hour))
	nodes(2)
}

// BenchmarkDo is a whole call over loopback, by protocol, beside Go's own client at the same node.
func BenchmarkDo(b *testing.B) {
	for _, p := range []Protocol{HTTP, H2C, UWSGI} {
		b.Run(string(p), func(b *testing.B) {
			n := startB(b, p)
			c, err := New(Options{Source: Fixed{n.addr}, Protocol: p, Classes: classes})
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Do(context.Background(), Request{Class: "rate-quote"}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("net/http", func(b *testing.B) {
		n := startB(b, HTTP)
		h := &http.Client{Transport: &http.Transport{}}
		defer h.CloseIdleConnections()
		b.ReportAllocs()
		for b.Loop() {
			resp, err := h.Post("http://"+n.addr+"/rpc/rate-quote", "", nil)
			if err != nil {
				b.Fatal(err)
			}
			resp.Body.Close()
		}
	})
}

func startB(b *testing.B, p Protocol) *standIn {
	return start(b, p, func(s *standIn) func(int64, *http.Request, http.ResponseWriter) {
		return func(_ int64, _ *http.Request, w http.ResponseWriter) { w.Write([]byte("ok")) }
	})
}
