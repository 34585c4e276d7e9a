// Package front holds what the fronts have in common: the fields of a request, their check, and the form of an
// answer. A front is a parser that is fed bytes and knows no socket.
package front

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync/atomic"

	"whinrudder"
	"whinrudder/internal/core"
)

// MaxBodyBytes is the largest body of a request.
const MaxBodyBytes = 2 << 10

// Fault is a request that is turned away unread: the module hears nothing of it. Code is the reason that the
// log gives for the end of the connection.
type Fault struct {
	Status int
	Code   string
}

// Message is what a peer said: a request, a health check or a fault.
type Message struct {
	Request   *core.Request // nil for a check
	DeepCheck bool          // a check that wants to know whether work gets done
	Close     bool          // the peer sends nothing more on the connection
	Fault     *Fault
}

// A Parser takes the bytes of a connection with one message at a time. Next returns the next whole message, or false if more bytes are
// needed; after a fault it must not be called again.
type Parser interface {
	Feed(p []byte)
	Next() (Message, bool)
	Buffered() int // bytes taken that belong to no message yet
}

// FaultMessage returns a message that is a fault.
func FaultMessage(status int, code string) Message { return Message{Fault: &Fault{status, code}} }

// ValidatorConfig is what a front must know to check a request.
type ValidatorConfig struct {
	ClassIndex  map[string]int // places of the classes by their names
	Policy      whinrudder.Settings
	KeptClasses map[int]string // classes whose requests may have a token; those of others are passed over
}

// Validator checks requests for all connections by the present configuration, which changes when new settings come.
type Validator struct {
	terms atomic.Pointer[ValidatorConfig]
}

// NewValidator returns a validator for classes named in the order of the settings.
func NewValidator(names []string, s whinrudder.Settings) *Validator {
	t := ValidatorConfig{ClassIndex: map[string]int{}, Policy: s}
	for i, n := range names {
		t.ClassIndex[n] = i
	}
	site := &Validator{}
	site.SetConfig(t)
	return site
}

// Config returns the present configuration. The caller must not change it.
func (s *Validator) Config() *ValidatorConfig { return s.terms.Load() }

// SetConfig replaces the configuration for all later checks.
func (s *Validator) SetConfig(terms ValidatorConfig) { s.terms.Store(&terms) }

// Fields are the values of a request by their names on the platform's protocol, as they came.
type Fields struct{ ID, Time, From, Wait, KB, Rank, Key, Token string }

// Field returns the place for a field, or nil for one of no meaning. Case does not matter.
func (f *Fields) Field(name string) *string {
	switch {
	case strings.EqualFold(name, "Req-Id"):
		return &f.ID
	case strings.EqualFold(name, "Req-Time"):
		return &f.Time
	case strings.EqualFold(name, "Req-From"):
		return &f.From
	case strings.EqualFold(name, "Req-Wait-Ms"):
		return &f.Wait
	case strings.EqualFold(name, "Req-Kb"):
		return &f.KB
	case strings.EqualFold(name, "Req-Rank"):
		return &f.Rank
	case strings.EqualFold(name, "Req-Key"):
		return &f.Key
	case strings.EqualFold(name, "Req-Token"):
		return &f.Token
	}
	return nil
}

// Set takes a field that came. Known tells whether it has a meaning, twice that it came before. A token that came twice is
// no token: what that means hangs on whether the class has one.
func (f *Fields) Set(name, value string) (known, twice bool) {
	to := f.Field(name)
	switch {
	case to == nil:
		return false, false
	case *to == "":
		*to = value
	case to == &f.Token:
		*to = "\x00"
	default:
		return true, true
	}
	return true, false
}

const (
	maxKey = 256
	// MaxTokenBytes bounds the name of an operation, which lasts.
	MaxTokenBytes = 64
	maxWait       = 3600e3 // milliseconds: timers are kept for as long as a caller says that it waits
)

