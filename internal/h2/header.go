package h2

import (
	"strconv"
	"strings"

	"golang.org/x/net/http2/hpack"

	"whinrudder/internal/front"
)

// Limits of header blocks.
const (
	maxBlockBytes      = 32 << 10  // compressed size of one block
	maxContinuations   = 16        // CONTINUATION frames of one block
	maxListBytes       = 8 << 10   // field list of a request, the same limit as in the other fronts
	maxExpandedBytes   = 128 << 10 // field list that is decoded at all; a longer one closes the connection
	maxTableBytes      = 4096      // dynamic table, in both directions
	fieldOverheadBytes = 32        // added for each field of a list (RFC 9113, 6.5.2)
	maxStringBytes     = 16 << 10  // one name or value
)

// headerBlock is an incomplete header block.
type headerBlock struct {
	stream        uint32
	endStream     bool
	selfDependent bool // the priority declares that the stream depends on itself
	buf           []byte
	continuations int     // CONTINUATION frames so far
	startedAt     float64 // when the HEADERS frame arrived
}

// request holds the decoded fields of a request.
type request struct {
	method, scheme, path string
	pseudo               map[string]bool // names of the pseudo fields so far
	hasRegular           bool            // a regular field was decoded
	fields               front.Fields
	contentLength        int64        // -1 if the field is missing
	expectContinue       bool         // the peer waits for status 100 before it sends the body
	listBytes            int          // size of the field list, with fieldOverheadBytes for each field
	malformed            string       // why the request is malformed, or empty
	fault                *front.Fault // why the request is rejected, or nil
}

func newRequest() *request { return &request{pseudo: map[string]bool{}, contentLength: -1} }

// keptBytes returns the size of the values that are kept until the request is complete. Their sum is bounded by the limit
// of a field list, as the values of other fields are dropped.
func (r *request) keptBytes() int {
	f := &r.fields
	return len(r.method) + len(r.scheme) + len(r.path) + len(f.ID) + len(f.Time) + len(f.From) + len(f.Wait) + len(f.KB) +
		len(f.Rank) + len(f.Key) + len(f.Token)
}

// markMalformed marks the request as malformed and keeps the first reason.
func (r *request) markMalformed(reason string) {
	if r.malformed == "" {
		r.malformed = reason
	}
}

// addField processes one field of a request (RFC 9113, 8.2 and 8.3).
func (r *request) addField(f hpack.HeaderField) {
	r.listBytes += len(f.Name) + len(f.Value) + fieldOverheadBytes
	if r.listBytes > maxListBytes {
		r.fault = &front.Fault{Status: 431, Code: "long-head"}
		return
	}
	if !validName(f.Name) || !validValue(f.Value) {
		r.markMalformed("field " + strconv.Quote(f.Name))
		return
	}
	if f.Name[0] == ':' {
		r.addPseudoField(f)
		return
	}
	r.hasRegular = true
	switch f.Name {
	case "connection", "proxy-connection", "keep-alive", "transfer-encoding", "upgrade":
		r.markMalformed("connection-specific " + f.Name)
	case "te":
		if f.Value != "trailers" {
			r.markMalformed("te")
		}
	case "content-length":
		n, err := strconv.ParseUint(f.Value, 10, 31)
		if err != nil || r.contentLength >= 0 && r.contentLength != int64(n) {
			r.markMalformed("content-length")
			return
		}
		r.contentLength = int64(n)
	case "expect":
		r.expectContinue = strings.EqualFold(f.Value, "100-continue")
		if !r.expectContinue {
			r.fault = &front.Fault{Status: 417, Code: "bad-expect"}
		}
	default:
		if _, duplicate := r.fields.Set(f.Name, f.Value); duplicate {
			r.fault = &front.Fault{Status: 400, Code: "twice-field"}
		}
	}
}

// addPseudoField processes one pseudo field (RFC 9113, 8.3.1).
func (r *request) addPseudoField(f hpack.HeaderField) {
	if r.hasRegular || r.pseudo[f.Name] {
		r.markMalformed("pseudo field " + f.Name)
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
		r.markMalformed("pseudo field " + f.Name)
	}
}

// checkPseudoFields checks for missing or invalid pseudo fields after the whole list is decoded.
func (r *request) checkPseudoFields() {
	switch {
	case r.method == "CONNECT":
		if r.pseudo[":scheme"] || r.pseudo[":path"] || !r.pseudo[":authority"] {
			r.markMalformed("connect")
		}
	case r.method == "" || r.scheme == "" || r.path == "":
		if r.fault == nil { // the rest of a list over the limit was skipped
			r.markMalformed("a pseudo field is missing")
		}
	case r.path[0] != '/' && !(r.path == "*" && r.method == "OPTIONS"):
		r.markMalformed("path")
	}
}

// buildMessage returns the message for a complete request.
func (r *request) buildMessage(v *front.Validator, body []byte) front.Message {
	if r.fault != nil {
		return front.Message{Fault: r.fault}
	}
	path, query, _ := strings.Cut(r.path, "?")
	check, class, fault := front.Route(r.method, path, query)
	switch {
	case fault != nil:
		return front.Message{Fault: fault}
	case class != "":
		return v.BuildMessage(class, r.fields, body)
	}
	return check
}

// validName reports whether s is a field name as of RFC 9113, 8.2.1: a token without upper-case letters. A colon may
// only be its first character, as in the names of pseudo fields.
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

// validValue reports whether s contains no NUL, CR or LF and no leading or trailing white space.
func validValue(s string) bool {
	if strings.ContainsAny(s, "\x00\r\n") {
		return false
	}
	return s == "" || s[0] != ' ' && s[0] != '\t' && s[len(s)-1] != ' ' && s[len(s)-1] != '\t'
}
