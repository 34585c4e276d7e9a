// Package front holds what the protocol fronts share: the fields of a request and their validation, the format of an
// answer, and the state machine of a connection that carries one message at a time. A front parses bytes that are
// fed to it and does no I/O of its own.
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

// Size limits of a request. The head is the request line and the header fields together, or their counterparts.
const (
	MaxHeadBytes = 8 << 10
	MaxBodyBytes = 2 << 10
)

// Fault describes a malformed or unsupported request. The front rejects it and does not pass it to the core.
type Fault struct {
	Status int    // HTTP status of the answer
	Code   string // reason in the log line for the end of the connection
}

// Message is one message from a peer: a request, a health check or a fault.
type Message struct {
	Request   *core.Request // nil for a health check or a fault
	DeepCheck bool          // the health check asks whether the worker pool completes work
	Close     bool          // the connection carries no further message
	Fault     *Fault        // nil if the message is valid
}

// A Parser parses the bytes of a connection that carries one message at a time. Next returns the next whole message,
// or false if more bytes are needed; it must not be called again after a fault.
type Parser interface {
	Feed(p []byte)
	Next() (Message, bool)
	Buffered() int // number of bytes fed but not yet parsed
}

// FaultMessage returns a message that carries a fault.
func FaultMessage(status int, code string) Message { return Message{Fault: &Fault{status, code}} }

// ValidatorConfig holds the settings that requests are validated against.
type ValidatorConfig struct {
	ClassIndex  map[string]int // index of each class in Policy.Classes, by class name
	Policy      whinrudder.Settings
	KeptClasses map[int]string // names of the classes that keep results, by class index; other classes ignore tokens
}

// Validator validates the requests of all connections against the current configuration, which a reload of the
// settings replaces.
type Validator struct {
	config atomic.Pointer[ValidatorConfig]
}

// NewValidator returns a validator; names holds the class names in the order of s.Classes.
func NewValidator(names []string, s whinrudder.Settings) *Validator {
	config := ValidatorConfig{ClassIndex: map[string]int{}, Policy: s}
	for i, name := range names {
		config.ClassIndex[name] = i
	}
	v := &Validator{}
	v.SetConfig(config)
	return v
}

// Config returns the current configuration. The caller must not modify it.
func (v *Validator) Config() *ValidatorConfig { return v.config.Load() }

// SetConfig replaces the configuration for all later validations.
func (v *Validator) SetConfig(config ValidatorConfig) { v.config.Store(&config) }

// Fields holds the unparsed values of the Req-* fields of a request.
type Fields struct{ ID, Time, From, Wait, KB, Rank, Key, Token string }

// Field returns a pointer to the value of the named field, or nil if the name is not a request field. The name is
// matched without regard to case.
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

// Set stores the value of a field. known reports whether the name is a request field, duplicate whether the field was
// already set. A duplicate token is replaced by an invalid value instead of being reported: only classes with tokens
// reject it, and the class is not known yet.
func (f *Fields) Set(name, value string) (known, duplicate bool) {
	field := f.Field(name)
	switch {
	case field == nil:
		return false, false
	case *field == "":
		*field = value
	case field == &f.Token:
		*field = "\x00"
	default:
		return true, true
	}
	return true, false
}

const (
	maxKeyBytes = 256
	// MaxTokenBytes is the length limit of a token, which is stored with its operation.
	MaxTokenBytes = 64
	maxWaitMs     = 3600e3 // bounds the timers, which run for as long as the caller says it waits
)

// BuildMessage validates the fields of a request and returns a message with either the request or a fault.
func (v *Validator) BuildMessage(class string, f Fields, body []byte) Message {
	config := v.Config()
	classIndex, ok := config.ClassIndex[class]
	if !ok {
		return FaultMessage(404, "bad-class")
	}
	if len(f.ID) != 16 || strings.Trim(f.ID, "0123456789abcdefABCDEF") != "" {
		return FaultMessage(400, "bad-id")
	}
	caller, err := strconv.ParseUint(f.From, 10, 31)
	if err != nil {
		return FaultMessage(400, "bad-from")
	}
	// The fields are parts of larger buffers, which must not be kept for as long as the request.
	r := &core.Request{ID: strings.Clone(f.ID), Class: classIndex, Caller: int(caller), Body: body}
	wait := 0.0
	for _, field := range []struct {
		text, code string
		dest       *float64
		valid      func(float64) bool
	}{
		{f.Time, "bad-time", &r.ArrivedAt, func(x float64) bool { return x > 0 && x < 1e15 }},
		{f.KB, "bad-kb", &r.KB, func(x float64) bool { return x > 0 && x < 2000 }},
		{f.Rank, "bad-rank", &r.Rank, func(x float64) bool { return x >= 0 && x < 1 }},
		{f.Wait, "bad-wait", &wait, func(x float64) bool { return x > 0 && x <= maxWaitMs }},
	} {
		if field.text == "" && field.dest == &wait && !config.Policy.PassesDeadline {
			wait = config.Policy.Classes[classIndex].Deadline
			continue
		}
		x, err := strconv.ParseFloat(field.text, 64)
		if err != nil || math.IsNaN(x) || !field.valid(x) {
			return FaultMessage(400, field.code)
		}
		*field.dest = x
	}
	if len(f.Key) > maxKeyBytes {
		return FaultMessage(400, "bad-key")
	}
	r.Key = strings.Clone(f.Key)
	if f.Token != "" && config.KeptClasses[classIndex] != "" {
		if !ValidToken(f.Token) {
			return FaultMessage(400, "bad-token")
		}
		r.Token = strings.Clone(f.Token)
	}
	r.Due = r.ArrivedAt + wait
	return Message{Request: r}
}

// ValidToken reports whether s is a token: 1 to MaxTokenBytes visible ASCII characters.
func ValidToken(s string) bool {
	return s != "" && len(s) <= MaxTokenBytes && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}

// reasonPhrases maps status codes to the reason phrases of HTTP/1.1.
var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large", 422: "Unprocessable Content",
	417: "Expectation Failed", 431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// AnswerStatus returns the HTTP status for the outcome of an answer.
func AnswerStatus(a core.Answer) int {
	if a.ID == "" && a.Outcome != core.Served {
		return 503 // failed health check
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

// appendAnswer appends an answer in the format of HTTP/1.1, which uwsgi shares. last means that the connection closes
// after it.
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

// AppendLoad appends the value of Srv-Load: the credit, rounded to four decimals.
func AppendLoad(b []byte, a core.Answer) []byte {
	return strconv.AppendFloat(b, math.Round(a.Credit*1e4)/1e4, 'f', -1, 64)
}

// AppendWait appends the value of Srv-Wait-Ms, in whole milliseconds, rounded up.
func AppendWait(b []byte, a core.Answer) []byte {
	return strconv.AppendInt(b, int64(math.Ceil(a.RetryAfter)), 10)
}

// appendFault appends the answer to a malformed message. The connection closes after it.
func appendFault(b []byte, f *Fault) []byte { return appendEnd(appendHead(b, f.Status), nil, true) }

func appendHead(b []byte, status int) []byte {
	return fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", status, reasonPhrases[status])
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

// Route maps method, path and query to a health check, a request of a class or a fault. For a request, class is the
// last segment of the path; it is empty otherwise.
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
