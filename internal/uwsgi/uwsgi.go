// Package uwsgi reads the uwsgi protocol: a packet of variables, then a body of CONTENT_LENGTH bytes. The fields
// of a request are the platform's, as HTTP_ variables; the answer has the form of HTTP/1.1. A connection carries
// one request, as gateways that speak uwsgi have it.
package uwsgi

import (
	"encoding/binary"
	"strconv"
	"strings"

	"whinrudder/internal/front"
)

const (
	headSize = 4       // modifier1, size of the variables in little-endian order, modifier2
	maxVars  = 8 << 10 // bounds the variables, as the HTTP front bounds its head
)

// Parser is the state machine of one connection.
type Parser struct {
	site *front.Validator
	buf  []byte
	done bool
}

// New returns the parser of a new connection.
func New(site *front.Validator) *Parser { return &Parser{site: site} }

// Feed takes bytes that were read.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Buffered tells how many bytes wait.
func (p *Parser) Buffered() int { return len(p.buf) }

// Next returns the message once all its bytes are there.
func (p *Parser) Next() (front.Message, bool) {
	if p.done || len(p.buf) < headSize {
		return front.Message{}, false
	}
	size := int(binary.LittleEndian.Uint16(p.buf[1:]))
	switch {
	case p.buf[0] != 0 || p.buf[3] != 0:
		return front.FaultMessage(501, "bad-modifier"), true // only plain requests are served
	case size > maxVars:
		return front.FaultMessage(431, "long-head"), true
	case len(p.buf) < headSize+size:
		return front.Message{}, false
	}
	v, f := readVars(p.buf[headSize : headSize+size])
	if f != nil {
		return front.Message{Fault: f}, true
	}
	body := p.buf[headSize+size:]
	if len(body) < v.length {
		return front.Message{}, false
	}
	m, class, f := front.Route(v.method, v.path, v.query)
	switch {
	case f != nil:
		m.Fault = f
	case class != "":
		m = p.site.BuildMessage(class, v.fields, append([]byte{}, body[:v.length]...))
	}
	p.done, m.Close = true, true
	p.buf = p.buf[:0]
	return m, true
}

type vars struct {
	method, path, query string
	length              int
	fields              front.Fields
}

// readVars reads the pairs of name and value, each with its size before it.
func readVars(b []byte) (v vars, f *front.Fault) {
	seen := map[string]bool{}
	for len(b) > 0 {
		var part [2]string
		for i := range part {
			if len(b) < 2 {
				return v, &front.Fault{Status: 400, Code: "bad-packet"}
			}
			n := int(binary.LittleEndian.Uint16(b))
			if len(b) < 2+n {
				return v, &front.Fault{Status: 400, Code: "bad-packet"}
			}
			part[i], b = string(b[2:2+n]), b[2+n:]
		}
		name, value := part[0], part[1]
		if seen[name] {
			return v, &front.Fault{Status: 400, Code: "twice-field"}
		}
		seen[name] = true
		switch name {
		case "REQUEST_METHOD":
			v.method = value
		case "PATH_INFO":
			v.path = value
		case "QUERY_STRING":
			v.query = value
		case "CONTENT_LENGTH":
			if value == "" {
				continue // gateways send it empty where there is no body
			}
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return v, &front.Fault{Status: 400, Code: "bad-length"}
			}
			v.length = int(n)
		default:
			if h, ok := strings.CutPrefix(name, "HTTP_"); ok {
				if to := v.fields.Field(strings.ReplaceAll(h, "_", "-")); to != nil {
					*to = value
				}
			}
		}
	}
	if v.length > front.MaxBodyBytes {
		return v, &front.Fault{Status: 413, Code: "long-body"}
	}
	return v, nil
}