// BuildMessage checks the fields and returns a message with the request or with the fault.
func (s *Validator) BuildMessage(class string, f Fields, body []byte) Message {
	t := s.Config()
	n, ok := t.ClassIndex[class]
	if !ok {
		return FaultMessage(404, "bad-class")
	}
	if len(f.ID) != 16 || strings.Trim(f.ID, "0123456789abcdefABCDEF") != "" {
		return FaultMessage(400, "bad-id")
	}
	from, err := strconv.ParseUint(f.From, 10, 31)
	if err != nil {
		return FaultMessage(400, "bad-from")
	}
	r := &core.Request{ID: f.ID, Class: n, Caller: int(from), Key: f.Key, Body: body}
	wait := 0.0
	for _, v := range []struct {
		text, code string
		to         *float64
		ok         func(float64) bool
	}{
		{f.Time, "bad-time", &r.ArrivedAt, func(v float64) bool { return v > 0 && v < 1e15 }},
		{f.KB, "bad-kb", &r.KB, func(v float64) bool { return v > 0 && v < 2000 }},
		{f.Rank, "bad-rank", &r.Rank, func(v float64) bool { return v >= 0 && v < 1 }},
		{f.Wait, "bad-wait", &wait, func(v float64) bool { return v > 0 && v <= maxWait }},
	} {
		if v.text == "" && v.to == &wait && !t.Policy.PassesDeadline {
			wait = t.Policy.Classes[n].Deadline
			continue
		}
		x, err := strconv.ParseFloat(v.text, 64)
		if err != nil || math.IsNaN(x) || !v.ok(x) {
			return FaultMessage(400, v.code)
		}
		*v.to = x
	}
	if len(f.Key) > maxKey {
		return FaultMessage(400, "bad-key")
	}
	if f.Token != "" && t.KeptClasses[n] != "" {
		if !ValidToken(f.Token) {
			return FaultMessage(400, "bad-token")
		}
		r.Token = f.Token
	}
	r.Due = r.ArrivedAt + wait
	return Message{Request: r}
}

// ValidToken tells whether a text can name an operation: up to MaxTokenBytes visible characters of ASCII.
func ValidToken(s string) bool {
	return s != "" && len(s) <= MaxTokenBytes && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large", 422: "Unprocessable Content", 417: "Expectation Failed",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// AnswerStatus returns the status that tells the outcome of an answer.
func AnswerStatus(a core.Answer) int {
	if a.ID == "" && a.Outcome != core.Served {
		return 503 // a check that is bad
	}
	switch a.Outcome {
	case core.Served:
		return 200
	case core.Refused:
		return 503
	case core.Duplicate:
		return 409
	case core.BodyMismatch:
		return 422
	}
	return 500
}

// appendAnswer appends an answer in the form of HTTP/1.1, which uwsgi shares. Last says that the connection
// ends after it.
func appendAnswer(b []byte, a core.Answer, last bool) []byte {
	b = appendHead(b, AnswerStatus(a))
	if a.Credit >= 0 {
		b = append(b, "Srv-Load: "...)
		b = AppendLoad(b, a)
		b = append(b, "\r\n"...)
	}
	if a.Outcome == core.Refused && a.RetryAfter > 0 {
		b = append(b, "Srv-Wait-Ms: "...)
		b = AppendWait(b, a)
		b = append(b, "\r\n"...)
	}
	if a.Outcome == core.Refused && a.NotElsewhere {
		b = append(b, "Srv-Last: 1\r\n"...)
	}
	if a.Kept != "" {
		b = append(b, "Srv-Kept: "...)
		b = append(b, a.Kept...)
		b = append(b, "\r\n"...)
	}
	return appendEnd(b, a.Result, last)
}

// AppendLoad appends the value of Srv-Load.
func AppendLoad(b []byte, a core.Answer) []byte {
	return strconv.AppendFloat(b, math.Round(a.Credit*1e4)/1e4, 'f', -1, 64)
}

// AppendWait appends the value of Srv-Wait-Ms.
func AppendWait(b []byte, a core.Answer) []byte {
	return strconv.AppendInt(b, int64(math.Ceil(a.RetryAfter)), 10)
}

// appendFault appends the answer to what could not be read. The connection ends after it.
func appendFault(b []byte, f *Fault) []byte { return appendEnd(appendHead(b, f.Status), nil, true) }

func appendHead(b []byte, status int) []byte {
	return fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", status, reasons[status])
}

func appendEnd(b, body []byte, last bool) []byte {
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// Route tells a check from a request by method and path; the class is the last part of the path.
func Route(method, path, query string) (check Message, class string, f *Fault) {
	switch {
	case path == "/health" && method == "GET":
		for pair := range strings.SplitSeq(query, "&") {
			check.DeepCheck = check.DeepCheck || pair == "real=1"
		}
		return check, "", nil
	case path == "/health", strings.HasPrefix(path, "/rpc/") && method != "POST":
		return check, "", &Fault{405, "bad-method"}
	case strings.HasPrefix(path, "/rpc/") && !strings.HasSuffix(path, "/"):
		return check, path[strings.LastIndexByte(path, '/')+1:], nil
	}
	return check, "", &Fault{404, "bad-path"}
}
