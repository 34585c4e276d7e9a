// Package pool implements the protocol of the link to the worker pool: JSON objects, one per line. Link is a state
// machine that does no I/O. It outlives the connections, so that a run is started only once however often the
// connection breaks.
package pool

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"whinrudder"
	"whinrudder/internal/core"
)

// maxUnconfirmed bounds the commands that are kept because the worker pool may not have read them, besides the starts of
// runs, which the module bounds. If it answers no polls, the oldest are given up: at worst a run that nobody waits for ends
// later.
const maxUnconfirmed = 1024

// maxLineBytes bounds a notice: at least four times the size of one with a result of 4 KiB in base64.
const maxLineBytes = 32 << 10

// Link is the link of one node to its worker pool. It must be used from one goroutine at a time.
//
// A synchronized link sends commands as they are queued. On a new connection it binds with the serial number of the
// last notice that was read, processes the notices that the worker pool sent meanwhile, and polls for gauges. The
// answer to this poll marks the end of the missed notices. Only then the link is synchronized: it sends commands
// again, and it reports to the core the runs for which it is unknown whether they were started.
type Link struct {
	classes []string // class names by class index
	gauges  []string // gauge names in the order of their values in stats

	parser   fastjson.Parser
	in       []byte    // received bytes of an incomplete line
	skipping bool      // the rest of a line that is too long is dropped
	serial   uint64    // serial number of the last notice read
	fences   int       // number of fence and leave polls sent
	fence    string    // cookie of the poll whose answer is awaited; empty when synchronized
	detached bool      // the connection may be closed, see Detach
	polls    uint64    // number of polls for gauges
	queue    []command // not yet handed to a connection
	sent     []command // handed to the current connection, in order, and not known to have been read
}

// command is a line for the worker pool. The answer to a poll with a number above pollsBefore on the same connection
// proves that the worker pool has read the command.
type command struct {
	line        []byte
	spawn       string // id of the run that the command starts, or empty
	stop        string // id of the run that the command stops, or empty
	poll        bool   // it polls for gauges, which is not repeated on another connection
	pollsBefore uint64 // number of polls queued before the command
}

// New returns a link without a connection. The names of the classes and gauges are in the order of the settings.
func New(classes, gauges []string) *Link {
	return &Link{classes: classes, gauges: gauges, fence: notBound}
}

// NewCollector returns a link that only reads notices, from the one after a serial number on.
func NewCollector(serial uint64) *Link { return &Link{fence: notBound, serial: serial} }

// Serial returns the number of the last notice that was read.
func (l *Link) Serial() uint64 { return l.serial }

// SetNames replaces the names of the classes, by class index, and of the gauges.
func (l *Link) SetNames(classes, gauges []string) { l.classes, l.gauges = classes, gauges }

// notBound is the value of Link.fence until the worker pool has answered the bind.
const notBound = "not bound"

// StartConnection resets the link for a new connection and returns the first bytes to send on it.
func (l *Link) StartConnection() []byte {
	l.in, l.skipping = l.in[:0], false
	l.fence, l.detached = notBound, false
	return fmt.Appendf(nil, `{"msg":"bind","serial":%d}`+"\n", l.serial)
}

// Detach stops sending commands on a connection that another one will replace, and returns a last poll. The answer
// proves that the worker pool has read all commands that were sent; later commands wait for the next connection. A link
// that is not synchronized has nothing to wait for: it is detached at once, and Detach returns nil.
func (l *Link) Detach() []byte {
	if l.detached = l.fence != ""; l.detached {
		return nil
	}
	return l.poll("leave")
}

// Detached reports whether the connection may be closed after Detach.
func (l *Link) Detached() bool { return l.detached }

// poll returns a poll with a new cookie and blocks commands until its answer arrives.
func (l *Link) poll(prefix string) []byte {
	l.fences++
	l.fence = prefix + strconv.Itoa(l.fences)
	return fmt.Appendf(nil, `{"msg":"poll","cookie":"%s"}`+"\n", l.fence)
}

