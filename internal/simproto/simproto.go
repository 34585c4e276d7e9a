// Package simproto implements the simulator's text protocol. It decodes batches of events and encodes replies with
// actions, and validates its input. It makes no decisions of its own.
package simproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"whinrudder"
	"whinrudder/internal/settings"
)

// Item is one message of a batch for one instance. Exactly one of Start, Stopped and Event is set.
type Item struct {
	Instance int              // number of the instance
	Start    *Start           // the instance starts
	Stopped  bool             // the instance has stopped
	Event    whinrudder.Event // an event for the policy of the instance
}

// Start holds the seed and the settings of an instance that starts.
type Start struct {
	Seed     uint64
	Settings whinrudder.Settings
}

// Batch holds all messages of one point in simulated time.
type Batch struct {
	Now   float64 // milliseconds
	Items []Item
}

// Decoder decodes batches from an input stream.
type Decoder struct {
	r    *bufio.Reader
	line int // number of the line read last
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: bufio.NewReaderSize(r, 1<<16)} }

// nextLine returns the next line without its newline, or io.EOF at the end of the input.
func (d *Decoder) nextLine() (string, error) {
	s, err := d.r.ReadString('\n')
	if err != nil {
		if errors.Is(err, io.EOF) && s != "" {
			return "", fmt.Errorf("line %d: input ends within a line", d.line+1)
		}
		return "", err
	}
	d.line++
	return strings.TrimSuffix(s, "\n"), nil
}

// Decode reads the next batch into b. It returns io.EOF if the input ends between two batches, and an error with the
// line number if the input is malformed.
func (d *Decoder) Decode(b *Batch) error {
	b.Items = b.Items[:0]
	s, err := d.nextLine()
	if err != nil {
		return err
	}
	rest, ok := strings.CutPrefix(s, "TICK ")
	if !ok {
		return fmt.Errorf("line %d: want TICK, got %q", d.line, truncate(s))
	}
	if b.Now, err = number(rest); err != nil {
		return fmt.Errorf("line %d: TICK: %w", d.line, err)
	}
	instance := -1
	for {
		if s, err = d.nextLine(); err != nil {
			if errors.Is(err, io.EOF) {
				return fmt.Errorf("line %d: input ends within a batch", d.line)
			}
			return err
		}
		if s == "EOF_BATCH" {
			return nil
		}
		word, rest, _ := strings.Cut(s, " ")
		if word == "AT" {
			if instance, err = strconv.Atoi(rest); err != nil || instance < 0 {
				return fmt.Errorf("line %d: AT: bad instance %q", d.line, truncate(rest))
			}
			continue
		}
		if instance < 0 {
			return fmt.Errorf("line %d: %s before any AT", d.line, truncate(word))
		}
		it := Item{Instance: instance}
		if err := it.parse(word, rest); err != nil {
			return fmt.Errorf("line %d: %s: %w", d.line, truncate(word), err)
		}
		b.Items = append(b.Items, it)
	}
}

// truncate shortens a text for an error message.
func truncate(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

// number parses a finite number.
func number(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, fmt.Errorf("bad number %q", truncate(s))
	}
	return v, nil
}

// fields parses the space-separated values of a line in order. It keeps the first error, so that callers check for
// errors once, by calling end. The value "-" stands for a missing value.
type fields struct {
	rest      string
	exhausted bool // no value is left
	err       error
}

// next returns the next value.
func (f *fields) next() string {
	if f.exhausted {
		if f.err == nil {
			f.err = errors.New("too few values")
		}
		return "-"
	}
	s, rest, more := strings.Cut(f.rest, " ")
	f.rest, f.exhausted = rest, !more
	return s
}

// float parses the next value as a number; a missing one is 0.
func (f *fields) float() float64 {
	s := f.next()
	if s == "-" {
		return 0
	}
	v, err := number(s)
	if err != nil && f.err == nil {
		f.err = err
	}
	return v
}

