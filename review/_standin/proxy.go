package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// slackMs is how long after its due time an answer still counts: grace_to_answer_ms of the settings and the 50 ms by
// which every time limit is longer on sockets.
const slackMs = 80 + 50

// proxyConn is a connection of a client proxy. It carries one request at a time.
type proxyConn struct {
	w    *world
	addr string
	c    net.Conn
	in   *bufio.Reader
}

func head(r *request) string {
	return fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Time: %.0f\r\nReq-From: %d\r\n"+
		"Req-Wait-Ms: %.0f\r\nReq-Kb: 24.5\r\nReq-Rank: 0.6250\r\nContent-Length: %d\r\n\r\n", r.class, r.id, r.arrived, r.from,
		r.wait, len(r.body))
}

// call sends a request and waits for its final answer. It returns false if the connection could not be opened: then
// the request did not come to the node.
func (p *proxyConn) call(r *request) {
	fail := func(why string) {
		p.w.mu.Lock()
		r.over, r.lost = true, why
		p.w.mu.Unlock()
		p.w.rec.line("lost id=%s why=%q", r.id, why)
		if p.c != nil {
			p.c.Close()
		}
		p.c = nil
	}
	if p.c == nil {
		c, err := net.DialTimeout("tcp", p.addr, time.Second)
		if err != nil { // refused: nothing ran, and the request did not come to the node
			p.w.mu.Lock()
			r.over, r.status = true, 503
			p.w.mu.Unlock()
			p.w.rec.line("refused-connection id=%s", r.id)
			return
		}
		p.c, p.in = c, bufio.NewReader(c)
	}
	p.c.SetDeadline(time.UnixMilli(int64(r.due) + slackMs))
	if _, err := p.c.Write([]byte(head(r) + string(r.body))); err != nil {
		fail("not written: " + err.Error())
		return
	}
	p.w.mu.Lock()
	r.written = nowMs()
	p.w.mu.Unlock()
	status, body, last, err := readAnswer(p.in)
	if err != nil {
		why := "the connection ended without an answer: " + err.Error()
		if e, ok := err.(net.Error); ok && e.Timeout() {
			why = "no answer by its due time and the slack"
		}
		fail(why)
		return
	}
	p.w.mu.Lock()
	r.over, r.status, r.answer = true, status, body
	wrong := status == 200 && body != r.result
	p.w.mu.Unlock()
	p.w.rec.line("answered id=%s status=%d after=%.0f", r.id, status, nowMs()-r.arrived)
	if wrong {
		fail("served with something that no run made for it")
		return
	}
	if last {
		p.c.Close()
		p.c = nil
	}
}

func (p *proxyConn) close() {
	if p.c != nil {
		p.c.Close()
	}
}

// readAnswer reads a whole answer.
func readAnswer(in *bufio.Reader) (status int, body string, last bool, err error) {
	t := textproto.NewReader(in)
	line, err := t.ReadLine()
	if err != nil {
		return 0, "", true, err
	}
	f := strings.SplitN(line, " ", 3)
	if len(f) < 2 || !strings.HasPrefix(f[0], "HTTP/1.") {
		return 0, "", true, fmt.Errorf("not an answer: %q", line)
	}
	if status, err = strconv.Atoi(f[1]); err != nil {
		return 0, "", true, err
	}
	h, err := t.ReadMIMEHeader()
	if err != nil {
		return 0, "", true, err
	}
	n, err := strconv.Atoi(h.Get("Content-Length"))
	if err != nil {
		return 0, "", true, err
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(in, b); err != nil {
		return 0, "", true, err
	}
	return status, string(b), strings.EqualFold(h.Get("Connection"), "close"), nil
}
