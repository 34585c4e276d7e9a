// Package wire is the client's side of HTTP/1.1 and uwsgi towards a node: requests as bytes, and a parser of answers that is fed
// bytes and knows no socket. An answer of uwsgi has the form of HTTP (uwsgi protocol; RFC 9112).
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"strconv"
	"strings"
)

// Request is a try, as it goes out.
type Request struct {
	Class   string
	ID      string // 16 hexadecimal digits
	Caller  int    // number of the client
	Sent    float64
	Wait    float64 // milliseconds that the client waits from Sent on
	KB      float64 // of memory that it takes
	Rank    float64 // 0 to 1
	Key     string  // of what it repeats, or empty
	Token   string  // of the operation, or empty
	Retry   bool    // a try that is not the first
	Body    []byte
	Subject string // for logs at the node's side
}

// fields gives the fields of a request in order.
func (r *Request) fields(each func(name, value string)) {
	each("Req-Id", r.ID)
	each("Req-Time", strconv.FormatFloat(r.Sent, 'f', 3, 64))
	each("Req-From", strconv.Itoa(r.Caller))
	each("Req-Wait-Ms", strconv.FormatFloat(r.Wait, 'f', 3, 64))
	each("Req-Kb", strconv.FormatFloat(r.KB, 'f', 1, 64))
	each("Req-Rank", strconv.FormatFloat(r.Rank, 'f', 4, 64))
	if r.Key != "" {
		each("Req-Key", r.Key)
	}
	if r.Token != "" {
		each("Req-Token", r.Token)
	}
	if r.Retry {
		each("Req-Retry", "1")
	}
}

// Fields gives the fields of a request by their names on the platform's protocol.
func (r *Request) Fields() (out [][2]string) {
	r.fields(func(name, value string) { out = append(out, [2]string{name, value}) })
	return out
}

// Check tells whether a request can be written: nothing in it may end a field.
func (r *Request) Check() error {
	for _, v := range []string{r.Class, r.ID, r.Key, r.Token} {
		if strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c == 127 }) {
			return errors.New("wire: a field holds a space or a control character")
		}
	}
	if r.Class == "" || strings.ContainsAny(r.Class, "/?#%") {
		return errors.New("wire: the class is no single part of a path")
	}
	if len(r.Body) > MaxBody {
		return errors.New("wire: the body is too long")
	}
	return nil
}

// AppendHTTP appends a request as HTTP/1.1.
func AppendHTTP(b []byte, r *Request, host string) []byte {
	b = append(append(append(b, "POST /rpc/"...), r.Class...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\n"...)
	r.fields(func(name, value string) {
		b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
	})
	b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(r.Body)), 10), "\r\n\r\n"...)
	return append(b, r.Body...)
}

// AppendUWSGI appends a request as a packet of uwsgi (modifiers 0) and its body.
func AppendUWSGI(b []byte, r *Request) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0)
	add := func(k, v string) {
		b = append(binary.LittleEndian.AppendUint16(b, uint16(len(k))), k...)
		b = append(binary.LittleEndian.AppendUint16(b, uint16(len(v))), v...)
	}
	add("REQUEST_METHOD", "POST")
	add("PATH_INFO", "/rpc/"+r.Class)
	add("CONTENT_LENGTH", strconv.Itoa(len(r.Body)))
	r.fields(func(name, value string) {
		add("HTTP_"+strings.ReplaceAll(strings.ToUpper(name), "-", "_"), value)
	})
	n := len(b) - start - 4
	if n > math.MaxUint16 {
		return nil, errors.New("wire: the fields are too long for uwsgi")
	}
	binary.LittleEndian.PutUint16(b[start+1:], uint16(n))
	return append(b, r.Body...), nil
}

// Limits of an answer.
const (
	MaxHead = 16 << 10
	MaxBody = 1 << 20
)

// Response is what a node answered.
type Response struct {
	Status     int
	Credit     float64 // the credit; below 0: it told none
	RetryAfter float64 // milliseconds of advice; 0: none
	NoRetry    bool    // it asks not to be passed over
	Close      bool    // the connection carries nothing more
	Kept       string  // of a result that was kept
	Body       []byte
}

// ParseError is why bytes are no answer; its text is a reason code.
type ParseError string

func (f ParseError) Error() string { return "wire: " + string(f) }

// The faults.
const (
	ErrBadStatus   ParseError = "bad-status"
	ErrBadField    ParseError = "bad-field"
	ErrBadLength   ParseError = "bad-length"
	ErrHeadTooLong ParseError = "long-head"
	ErrBodyTooLong ParseError = "long-body"
	ErrTruncated   ParseError = "cut" // the connection ended within an answer
	ErrUnsolicited ParseError = "unasked"
	noProgress                = -1
)

