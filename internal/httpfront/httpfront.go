// Package httpfront reads the platform's protocol: HTTP/1.1 with one request at a time on a connection.
package httpfront

import (
	"bytes"
	"strconv"
	"strings"

	"whinrudder/internal/front"
)

// maxHead bounds the request line and the header block.
const maxHead = 8 << 10

// Parser is the state machine of one connection.
type Parser struct {
	site *front.Validator
	buf  []byte

	head   bool // the head of a message was read; what follows is its body
	length int
	msg    front.Message // of a check
	class  string
	fields front.Fields
	last   bool
}

// New returns the parser of a new connection.
func New(site *front.Validator) *Parser { return &Parser{site: site} }

// Feed takes bytes that were read.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Buffered tells how many bytes wait.
func (p *Parser) Buffered() int { return len(p.buf) }

// Next returns the next message once all its bytes are there.
func (p *Parser) Next() (front.Message, bool) {
	if !p.head {
		end := bytes.Index(p.buf, []byte("\r\n\r\n"))
		if end > maxHead || end < 0 && len(p.buf) > maxHead {
			return front.FaultMessage(431, "long-head"), true
		}
		if end < 0 {
			return front.Message{}, false
		}
		if f := p.readHead(string(p.buf[:end])); f != nil {
			return front.Message{Fault: f}, true
		}
		p.head = true
		p.take(end + 4)
	}
	if len(p.buf) < p.length {
		return front.Message{}, false
	}
	p.head = false
	m := p.msg
	if p.class != "" {
		m = p.site.BuildMessage(p.class, p.fields, append([]byte{}, p.buf[:p.length]...))
	}
	m.Close = p.last
	p.take(p.length)
	return m, true
}

func (p *Parser) take(n int) { p.buf = p.buf[:copy(p.buf, p.buf[n:])] }

// readHead reads the request line and the headers.
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
	p.fields, p.length, p.class, p.msg, p.last = front.Fields{}, 0, "", front.Message{}, version == "HTTP/1.0"
	sized := false
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") || strings.ContainsAny(value, "\r\n\x00") {
			return &front.Fault{Status: 400, Code: "bad-header"}
		}
		value = strings.Trim(value, " \t")
		if known, twice := p.fields.Set(name, value); twice {
			return &front.Fault{Status: 400, Code: "twice-field"}
		} else if known {
			continue
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || sized && int(n) != p.length {
				return &front.Fault{Status: 400, Code: "bad-length"}
			}
			p.length, sized = int(n), true
		case strings.EqualFold(name, "Transfer-Encoding"):
			return &front.Fault{Status: 501, Code: "bad-encoding"}
		case strings.EqualFold(name, "Expect"):
			return &front.Fault{Status: 417, Code: "bad-expect"}
		case strings.EqualFold(name, "Connection"):
			p.last = p.last || strings.EqualFold(value, "close")
		}
	}
	if p.length > front.MaxBodyBytes {
		return &front.Fault{Status: 413, Code: "long-body"}
	}
	path, query, _ := strings.Cut(target, "?")
	return p.route(method, path, query)
}

func (p *Parser) route(method, path, query string) (f *front.Fault) {
	p.msg, p.class, f = front.Route(method, path, query)
	return f
}
