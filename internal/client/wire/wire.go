// Package wire implements the client side of HTTP/1.1 and uwsgi: it encodes requests to bytes and parses the answers
// of nodes from bytes that the caller has read. It does no I/O. An answer over uwsgi has the format of HTTP/1.1
// (uwsgi protocol; RFC 9112).
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"strconv"
	"strings"
)

// Request is one try as it is sent to a node.
type Request struct {
	Class   string
	ID      string  // 16 hexadecimal digits
	Caller  int     // number of the client
	Sent    float64 // time of sending, in milliseconds since the Unix epoch
	Wait    float64 // milliseconds that the client waits for the answer, counted from Sent
	KB      float64 // memory that the request needs, in KB
	Rank    float64 // 0 to 1
	Key     string  // value of Req-Key; empty: not sent
	Token   string  // idempotency token of the operation; empty: not sent
	Retry   bool    // the try is a retry or a hedge
	Body    []byte
	Subject string // not sent
}

// fields calls add for each header field of the request in order.
func (r *Request) fields(add func(name, value string)) {
	add("Req-Id", r.ID)
	add("Req-Time", strconv.FormatFloat(r.Sent, 'f', 3, 64))
	add("Req-From", strconv.Itoa(r.Caller))
	add("Req-Wait-Ms", strconv.FormatFloat(r.Wait, 'f', 3, 64))
	add("Req-Kb", strconv.FormatFloat(r.KB, 'f', 1, 64))
	add("Req-Rank", strconv.FormatFloat(r.Rank, 'f', 4, 64))
	if r.Key != "" {
		add("Req-Key", r.Key)
	}
	if r.Token != "" {
		add("Req-Token", r.Token)
	}
	if r.Retry {
		add("Req-Retry", "1")
	}
}

// Fields returns the header fields of the request as pairs of name and value.
func (r *Request) Fields() (out [][2]string) {
	r.fields(func(name, value string) { out = append(out, [2]string{name, value}) })
	return out
}

// Check reports why a request cannot be encoded: a value could end its field, the class is not a path segment, or the
// body is too long.
func (r *Request) Check() error {
	for _, v := range []string{r.Class, r.ID, r.Key, r.Token} {
		if strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c == 127 }) {
			return errors.New("wire: a field contains a space or a control character")
		}
	}
	if r.Class == "" || strings.ContainsAny(r.Class, "/?#%") {
		return errors.New("wire: class " + strconv.Quote(r.Class) + " is not a single path segment")
	}
	if len(r.Body) > MaxBody {
		return errors.New("wire: body of " + strconv.Itoa(len(r.Body)) + " bytes exceeds the limit of " +
			strconv.Itoa(MaxBody) + " bytes")
	}
	return nil
}

// AppendHTTP appends a request encoded as HTTP/1.1 to b.
func AppendHTTP(b []byte, r *Request, host string) []byte {
	b = append(append(append(b, "POST /rpc/"...), r.Class...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\n"...)
	r.fields(func(name, value string) {
		b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
	})
	b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(r.Body)), 10), "\r\n\r\n"...)
	return append(b, r.Body...)
}

// AppendUWSGI appends a request encoded as a uwsgi packet (modifiers 0) followed by the body to b.
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
		return nil, errors.New("wire: fields of " + strconv.Itoa(n) + " bytes exceed the uwsgi limit of " +
			strconv.Itoa(math.MaxUint16) + " bytes")
	}
	binary.LittleEndian.PutUint16(b[start+1:], uint16(n))
	return append(b, r.Body...), nil
}

// Limits of an answer, in bytes. MaxBody also limits the body of a request.
const (
	MaxHead = 16 << 10
	MaxBody = 1 << 20
)

// Response is the answer of a node.
type Response struct {
	Status     int
	Credit     float64 // credit; below 0: none
	RetryAfter float64 // retry-after advice in milliseconds; 0: none
	NoRetry    bool    // the node asks not to retry on another node
	Close      bool    // the connection takes no further request
	Kept       string  // value of Srv-Kept; empty: none
	Body       []byte
}

// ParseError is a reason code that says why bytes are not a valid answer.
type ParseError string

func (e ParseError) Error() string { return "wire: " + string(e) }

// The parse errors.
const (
	ErrBadStatus   ParseError = "bad-status"
	ErrBadField    ParseError = "bad-field"
	ErrBadLength   ParseError = "bad-length"
	ErrHeadTooLong ParseError = "long-head"
	ErrBodyTooLong ParseError = "long-body"
	ErrTruncated   ParseError = "cut"     // the connection ended before the end of an answer
	ErrUnsolicited ParseError = "unasked" // bytes arrived without a request
	untilClose                = -1
)