// Parser takes the bytes of one connection's answers.
type Parser struct {
	buf  []byte
	head bool // the head was read
	a    Response
	need int // bytes of the body; noProgress: until the end of the connection
	bad  error
}

// Feed takes bytes and returns the answer that they complete, or nil. What follows an answer is kept for the next.
func (p *Parser) Feed(b []byte) (*Response, error) {
	if p.bad != nil {
		return nil, p.bad
	}
	p.buf = append(p.buf, b...)
	a, err := p.next()
	p.bad = err
	return a, err
}

// Idle tells whether nothing of an answer has come.
func (p *Parser) Idle() bool { return !p.head && len(p.buf) == 0 }

// End takes the end of the connection, which may complete an answer.
func (p *Parser) End() (*Response, error) {
	switch {
	case p.bad != nil:
		return nil, p.bad
	case p.head && p.need == noProgress:
		a := p.a
		a.Body, a.Close = p.buf, true
		*p = Parser{}
		return &a, nil
	}
	p.bad = ErrTruncated
	return nil, p.bad
}

func (p *Parser) next() (*Response, error) {
	for !p.head {
		end := bytes.Index(p.buf, []byte("\r\n\r\n"))
		if end < 0 && len(p.buf) > MaxHead || end > MaxHead {
			return nil, ErrHeadTooLong
		}
		if end < 0 {
			return nil, nil
		}
		if err := p.parseHead(string(p.buf[:end])); err != nil {
			return nil, err
		}
		p.buf = p.buf[end+4:]
		p.head = p.a.Status >= 200 // an interim answer is passed over (RFC 9110, section 15.2)
	}
	if p.need == noProgress {
		if len(p.buf) > MaxBody {
			return nil, ErrBodyTooLong
		}
		return nil, nil
	}
	if len(p.buf) < p.need {
		return nil, nil
	}
	a := p.a
	a.Body = append([]byte(nil), p.buf[:p.need]...)
	*p = Parser{buf: append([]byte(nil), p.buf[p.need:]...)}
	return &a, nil
}

// parseHead reads the status line and the fields.
func (p *Parser) parseHead(head string) error {
	line, rest, _ := strings.Cut(head, "\r\n")
	if len(line) < 12 || !strings.HasPrefix(line, "HTTP/1.") || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return ErrBadStatus
	}
	status, err := strconv.Atoi(line[9:12])
	if err != nil || status < 100 || status > 599 {
		return ErrBadStatus
	}
	p.a = Response{Status: status, Credit: -1, Close: line[7] == '0'}
	p.need = noProgress
	if status == 204 || status == 304 {
		p.need = 0
	}
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return ErrBadField
		}
		if err := p.field(name, strings.Trim(value, " \t")); err != nil {
			return err
		}
	}
	return nil
}

func (p *Parser) field(name, value string) error {
	number := func(to *float64) {
		// What can't be read, or is absurd, is as if it were not said: an answer is not lost for it.
		if f, err := strconv.ParseFloat(value, 64); err == nil && f >= 0 && !math.IsInf(f, 0) {
			*to = f
		}
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || p.need >= 0 && uint64(p.need) != n && p.a.Status != 204 && p.a.Status != 304 {
			return ErrBadLength // two that differ, or no number (RFC 9112, section 6.3)
		}
		if n > MaxBody {
			return ErrBodyTooLong
		}
		if p.a.Status != 204 && p.a.Status != 304 {
			p.need = int(n)
		}
	case strings.EqualFold(name, "Transfer-Encoding"):
		return ErrBadLength // nodes send none
	case strings.EqualFold(name, "Connection"):
		p.a.Close = p.a.Close || strings.EqualFold(value, "close")
	case strings.EqualFold(name, "Srv-Load"):
		number(&p.a.Credit)
	case strings.EqualFold(name, "Srv-Wait-Ms"):
		number(&p.a.RetryAfter)
	case strings.EqualFold(name, "Srv-Last"):
		p.a.NoRetry = value == "1"
	case strings.EqualFold(name, "Srv-Kept"):
		p.a.Kept = value
	}
	return nil
}

// NewResponse returns the answer of a protocol whose fields were read elsewhere.
func NewResponse(status int, field func(name string) string, closes bool, body []byte) *Response {
	p := Parser{a: Response{Status: status, Credit: -1, Close: closes, Body: body}}
	for _, name := range []string{"Srv-Load", "Srv-Wait-Ms", "Srv-Last", "Srv-Kept"} {
		if v := field(name); v != "" {
			p.field(name, v)
		}
	}
	return &p.a
}
