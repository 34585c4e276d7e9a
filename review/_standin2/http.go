package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is how a request ended for its caller.
type answer struct {
	status  int // 0: no whole answer
	body    string
	kept    string // Srv-Kept
	err     error
	refused bool // the connection was refused: nothing was written
	written time.Time
	ended   time.Time
	due     time.Time
	close   bool
}

// slack is by how much an answer may come after its due time: 80 ms by the settings and 50 ms on sockets.
const slack = 130 * time.Millisecond

// caller is a client proxy's connection. It carries one request at a time.
type caller struct {
	w      *world
	reg    *registry
	addr   string
	number int
	conn   net.Conn
	reader *bufio.Reader
	key    string // of reads; empty: none
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// close closes the connection.
func (k *caller) close() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// send sends a request and waits for its answer, until slack after its due time.
func (k *caller) send(class, token, body string, wait time.Duration) (id string, a answer) {
	id = newID()
	if k.conn == nil {
		c, err := net.DialTimeout("tcp", k.addr, time.Second)
		if err != nil {
			return id, answer{refused: true, err: err, ended: time.Now()}
		}
		k.conn, k.reader = c, bufio.NewReader(c)
	}
	k.reg.book(id, class, token, body)
	defer k.reg.end(id)
	tokenLine := ""
	if token != "" {
		tokenLine = "Req-Token: " + token + "\r\n"
	}
	if k.key != "" {
		tokenLine += "Req-Key: " + k.key + "\r\n"
	}
	now := time.Now()
	a.due = now.Add(wait)
	_, err := fmt.Fprintf(k.conn, "POST /rpc/%s HTTP/1.1\r\nHost: node\r\nReq-Id: %s\r\nReq-Time: %d\r\nReq-From: %d\r\nReq-Wait-Ms: %d\r\nReq-Kb: 30.0\r\nReq-Rank: 0.5000\r\n%sContent-Length: %d\r\n\r\n%s",
		class, id, now.UnixMilli(), k.number, wait.Milliseconds(), tokenLine, len(body), body)
	a.written = time.Now()
	if err != nil {
		a.err, a.ended = err, time.Now()
		k.close()
		return id, a
	}
	k.conn.SetReadDeadline(a.due.Add(slack))
	resp, err := http.ReadResponse(k.reader, nil)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		a.body, a.kept, a.close = string(b), resp.Header.Get("Srv-Kept"), resp.Close
	}
	a.ended = time.Now()
	if err != nil {
		a.err = err
		k.close()
		return id, a
	}
	a.status = resp.StatusCode
	if a.close {
		k.close()
	}
	return id, a
}

// get makes one call to an operators' address and returns the status, or 0.
func get(addr, path string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// waitReady waits until a node says that it is ready.
func waitReady(addr string, by time.Time) bool {
	for time.Now().Before(by) {
		if get(addr, "/ready") == 200 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// waitHealthy waits until a health check of a node is good.
func waitHealthy(addr string, by time.Time) {
	for time.Now().Before(by) {
		if get(addr, "/health") == 200 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(couldNotRun{"the node did not become healthy"})
}
