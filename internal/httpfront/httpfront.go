// Package httpfront parses requests of the HTTP/1.1 front. A connection carries one request at a time, and a body has
// a Content-Length; chunked bodies are rejected.
package httpfront

import (
	"bytes"
	"strconv"
	"strings"

	"whinrudder/internal/front"
)

// Parser is the front.Parser of one connection.
type Parser struct {
	validator *front.Validator
	in        front.InputBuffer

	headParsed bool          // the head of a message is parsed and its body comes next
	bodyLength int           // Content-Length; 0 without one
	check      front.Message // the message, if it is a health check
	class      string        // class of a request; empty for a health check
	fields     front.Fields
	last       bool // the connection carries no further message
}

// New returns the parser of a new connection.
func New(v *front.Validator) *Parser { return &Parser{validator: v} }

// Feed appends received bytes to the buffer.
func (p *Parser) Feed(b []byte) { p.in.Append(b) }

// Buffered returns the number of bytes fed and not yet parsed.
func (p *Parser) Buffered() int { return p.in.Len() }

// Next returns the next message, or false until all its bytes have been fed.
func (p *Parser) Next() (front.Message, bool) {
	if !p.headParsed {
		end := bytes.Index(p.in.Bytes(), []byte("\r\n\r\n"))
		if end > front.MaxHeadBytes || end < 0 && p.in.Len() > front.MaxHeadBytes {
			return front.FaultMessage(431, "long-head"), true
		}
		if end < 0 {
			return front.Message{}, false
		}
		if f := p.readHead(string(p.in.Bytes()[:end])); f != nil {
			return front.Message{Fault: f}, true
		}
		p.headParsed = true
		p.in.Discard(end + 4)
	}
	if p.in.Len() < p.bodyLength {
		return front.Message{}, false
	}
	p.headParsed = false
	m := p.check
	if p.class != "" {
		m = p.validator.BuildMessage(p.class, p.fields, append([]byte{}, p.in.Bytes()[:p.bodyLength]...))
	}
	m.Close = p.last
	p.class, p.fields = "", front.Fields{} // they refer to the whole head
	p.in.Discard(p.bodyLength)
	return m, true
}

// readHead parses the request line and the header fields.
func (p *Parser) readHead(head string) *front.Fault {
	line, rest, _ := strings.Cut(head, "\r\n")
	method, target, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(target, " ")
	switch {
	case !ok || !ok2:
		return &front.Fault{Status: 400, Code: "bad-line"}
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return &front.Fault{Status: 505, Code: "bad-version"}
	}
	p.fields, p.bodyLength, p.class, p.check, p.last = front.Fields{}, 0, "", front.Message{}, version == "HTTP/1.0"
	hasLength := false
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") || strings.ContainsAny(value, "\r\n\x00") {
			return &front.Fault{Status: 400, Code: "bad-header"}
		}
		value = strings.Trim(value, " \t")
		if known, duplicate := p.fields.Set(name, value); duplicate {
			return &front.Fault{Status: 400, Code: "twice-field"}
		} else if known {
			continue
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || hasLength && int(n) != p.bodyLength {
				return &front.Fault{Status: 400, Code: "bad-length"}
			}
			p.bodyLength, hasLength = int(n), true
		case strings.EqualFold(name, "Transfer-Encoding"):
			return &front.Fault{Status: 501, Code: "bad-encoding"}
		case strings.EqualFold(name, "Expect"):
			return &front.Fault{Status: 417, Code: "bad-expect"}
		case strings.EqualFold(name, "Connection"):
			p.last = p.last || strings.EqualFold(value, "close")
		}
	}
	if p.bodyLength > front.MaxBodyBytes {
		return &front.Fault{Status: 413, Code: "long-body"}
	}
	path, query, _ := strings.Cut(target, "?")
	return p.route(method, path, query)
}

// route sets the health check or the class of the request.
func (p *Parser) route(method, path, query string) (f *front.Fault) {
	p.check, p.class, f = front.Route(method, path, query)
	return f
}
