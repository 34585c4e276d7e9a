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

// Guards against a lost or a wrong update of the list: the file is read again when it is replaced, and a half-written
// or a missing file leaves the list unchanged.
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
	wantList := func(text string) {
		t.Helper()
		select {
		case got := <-lists:
			if got != text {
				t.Errorf("got list %s, want %s", got, text)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("got no list within 30 s, want %s", text)
		}
	}
	write("# the fleet\n\na 127.0.0.1:1\nb 127.0.0.1:2 draining\n")
	wantList("[{a 127.0.0.1:1 false} {b 127.0.0.1:2 true}]")
	write("a 127.0.0.1:1\nb")
	os.Remove(path)
	write("c 127.0.0.1:33\n")
	wantList("[{c 127.0.0.1:33 false}]")
	cancel()
	<-ended
}

// Guards against a new list that is taken for an old one: its modification time is older if the clock was set back or
// the file was copied together with its time.
func TestFileWithOlderModificationTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes")
	write := func(text string, modTime time.Time) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		os.Chtimes(path+".new", modTime, modTime)
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
	waitForNodes := func(n int) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); c.Nodes() != n && time.Now().Before(deadline); {
			time.Sleep(10 * time.Millisecond)
		}
		if c.Nodes() != n {
			t.Fatalf("got %d nodes, want %d", c.Nodes(), n)
		}
	}
	waitForNodes(1)
	write("a 127.0.0.1:1\nb 127.0.0.1:2\n", time.Now().Add(-time.Hour))
	waitForNodes(2)
}

// BenchmarkDo measures a call over loopback for each protocol and, for comparison, a request of net/http to such a
// node.
func BenchmarkDo(b *testing.B) {
	for _, protocol := range []Protocol{HTTP, H2C, UWSGI} {
		b.Run(string(protocol), func(b *testing.B) {
			node := startBenchmarkNode(b, protocol)
			c, err := New(Options{Source: Fixed{node.addr}, Protocol: protocol, Classes: classes})
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
		node := startBenchmarkNode(b, HTTP)
		httpClient := &http.Client{Transport: &http.Transport{}}
		defer httpClient.CloseIdleConnections()
		b.ReportAllocs()
		for b.Loop() {
			resp, err := httpClient.Post("http://"+node.addr+"/rpc/rate-quote", "", nil)
			if err != nil {
				b.Fatal(err)
			}
			resp.Body.Close()
		}
	})
}

// startBenchmarkNode starts a node that answers every request at once.
func startBenchmarkNode(b *testing.B, protocol Protocol) *fakeNode {
	return startNode(b, protocol, func(s *fakeNode) func(int64, *http.Request, http.ResponseWriter) {
		return func(_ int64, _ *http.Request, w http.ResponseWriter) { w.Write([]byte("ok")) }
	})
}
