// Package simproto reads and writes the simulator's text protocol: batches of events in, replies of actions out.
// It translates and checks; it decides nothing.
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

// Item is one event of a batch with the instance it is for. Exactly one of Start, Stopped and Event is set.
type Item struct {
	Instance int
	Start    *Start
	Stopped  bool
	Event    whinrudder.Event
}

// Start opens the life of an instance.
type Start struct {
	Seed     uint64
	Settings whinrudder.Settings
}

// Batch is all that happened at one instant.
type Batch struct {
	Now   float64
	Items []Item
}

// Decoder reads batches.
type Decoder struct {
	r    *bufio.Reader
	line int
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: bufio.NewReaderSize(r, 1<<16)} }

func (d *Decoder) next() (string, error) {
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

// Decode reads the next batch. It returns io.EOF at the end of input between two batches, and an error that
// names the line for anything malformed.
func (d *Decoder) Decode(b *Batch) error {
	b.Items = b.Items[:0]
	s, err := d.next()
	if err != nil {
		return err
	}
	rest, ok := strings.CutPrefix(s, "TICK ")
	if !ok {
		return fmt.Errorf("line %d: want TICK, got %q", d.line, head(s))
	}
	if b.Now, err = number(rest); err != nil {
		return fmt.Errorf("line %d: TICK: %w", d.line, err)
	}
	at := -1
	for {
		if s, err = d.next(); err != nil {
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
			if at, err = strconv.Atoi(rest); err != nil || at < 0 {
				return fmt.Errorf("line %d: AT: bad instance %q", d.line, head(rest))
			}
			continue
		}
		if at < 0 {
			return fmt.Errorf("line %d: %s before any AT", d.line, head(word))
		}
		it := Item{Instance: at}
		if err := it.parse(word, rest); err != nil {
			return fmt.Errorf("line %d: %s: %w", d.line, head(word), err)
		}
		b.Items = append(b.Items, it)
	}
}

func head(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

func number(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, fmt.Errorf("bad number %q", head(s))
	}
	return v, nil
}

// fields hands out the parts of a line in order and remembers the first error.
type fields struct {
	rest string
	done bool
	err  error
}

func (f *fields) next() string {
	if f.done {
		if f.err == nil {
			f.err = errors.New("too few values")
		}
		return "-"
	}
	s, rest, more := strings.Cut(f.rest, " ")
	f.rest, f.done = rest, !more
	return s
}

func (f *fields) num() float64 {
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

func (f *fields) count() int {
	s := f.next()
	if s == "-" {
		return 0
	}
	v, err := strconv.Atoi(s)
	if (err != nil || v < 0) && f.err == nil {
		f.err = fmt.Errorf("bad whole number %q", head(s))
	}
	return v
}

func (f *fields) id() whinrudder.RequestID {
	s := f.next()
	if !isID(s) && f.err == nil {
		f.err = fmt.Errorf("bad request id %q", head(s))
	}
	return whinrudder.RequestID(s)
}

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

func (f *fields) code() whinrudder.Code {
	s := f.next()
	c, ok := codes[s]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("unknown outcome %q", head(s))
	}
	return c
}

func (f *fields) end() error {
	if f.err == nil && !f.done {
		return fmt.Errorf("values left over: %q", head(f.rest))
	}
	return f.err
}

var codes = map[string]whinrudder.Code{
	"GOOD": whinrudder.OK, "BAD": whinrudder.Error, "FULL": whinrudder.Rejected, "LATE": whinrudder.Timeout,
	"NOCONN": whinrudder.ConnectFailed, "RST": whinrudder.Reset, "CXL": whinrudder.Cancelled,
	"NOP": whinrudder.Moot,
}

func (it *Item) parse(word, rest string) error {
	f := fields{rest: rest, done: rest == ""}
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
		a := whinrudder.Arrival{ID: f.id(), Due: f.num(), Caller: f.count(), ReadDelay: f.num()}
		bits := f.count()
		a.WorkKnown, a.Retry, a.Write = bits&1 != 0, bits&2 != 0, bits&4 != 0
		if s := f.next(); s != "-" && s != "0" {
			if !isID(s) {
				return fmt.Errorf("bad request id %q", head(s))
			}
			a.RepeatOf = whinrudder.RequestID(s)
		}
		if a.Key = f.next(); a.Key == "-" {
			a.Key = ""
		}
		a.MemoryKB, a.Work, a.Rank, a.Tenant, a.Class = f.num(), f.num(), f.num(), f.count(), f.count()
		it.Event = a
	case "RESULT":
		it.Event = whinrudder.Ended{ID: f.id(), Code: f.code(), Latency: f.num()}
	case "WITHDRAWN":
		it.Event = whinrudder.Gone{ID: f.id()}
	case "AT_CALL":
		it.Event = whinrudder.AtCall{ID: f.id()}
	case "CAME_BACK":
		it.Event = whinrudder.Called{ID: f.id(), Code: f.code(), Latency: f.num()}
	case "NOTICE":
		it.Event = whinrudder.Notice{StopAt: f.num()}
	case "TIMEOUT_FIRED":
		tok, err := strconv.ParseUint(f.next(), 10, 64)
		if err != nil {
			return errors.New("bad token")
		}
		t := whinrudder.Timer{Token: tok, Gauges: whinrudder.Gauges{CPU: -1}}
		if s := f.next(); s != "-" && s != "" {
			for pair := range strings.SplitSeq(s, ",") {
				name, val, ok := strings.Cut(pair, ":")
				if !ok {
					return fmt.Errorf("bad gauge %q", head(pair))
				}
				v, err := number(val)
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

// Reply collects the lines of one answer.
type Reply struct{ buf []byte }

// AppendActions appends the actions of one instance.
func (r *Reply) AppendActions(instance int, actions []whinrudder.Action) {
	if len(actions) == 0 {
		return
	}
	r.open(instance)
	for _, a := range actions {
		switch a := a.(type) {
		case whinrudder.Run:
			r.id("LAUNCH ", a.ID)
		case whinrudder.Stop:
			r.id("ABORT_WORK ", a.ID)
		case whinrudder.Refuse:
			r.id("REFUSE ", a.ID)
			r.num(a.RetryAfter)
			r.bit(a.NoRetryElsewhere)
		case whinrudder.Fail:
			r.id("END_FAILED ", a.ID)
		case whinrudder.Call:
			r.id("DIAL ", a.ID)
			r.num(a.Timeout)
		case whinrudder.Skip:
			r.id("BYPASS ", a.ID)
		case whinrudder.Keep:
			r.id("MEMO ", a.ID)
			r.num(a.TTL)
		case whinrudder.Forget:
			r.id("DROP_KEY ", a.ID)
		case whinrudder.Reuse:
			r.id("SHARE ", a.ID)
		case whinrudder.Health:
			r.buf = append(r.buf, "STATUS"...)
			r.bit(a.Cached)
			r.bit(a.Healthy)
		case whinrudder.Advertise:
			r.buf = append(r.buf, "ADVERTISE"...)
			r.num(a.Credit)
		case whinrudder.CloseIdle:
			r.buf = append(r.buf, "TRIM_AFTER"...)
			r.num(a.After)
		case whinrudder.Wake:
			r.buf = append(r.buf, "SLEEP"...)
			r.num(a.At)
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

// AppendCrash appends the action that reports a failed policy.
func (r *Reply) AppendCrash(instance int, reason string) {
	r.open(instance)
	r.buf = append(r.buf, "CRASH "...)
	r.buf = append(r.buf, oneLine(reason)...)
	r.buf = append(r.buf, '\n')
}

// WriteTo closes the reply, writes it to w and empties it.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	r.buf = append(r.buf, "END\n"...)
	n, err := w.Write(r.buf)
	r.buf = r.buf[:0]
	return int64(n), err
}

func (r *Reply) open(instance int) {
	r.buf = append(r.buf, "FROM "...)
	r.buf = strconv.AppendInt(r.buf, int64(instance), 10)
	r.buf = append(r.buf, '\n')
}

func (r *Reply) id(word string, id whinrudder.RequestID) {
	r.buf = append(r.buf, word...)
	r.buf = append(r.buf, id...)
}

func (r *Reply) num(v float64) {
	r.buf = append(r.buf, ' ')
	r.buf = strconv.AppendFloat(r.buf, math.Round(v*1000)/1000, 'f', -1, 64)
}

func (r *Reply) bit(b bool) {
	if b {
		r.buf = append(r.buf, " 1"...)
	} else {
		r.buf = append(r.buf, " 0"...)
	}
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