// Enqueue queues a command of the core. Polls and health checks are useful only while the link is synchronized.
func (l *Link) Enqueue(o core.Output) {
	switch o := o.(type) {
	case core.Spawn:
		b := append([]byte(`{"msg":"spawn","call":"`), o.ID...)
		b = append(b, `","service":"`...)
		b = append(b, l.classes[o.Class]...)
		b = append(b, `","blob":"`...)
		b = base64.StdEncoding.AppendEncode(b, o.Body)
		l.queue = append(l.queue, command{line: append(b, "\"}\n"...), spawn: o.ID, pollsBefore: l.polls})
	case core.Suspend:
		b := fmt.Appendf(nil, `{"msg":"suspend","call":"%s"}`+"\n", o.ID)
		l.queue = append(l.queue, command{line: b, stop: o.ID, pollsBefore: l.polls})
	case core.Poll:
		l.polls++
		b := fmt.Appendf(nil, `{"msg":"poll","cookie":"gauges%d"}`+"\n", l.polls)
		l.queue = append(l.queue, command{line: b, poll: true, pollsBefore: l.polls - 1})
	case core.Verify:
		b := fmt.Appendf(nil, `{"msg":"verify","cookie":"%s"}`+"\n", o.Tag)
		l.queue = append(l.queue, command{line: b, pollsBefore: l.polls})
	}
}

// AppendCommands appends the commands that may be sent now. They then count as handed to the connection: if it breaks
// before the worker pool answers a later poll, it is unknown whether they were read, even if no byte was sent.
func (l *Link) AppendCommands(b []byte) []byte {
	if l.fence != "" {
		return b
	}
	for _, c := range l.queue {
		b = append(b, c.line...)
	}
	for _, c := range l.queue {
		if !c.poll {
			l.sent = append(l.sent, c)
		}
	}
	l.trimSent()
	clear(l.queue) // a command in sent must not be kept by queue as well
	l.queue = l.queue[:0]
	return b
}

// trimSent gives up the oldest commands that start no run if there are too many.
func (l *Link) trimSent() {
	if len(l.sent) <= maxUnconfirmed {
		return
	}
	excess := -maxUnconfirmed
	for _, c := range l.sent {
		if c.spawn == "" {
			excess++
		}
	}
	l.sent = slices.DeleteFunc(l.sent, func(c command) bool {
		remove := c.spawn == "" && excess > 0
		if remove {
			excess--
		}
		return remove
	})
}

// ErrLineTooLong is returned for an incomplete line longer than the limit of a notice.
var ErrLineTooLong = errors.New("notice too long")

// Bound reports whether the worker pool has answered the bind on the current connection.
func (l *Link) Bound() bool { return l.fence != notBound }

// Feed processes received bytes. It returns the inputs for the core and bytes to send at once. A line that is no notice is
// passed over, because the notices after it concern other runs; err is the reason of the last one. If the link is not bound
// yet, the connection must be closed after an error.
func (l *Link) Feed(p []byte) (inputs []core.Input, reply []byte, err error) {
	l.in = append(l.in, p...)
	for {
		line, rest, ok := bytes.Cut(l.in, []byte("\n"))
		if !ok {
			break
		}
		if len(line) > 0 && !l.skipping {
			i, r, lineErr := l.feedLine(line)
			inputs, reply = append(inputs, i...), append(reply, r...)
			err = cmp.Or(lineErr, err)
		}
		l.skipping = false
		l.in = l.in[:copy(l.in, rest)]
	}
	if len(l.in) > maxLineBytes {
		err = ErrLineTooLong
		l.skipping = true
	}
	if l.skipping {
		l.in = l.in[:0]
	}
	return inputs, reply, err
}

// feedLine processes one line.
func (l *Link) feedLine(line []byte) (inputs []core.Input, reply []byte, err error) {
	v, err := l.parser.ParseBytes(line)
	if err != nil {
		return nil, nil, fmt.Errorf("notice: %w", err)
	}
	inputs, reply = l.notice(v)
	return inputs, reply, nil
}

// runEnds maps the values of "how" in a finished notice.
var runEnds = map[string]core.RunEnd{"OK": core.RunOK, "ERROR": core.RunError, "STOPPED": core.RunStopped,
	"MOOT": core.RunMoot}

