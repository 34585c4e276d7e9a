package h2

import (
	"strconv"
	"strings"

	"golang.org/x/net/http2/hpack"

	"whinrudder/internal/front"
)

// Limits of header blocks.
const (
	maxBlock     = 32 << 10 // compressed bytes of one block
	maxParts     = 16       // CONTINUATION frames of one block
	maxList      = 8 << 10  // bytes of a list that is served, as the other fronts bound their heads
	maxExpanded  = 128 << 10
	maxTable     = 4096 // of the dynamic table, either way
	entryCost    = 32   // of a field in a list (RFC 9113, 6.5.2)
	maxHeaderStr = 16 << 10
)

// block is a header block under way.
type block struct {
	stream    uint32
	endStream bool
	self      bool // the stream is said to depend on itself
	buf       []byte
	parts     int
	since     float64
}

// request is what a header block asks for.
type request struct {
	method, scheme, path string
	pseudo               map[string]bool
	regular              bool // a field that is no pseudo field came
	fields               front.Fields
	length               int64 // content-length; -1: none
	expect               bool
	size                 int    // of the list
	malformed            string // why the request is malformed
	fault                *front.Fault
}

func newRequest() *request { return &request{pseudo: map[string]bool{}, length: -1} }

func (r *request) bad(why string) {
	if r.malformed == "" {
		r.malformed = why
	}
}

// field takes one field of a request's list (RFC 9113, 8.2 and 8.3).
func (r *request) field(f hpack.HeaderField) {
	r.size += len(f.Name) + len(f.Value) + entryCost
	if r.size > maxList {
		r.fault = &front.Fault{Status: 431, Code: "long-head"}
		return
	}
	if !validName(f.Name) || !validValue(f.Value) {
		r.bad("field " + strconv.Quote(f.Name))
		return
	}
	if f.Name[0] == ':' {
		r.pseudoField(f)
		return
	}
	r.regular = true
	switch f.Name {
	case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
		r.bad("connection-specific " + f.Name)
	case "te":
		if f.Value != "trailers" {
			r.bad("te")
		}
	case "content-length":
		n, err := strconv.ParseUint(f.Value, 10, 31)
		if err != nil || r.length >= 0 && r.length != int64(n) {
			r.bad("content-length")
			return
		}
		r.length = int64(n)
	case "expect":
		r.expect = strings.EqualFold(f.Value, "100-continue")
		if !r.expect {
			r.fault = &front.Fault{Status: 417, Code: "bad-expect"}
		}
	default:
		if _, twice := r.fields.Set(f.Name, f.Value); twice {
			r.fault = &front.Fault{Status: 400, Code: "twice-field"}
		}
	}
}

func (r *request) pseudoField(f hpack.HeaderField) {
	if r.regular || r.pseudo[f.Name] {
		r.bad("pseudo field " + f.Name)
		return
	}
	r.pseudo[f.Name] = true
	switch f.Name {
	case ":method":
		r.method = f.Value
	case ":scheme":
		r.scheme = f.Value
	case ":path":
		r.path = f.Value
	case ":authority":
	default:
		r.bad("pseudo field " + f.Name)
	}
}

// finish checks what must be there once the list is whole.
func (r *request) finish() {
	switch {
	case r.method == "CONNECT":
		if r.pseudo[":scheme"] || r.pseudo[":path"] || !r.pseudo[":authority"] {
			r.bad("connect")
		}
	case r.method == "" || r.scheme == "" || r.path == "":
		if r.fault == nil { // a list that was too long was not read whole
			r.bad("a pseudo field is missing")
		}
	case r.path[0] != '/' && !(r.path == "*" && r.method == "OPTIONS"):
		r.bad("path")
	}
}

// message makes a message of a whole request.
func (r *request) message(site *front.Validator, body []byte) front.Message {
	if r.fault != nil {
		return front.Message{Fault: r.fault}
	}
	path, query, _ := strings.Cut(r.path, "?")
	check, class, fault := front.Route(r.method, path, query)
	switch {
	case fault != nil:
		return front.Message{Fault: fault}
	case class != "":
		return site.BuildMessage(class, r.fields, body)
	}
	return check
}

// validName tells whether a name is one of RFC 9113, 8.2.1: a token without upper case, with a colon in front of pseudo
// fields alone.
func validName(s string) bool {
	if s == "" || s == ":" {
		return false
	}
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == ':' && i == 0, strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return true
}

// validValue tells whether a value has no NUL, CR or LF and no white space at its ends.
func validValue(s string) bool {
	if strings.ContainsAny(s, "\x00\r\n") {
		return false
	}
	return s == "" || s[0] != ' ' && s[0] != '\t' && s[len(s)-1] != ' ' && s[len(s)-1] != '\t'
}
