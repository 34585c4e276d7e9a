// Package admin is the HTTP/1.1 interface for operators, on an address of its own with one request per
// connection. Operators query whether the node is ready, read its metrics, and start or undo a drain.
// RequestParser is the state machine of a connection and does no I/O; Server drives it on sockets and calls the
// Node behind it.
package admin

import (
	"bytes"
	"strconv"
	"strings"
)

// Limits of a request.
const (
	maxHeadBytes = 4 << 10
	maxBodyBytes = 4 << 10 // a body is ignored, but read: unread input would reset the connection and lose the answer
)

// Action is what a request asks for.
type Action uint8

// The actions. ActionNone is the zero value: no valid request was read.
const (
	ActionNone    Action = iota
	ActionReady          // whether the process can serve
	ActionMetrics        // the metrics
	ActionRuns           // the runs, and why requests were not served
	ActionDrain          // make the clients leave this node
	ActionUndrain        // undo ActionDrain
)

var actions = map[string]Action{"GET /ready": ActionReady, "GET /metrics": ActionMetrics, "GET /runs": ActionRuns,
	"POST /drain": ActionDrain, "POST /undrain": ActionUndrain}

// RequestParser reads the one request of a connection.
type RequestParser struct {
	buf       []byte
	headDone  bool // the request line and the headers are parsed
	bodyBytes int  // from Content-Length
	action    Action
	status    int    // of the error response; 0 if there is no error
	code      string // of the error in the log; empty if there is no error
	done      bool   // the request is complete or has failed
}

// Feed consumes bytes that were read from the connection. Bytes after the request are ignored.
func (p *RequestParser) Feed(b []byte) {
	if p.done {
		return
	}
	p.buf = append(p.buf, b...)
	if !p.headDone {
		end := bytes.Index(p.buf, []byte("\r\n\r\n"))
		if end > maxHeadBytes || end < 0 && len(p.buf) > maxHeadBytes {
			p.fail(431, "long-head")
			return
		}
		if end < 0 {
			return
		}
		p.headDone = true
		if p.readHead(string(p.buf[:end])); p.done {
			return
		}
		p.buf = p.buf[end+4:]
	}
	p.done = len(p.buf) >= p.bodyBytes
}

func (p *RequestParser) fail(status int, code string) { p.status, p.code, p.done = status, code, true }

func (p *RequestParser) readHead(head string) {
	line, rest, _ := strings.Cut(head, "\r\n")
	words := strings.Split(line, " ")
	if len(words) != 3 || words[0] == "" || words[1] == "" {
		p.fail(400, "bad-line")
		return
	}
	if words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0" {
		p.fail(505, "bad-version")
		return
	}
	hasLength := false
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		switch {
		case !ok || name == "" || strings.ContainsAny(name, " \t"):
			p.fail(400, "bad-header")
			return
		case strings.EqualFold(name, "Transfer-Encoding"):
			p.fail(501, "bad-encoding")
			return
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, 31)
			if err != nil || hasLength && int(n) != p.bodyBytes {
				p.fail(400, "bad-length")
				return
			}
			p.bodyBytes, hasLength = int(n), true
		}
	}
	if p.bodyBytes > maxBodyBytes {
		p.fail(413, "long-body")
		return
	}
	path, _, _ := strings.Cut(words[1], "?")
	if p.action = actions[words[0]+" "+path]; p.action != ActionNone {
		return
	}
	for key := range actions {
		if strings.HasSuffix(key, " "+path) {
			p.fail(405, "bad-method")
			return
		}
	}
	p.fail(404, "bad-path")
}

// Done reports whether the request is complete or has failed.
func (p *RequestParser) Done() bool { return p.done }

// Started reports whether any byte was received.
func (p *RequestParser) Started() bool { return p.headDone || len(p.buf) > 0 }

// Action returns what the request asks for, or the status and the log code of the error.
func (p *RequestParser) Action() (a Action, status int, code string) {
	return p.action, p.status, p.code
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// AppendResponse appends a response. The connection ends after it.
func AppendResponse(b []byte, status int, body []byte) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasons[status]...)
	b = append(b, "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}
