// Package admin is the operators' door: a second address with HTTP/1.1, one call a connection, by which operators see
// whether the node serves and what its figures are, and send its clients away or take them back. RequestParser is the
// state machine of a connection and knows no socket; Server drives it. What the node is behind the door it hears from a Node.
package admin

import (
	"bytes"
	"strconv"
	"strings"
)

// Limits of a call.
const (
	maxHead = 4 << 10
	maxBody = 4 << 10 // a body means nothing here, and is read so that it does not reset the answer
)

// Action is what a call wants.
type Action uint8

// The actions.
const (
	ActionNone    Action = iota
	ActionReady          // whether the process can serve
	ActionMetrics        // the figures
	ActionDrain          // send the clients away
	ActionUndrain        // take them back
)

var actions = map[string]Action{"GET /ready": ActionReady, "GET /metrics": ActionMetrics, "POST /drain": ActionDrain, "POST /undrain": ActionUndrain}

// RequestParser reads the one call of a connection.
type RequestParser struct {
	buf    []byte
	head   bool
	length int
	action Action
	status int // of the answer to what is no call; 0 while there is none
	code   string
	done   bool
}

// Feed takes bytes that were read. What comes after the call is passed over.
func (c *RequestParser) Feed(b []byte) {
	if c.done {
		return
	}
	c.buf = append(c.buf, b...)
	if !c.head {
		end := bytes.Index(c.buf, []byte("\r\n\r\n"))
		if end > maxHead || end < 0 && len(c.buf) > maxHead {
			c.fault(431, "long-head")
			return
		}
		if end < 0 {
			return
		}
		c.head = true
		if c.readHead(string(c.buf[:end])); c.done {
			return
		}
		c.buf = c.buf[end+4:]
	}
	c.done = len(c.buf) >= c.length
}

func (c *RequestParser) fault(status int, code string) { c.status, c.code, c.done = status, code, true }

func (c *RequestParser) readHead(head string) {
	line, rest, _ := strings.Cut(head, "\r\n")
	words := strings.Split(line, " ")
	if len(words) != 3 || words[0] == "" || words[1] == "" {
		c.fault(400, "bad-line")
		return
	}
	if words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0" {
		c.fault(505, "bad-version")
		return
	}
	sized := false
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		switch {
		case !ok || name == "" || strings.ContainsAny(name, " \t"):
			c.fault(400, "bad-header")
			return
		case strings.EqualFold(name, "Transfer-Encoding"):
			c.fault(501, "bad-encoding")
			return
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, 31)
			if err != nil || sized && int(n) != c.length {
				c.fault(400, "bad-length")
				return
			}
			c.length, sized = int(n), true
		}
	}
	if c.length > maxBody {
		c.fault(413, "long-body")
		return
	}
	path, _, _ := strings.Cut(words[1], "?")
	if c.action = actions[words[0]+" "+path]; c.action != ActionNone {
		return
	}
	for call := range actions {
		if strings.HasSuffix(call, " "+path) {
			c.fault(405, "bad-method")
			return
		}
	}
	c.fault(404, "bad-path")
}

// Done tells whether the call, or a fault, is whole.
func (c *RequestParser) Done() bool { return c.done }

// Started tells whether anything has come.
func (c *RequestParser) Started() bool { return c.head || len(c.buf) > 0 }

// Action returns what the call wants, or the status and the code of the fault.
func (c *RequestParser) Action() (a Action, status int, code string) {
	return c.action, c.status, c.code
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 501: "Not Implemented", 503: "Service Unavailable",
	505: "HTTP Version Not Supported"}

// AppendResponse appends an answer. The connection ends after it.
func AppendResponse(b []byte, status int, body []byte) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(b, ' '), reasons[status]...)
	b = append(b, "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}