// Parser parses the answers of one connection. The zero value is ready to use.
type Parser struct {
	buf       []byte // bytes that were not consumed yet
	headRead  bool   // the head of the current answer was parsed
	response  Response
	bodyBytes int // length of the body; untilClose: it ends with the connection
	err       error
}

// Feed appends bytes and returns the answer that they complete, or nil. Bytes after an answer are kept for the next
// call. After an error, every call returns the same error.
func (p *Parser) Feed(b []byte) (*Response, error) {
	if p.err != nil {
		return nil, p.err
	}
	p.buf = append(p.buf, b...)
	response, err := p.next()
	p.err = err
	return response, err
}

// Idle reports whether no byte of an answer is pending.
func (p *Parser) Idle() bool { return !p.headRead && len(p.buf) == 0 }

// End handles the end of the connection. It returns the answer that the end completes, or an error.
func (p *Parser) End() (*Response, error) {
	switch {
	case p.err != nil:
		return nil, p.err
	case p.headRead && p.bodyBytes == untilClose:
		response := p.response
		response.Body, response.Close = p.buf, true
		*p = Parser{}
		return &response, nil
	}
	p.err = ErrTruncated
	return nil, p.err
}

func (p *Parser) next() (*Response, error) {
	for !p.headRead {
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
		p.headRead = p.response.Status >= 200 // an interim answer is skipped (RFC 9110, section 15.2)
	}
	if p.bodyBytes == untilClose {
		if len(p.buf) > MaxBody {
			return nil, ErrBodyTooLong
		}
		return nil, nil
	}
	if len(p.buf) < p.bodyBytes {
		return nil, nil
	}
	response := p.response
	response.Body = append([]byte(nil), p.buf[:p.bodyBytes]...)
	*p = Parser{buf: append([]byte(nil), p.buf[p.bodyBytes:]...)}
	return &response, nil
}

// parseHead parses the status line and the header fields.
func (p *Parser) parseHead(head string) error {
	line, rest, _ := strings.Cut(head, "\r\n")
	if len(line) < 12 || !strings.HasPrefix(line, "HTTP/1.") || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return ErrBadStatus
	}
	status, err := strconv.Atoi(line[9:12])
	if err != nil || status < 100 || status > 599 {
		return ErrBadStatus
	}
	p.response = Response{Status: status, Credit: -1, Close: line[7] == '0'}
	p.bodyBytes = untilClose
	if status == 204 || status == 304 {
		p.bodyBytes = 0
	}
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return ErrBadField
		}
		if err := p.parseField(name, strings.Trim(value, " \t")); err != nil {
			return err
		}
	}
	return nil
}

func (p *Parser) parseField(name, value string) error {
	parseNumber := func(target *float64) {
		// An invalid or absurd value is ignored, since it is no reason to lose the answer.
		if f, err := strconv.ParseFloat(value, 64); err == nil && f >= 0 && !math.IsInf(f, 0) {
			*target = f
		}
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || p.bodyBytes >= 0 && uint64(p.bodyBytes) != n &&
			p.response.Status != 204 && p.response.Status != 304 {
			return ErrBadLength // not a number, or two different lengths (RFC 9112, section 6.3)
		}
		if n > MaxBody {
			return ErrBodyTooLong
		}
		if p.response.Status != 204 && p.response.Status != 304 {
			p.bodyBytes = int(n)
		}
	case strings.EqualFold(name, "Transfer-Encoding"):
		return ErrBadLength // nodes do not send it
	case strings.EqualFold(name, "Connection"):
		p.response.Close = p.response.Close || strings.EqualFold(value, "close")
	case strings.EqualFold(name, "Srv-Load"):
		parseNumber(&p.response.Credit)
	case strings.EqualFold(name, "Srv-Wait-Ms"):
		parseNumber(&p.response.RetryAfter)
	case strings.EqualFold(name, "Srv-Last"):
		p.response.NoRetry = value == "1"
	case strings.EqualFold(name, "Srv-Kept"):
		p.response.Kept = value
	}
	return nil
}

// NewResponse returns an answer of a protocol whose header fields are parsed elsewhere, such as HTTP/2.
func NewResponse(status int, field func(name string) string, closes bool, body []byte) *Response {
	p := Parser{response: Response{Status: status, Credit: -1, Close: closes, Body: body}}
	for _, name := range []string{"Srv-Load", "Srv-Wait-Ms", "Srv-Last", "Srv-Kept"} {
		if v := field(name); v != "" {
			p.parseField(name, v)
		}
	}
	return &p.response
}