// count parses the next value as a non-negative integer; a missing one is 0.
func (f *fields) count() int {
	s := f.next()
	if s == "-" {
		return 0
	}
	v, err := strconv.Atoi(s)
	if (err != nil || v < 0) && f.err == nil {
		f.err = fmt.Errorf("bad count %q, want a non-negative integer", truncate(s))
	}
	return v
}

// id parses the next value as a request id.
func (f *fields) id() whinrudder.RequestID {
	s := f.next()
	if !isID(s) && f.err == nil {
		f.err = fmt.Errorf("bad request id %q", truncate(s))
	}
	return whinrudder.RequestID(s)
}

// isID reports whether s consists of 16 hexadecimal digits.
func isID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// code parses the next value as the outcome of a run or call.
func (f *fields) code() whinrudder.Code {
	s := f.next()
	c, ok := codes[s]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("unknown outcome %q", truncate(s))
	}
	return c
}

// end returns the first error, or an error if values are left.
func (f *fields) end() error {
	if f.err == nil && !f.exhausted {
		return fmt.Errorf("too many values: %q", truncate(f.rest))
	}
	return f.err
}

// codes maps the outcomes of the protocol.
var codes = map[string]whinrudder.Code{
	"GOOD": whinrudder.OK, "BAD": whinrudder.Error, "FULL": whinrudder.Rejected, "LATE": whinrudder.Timeout,
	"NOCONN": whinrudder.ConnectFailed, "RST": whinrudder.Reset, "CXL": whinrudder.Cancelled,
	"NOP": whinrudder.Moot,
}

// parse parses the values of a message; word is its kind.
func (it *Item) parse(word, rest string) error {
	f := fields{rest: rest, exhausted: rest == ""}
	switch word {
	case "PROVISION":
		seed, err := strconv.ParseUint(f.next(), 10, 64)
		if err != nil {
			return errors.New("bad salt")
		}
		s, err := settings.Parse([]byte(f.rest))
		if err != nil {
			return err
		}
		it.Start = &Start{Seed: seed, Settings: s.Policy}
		return nil
	case "STOP":
		it.Stopped = true
	case "ACCEPT":
		a := whinrudder.Arrival{ID: f.id(), Due: f.float(), Caller: f.count(), ReadDelay: f.float()}
		bits := f.count()
		a.WorkKnown, a.Retry, a.Write = bits&1 != 0, bits&2 != 0, bits&4 != 0
		if s := f.next(); s != "-" && s != "0" {
			if !isID(s) {
				return fmt.Errorf("bad request id %q", truncate(s))
			}
			a.RepeatOf = whinrudder.RequestID(s)
		}
		if a.Key = f.next(); a.Key == "-" {
			a.Key = ""
		}
		a.MemoryKB, a.Work, a.Rank, a.Tenant, a.Class = f.float(), f.float(), f.float(), f.count(), f.count()
		it.Event = a
	case "RESULT":
		it.Event = whinrudder.Ended{ID: f.id(), Code: f.code(), Latency: f.float()}
	case "WITHDRAWN":
		it.Event = whinrudder.Gone{ID: f.id()}
	case "AT_CALL":
		it.Event = whinrudder.AtCall{ID: f.id()}
	case "CAME_BACK":
		it.Event = whinrudder.Called{ID: f.id(), Code: f.code(), Latency: f.float()}
	case "NOTICE":
		it.Event = whinrudder.Notice{StopAt: f.float()}
	case "TIMEOUT_FIRED":
		token, err := strconv.ParseUint(f.next(), 10, 64)
		if err != nil {
			return errors.New("bad token")
		}
		t := whinrudder.Timer{Token: token, Gauges: whinrudder.Gauges{CPU: -1}}
		if s := f.next(); s != "-" && s != "" {
			for pair := range strings.SplitSeq(s, ",") {
				name, text, ok := strings.Cut(pair, ":")
				if !ok {
					return fmt.Errorf("bad gauge %q", truncate(pair))
				}
				v, err := number(text)
				if err != nil {
					return err
				}
				switch name {
				case "cpu_busy":
					t.Gauges.CPU = v
				case "runnable":
					t.Gauges.Runnable = v
				case "mem_used":
					t.Gauges.Memory = v
				case "sockets":
					t.Gauges.Conns = v
				}
			}
		}
		it.Event = t
	default:
		return errors.New("unknown message")
	}
	return f.end()
}