// notice processes one notice of the worker pool.
func (l *Link) notice(v *fastjson.Value) (inputs []core.Input, reply []byte) {
	text := func(key string) string { return string(v.GetStringBytes(key)) }
	if v.Exists("serial") {
		n := v.GetUint64("serial")
		if n <= l.serial {
			return nil, nil // the worker pool repeats notices after a reconnect
		}
		l.serial = n
	}
	switch text("msg") {
	case "bound":
		inputs = append(inputs, core.PoolReady{Cold: text("how") == "COLD", Age: v.GetFloat64("duration")})
		reply = l.poll("fence")
	case "finished":
		call := text("call")
		l.markRead(call)
		end, ok := runEnds[text("how")]
		if !ok {
			end = core.RunError
		}
		blob := v.GetStringBytes("blob")
		result, err := base64.StdEncoding.AppendDecode(nil, blob)
		if err != nil {
			result, end = nil, core.RunError // an undecodable result counts as a failed run
		}
		inputs = append(inputs, core.RunFinished{ID: call, End: end, Latency: v.GetFloat64("duration"), Result: result})
	case "polled":
		cookie := text("cookie")
		number, gauges := strings.CutPrefix(cookie, "gauges")
		switch {
		case gauges:
			n, _ := strconv.ParseUint(number, 10, 64)
			l.sent = slices.DeleteFunc(l.sent, func(c command) bool { return c.pollsBefore < n })
		case cookie != l.fence:
		case strings.HasPrefix(l.fence, "leave"):
			l.sent, l.detached = nil, true // all commands were read; runs go on and their ends will be reported
		default:
			l.fence = ""
			inputs = append(inputs, core.LinkSynced{InDoubt: l.resync()})
		}
		inputs = append(inputs, core.GaugesRead{Gauges: l.stats(v.GetArray("stats"))})
	case "verified":
		inputs = append(inputs, core.CheckFinished{Tag: text("cookie"), OK: text("how") == "OK"})
	case "unknown":
		if text("how") == "spawn" {
			l.markRead(text("call"))
			inputs = append(inputs, core.RunNotStarted{ID: text("call")})
		}
	}
	return inputs, reply
}

// markRead records that the worker pool has read the spawn command of a run.
func (l *Link) markRead(id string) {
	l.sent = slices.DeleteFunc(l.sent, func(c command) bool { return c.spawn == id })
}

// resync returns the runs whose spawn command the broken connection may have lost; the core decides on them, and also
// on stopping them. Other suspend and verify commands that may be lost are queued again before the waiting commands,
// because they may safely be repeated. Polls for gauges are not repeated.
func (l *Link) resync() (inDoubt []string) {
	var resend []command
	doubtful := map[string]bool{}
	for _, c := range l.sent {
		switch {
		case c.spawn != "":
			inDoubt = append(inDoubt, c.spawn)
			doubtful[c.spawn] = true
		default:
			resend = append(resend, c)
		}
	}
	l.queue = slices.DeleteFunc(append(resend, l.queue...), func(c command) bool { return doubtful[c.stop] })
	l.sent = nil
	return inDoubt
}

// stats assigns the values of a stats list to the gauges by name. Missing or non-numeric values count as not measured.
func (l *Link) stats(values []*fastjson.Value) whinrudder.Gauges {
	g := whinrudder.Gauges{CPU: -1}
	for i, name := range l.gauges {
		if i >= len(values) {
			break
		}
		v, err := values[i].Float64()
		if err != nil {
			continue
		}
		switch name {
		case "cpu_busy":
			g.CPU = v
		case "runnable":
			g.Runnable = v
		case "mem_used":
			g.Memory = v
		case "sockets":
			g.Conns = v
		}
	}
	return g
}

// Dump returns the state of the link as text, for tests that compare states.
func (l *Link) Dump() string {
	b := fmt.Append(nil, l.serial, l.fence != "", l.detached)
	for _, c := range append(slices.Clone(l.sent), l.queue...) {
		b = fmt.Append(b, c.spawn, c.stop)
	}
	return string(fmt.Append(b, len(l.sent)))
}
