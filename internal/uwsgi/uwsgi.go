// Package uwsgi parses requests of the uwsgi front: a packet of variables, then a body of CONTENT_LENGTH bytes. The
// request fields arrive as HTTP_ variables, and the answer has the format of HTTP/1.1. A connection carries one
// request, as is usual for uwsgi gateways.
package uwsgi

import (
	"encoding/binary"
	"strconv"
	"strings"

	"whinrudder/internal/front"
)

// headerBytes is the size of modifier1, the size of the variables (uint16, little-endian) and modifier2.
const headerBytes = 4

// Parser is the front.Parser of one connection.
type Parser struct {
	validator *front.Validator
	in        front.InputBuffer
	done      bool // the only message of the connection was returned
}

// New returns the parser of a new connection.
func New(v *front.Validator) *Parser { return &Parser{validator: v} }

// Feed appends received bytes to the buffer.
func (p *Parser) Feed(b []byte) { p.in.Append(b) }

// Buffered returns the number of bytes fed and not yet parsed.
func (p *Parser) Buffered() int { return p.in.Len() }

// Next returns the message, or false until all its bytes have been fed.
func (p *Parser) Next() (front.Message, bool) {
	buf := p.in.Bytes()
	if p.done || len(buf) < headerBytes {
		return front.Message{}, false
	}
	size := int(binary.LittleEndian.Uint16(buf[1:]))
	switch {
	case buf[0] != 0 || buf[3] != 0:
		return front.FaultMessage(501, "bad-modifier"), true // only plain HTTP requests are supported
	case size > front.MaxHeadBytes:
		return front.FaultMessage(431, "long-head"), true
	case len(buf) < headerBytes+size:
		return front.Message{}, false
	}
	v, f := readVars(buf[headerBytes : headerBytes+size])
	if f != nil {
		return front.Message{Fault: f}, true
	}
	body := buf[headerBytes+size:]
	if len(body) < v.bodyLength {
		return front.Message{}, false
	}
	m, class, f := front.Route(v.method, v.path, v.query)
	switch {
	case f != nil:
		m.Fault = f
	case class != "":
		m = p.validator.BuildMessage(class, v.fields, append([]byte{}, body[:v.bodyLength]...))
	}
	p.done, m.Close = true, true
	p.in.Discard(p.in.Len())
	return m, true
}

// vars holds the variables of a request that the front uses.
type vars struct {
	method, path, query string
	bodyLength          int // CONTENT_LENGTH; 0 if missing or empty
	fields              front.Fields
}

// readVars parses pairs of a name and a value, each preceded by its size as a little-endian uint16.
func readVars(b []byte) (v vars, f *front.Fault) {
	seen := map[string]bool{}
	for len(b) > 0 {
		var pair [2]string
		for i := range pair {
			if len(b) < 2 {
				return v, &front.Fault{Status: 400, Code: "bad-packet"}
			}
			n := int(binary.LittleEndian.Uint16(b))
			if len(b) < 2+n {
				return v, &front.Fault{Status: 400, Code: "bad-packet"}
			}
			pair[i], b = string(b[2:2+n]), b[2+n:]
		}
		name, value := pair[0], pair[1]
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
				continue // gateways send an empty value for a request without a body
			}
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return v, &front.Fault{Status: 400, Code: "bad-length"}
			}
			v.bodyLength = int(n)
		default:
			if header, ok := strings.CutPrefix(name, "HTTP_"); ok {
				if field := v.fields.Field(strings.ReplaceAll(header, "_", "-")); field != nil {
					*field = value
				}
			}
		}
	}
	if v.bodyLength > front.MaxBodyBytes {
		return v, &front.Fault{Status: 413, Code: "long-body"}
	}
	return v, nil
}