// Reply collects the lines of the reply to one batch.
type Reply struct{ buf []byte }

// AppendActions appends the actions of one instance.
func (r *Reply) AppendActions(instance int, actions []whinrudder.Action) {
	if len(actions) == 0 {
		return
	}
	r.appendFrom(instance)
	for _, a := range actions {
		switch a := a.(type) {
		case whinrudder.Run:
			r.appendID("LAUNCH ", a.ID)
		case whinrudder.Stop:
			r.appendID("ABORT_WORK ", a.ID)
		case whinrudder.Refuse:
			r.appendID("REFUSE ", a.ID)
			r.appendNumber(a.RetryAfter)
			r.appendBool(a.NoRetryElsewhere)
		case whinrudder.Fail:
			r.appendID("END_FAILED ", a.ID)
		case whinrudder.Call:
			r.appendID("DIAL ", a.ID)
			r.appendNumber(a.Timeout)
		case whinrudder.Skip:
			r.appendID("BYPASS ", a.ID)
		case whinrudder.Keep:
			r.appendID("MEMO ", a.ID)
			r.appendNumber(a.TTL)
		case whinrudder.Forget:
			r.appendID("DROP_KEY ", a.ID)
		case whinrudder.Reuse:
			r.appendID("SHARE ", a.ID)
		case whinrudder.Health:
			r.buf = append(r.buf, "STATUS"...)
			r.appendBool(a.Cached)
			r.appendBool(a.Healthy)
		case whinrudder.Advertise:
			r.buf = append(r.buf, "ADVERTISE"...)
			r.appendNumber(a.Credit)
		case whinrudder.CloseIdle:
			r.buf = append(r.buf, "TRIM_AFTER"...)
			r.appendNumber(a.After)
		case whinrudder.Wake:
			r.buf = append(r.buf, "SLEEP"...)
			r.appendNumber(a.At)
			r.buf = append(r.buf, ' ')
			r.buf = strconv.AppendUint(r.buf, a.Token, 10)
		case whinrudder.Log:
			r.buf = append(r.buf, "RECORD "...)
			r.buf = append(r.buf, oneLine(a.Text)...)
		default:
			panic(fmt.Sprintf("simproto: unknown action %T", a))
		}
		r.buf = append(r.buf, '\n')
	}
}

// AppendCrash appends a line that reports a panic of the policy of an instance.
func (r *Reply) AppendCrash(instance int, reason string) {
	r.appendFrom(instance)
	r.buf = append(r.buf, "CRASH "...)
	r.buf = append(r.buf, oneLine(reason)...)
	r.buf = append(r.buf, '\n')
}

// WriteTo appends the end marker, writes the reply to w and resets it.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	r.buf = append(r.buf, "END\n"...)
	n, err := w.Write(r.buf)
	r.buf = r.buf[:0]
	return int64(n), err
}

// appendFrom appends the line that starts the actions of an instance.
func (r *Reply) appendFrom(instance int) {
	r.buf = append(r.buf, "FROM "...)
	r.buf = strconv.AppendInt(r.buf, int64(instance), 10)
	r.buf = append(r.buf, '\n')
}

// appendID appends a word, which includes its trailing space, and a request id.
func (r *Reply) appendID(word string, id whinrudder.RequestID) {
	r.buf = append(r.buf, word...)
	r.buf = append(r.buf, id...)
}

// appendNumber appends a space and a number with at most three decimals.
func (r *Reply) appendNumber(v float64) {
	r.buf = append(r.buf, ' ')
	r.buf = strconv.AppendFloat(r.buf, math.Round(v*1000)/1000, 'f', -1, 64)
}

// appendBool appends " 1" or " 0".
func (r *Reply) appendBool(b bool) {
	if b {
		r.buf = append(r.buf, " 1"...)
	} else {
		r.buf = append(r.buf, " 0"...)
	}
}

// oneLine replaces every run of white space, including line breaks, by a single space.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
