// Package pool speaks with the worker pool: JSON objects, one a line. Link is a state machine that knows no
// socket; it outlives the connections, so that a run is started once however often the link breaks.
package pool

import (
	"bytes"
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

// maxLine bounds a notice: a result of 4 KiB in base64 and the fields around it fit four times over.
const maxLine = 32 << 10

// Link is one node's talk with its worker pool. It is used from one goroutine at a time.
//
// A link in step writes commands as they come. After a break it binds with the serial of the last notice that
// was read, takes the notices of the meantime, and asks for gauges: what comes before that answer is the past.
// Only then commands go out again, and the core is told which starts are in doubt.
type Link struct {
	classes []string
	gauges  []string

	parser fastjson.Parser
	in     []byte
	serial uint64 // of the last notice read
	fences int
	fence  string    // tag of the poll whose answer is waited for; empty when in step
	left   bool      // the answer to the last poll of a connection that another replaces has come
	polls  uint64    // gauges asked for so far
	queue  []command // not yet handed to a connection
	sent   []command // handed to the present connection, in order, and not known to have been read
}

// command is a line for the worker pool; spawn is the id if it starts a run, stop if it stops one. Once the answer to a poll of a higher
// number has come on the same connection, the command is known to have been read.
type command struct {
	line  []byte
	spawn string
	stop  string
	after uint64
}

// New returns the link of a node that starts. The names of the classes and of the gauges are in the order of
// the settings.
func New(classes, gauges []string) *Link {
	return &Link{classes: classes, gauges: gauges, fence: notBound}
}

// SetNames takes over the names of the classes, by their places, and of the gauges.
func (l *Link) SetNames(classes, gauges []string) { l.classes, l.gauges = classes, gauges }

// notBound stands in the place of a fence until the worker pool says that it is up.
const notBound = "not bound"

// StartConnection starts the talk on a new connection and returns the first bytes for it.
func (l *Link) StartConnection() []byte {
	l.in = l.in[:0]
	l.fence, l.left = notBound, false
	return fmt.Appendf(nil, `{"msg":"bind","serial":%d}`+"\n", l.serial)
}

// Detach ends the talk on a connection that another will replace. It returns a last poll: its answer proves that the
// worker pool has read all that was handed over, and commands wait for the next connection. On a link that was not
// in step nothing is owed.
func (l *Link) Detach() []byte {
	if l.left = l.fence != ""; l.left {
		return nil
	}
	return l.poll("leave")
}

// Detached tells that the connection may be closed.
func (l *Link) Detached() bool { return l.left }

// poll asks for an answer under a new tag, which is waited for.
func (l *Link) poll(word string) []byte {
	l.fences++
	l.fence = word + strconv.Itoa(l.fences)
	return fmt.Appendf(nil, `{"msg":"poll","cookie":"%s"}`+"\n", l.fence)
}

// Enqueue queues a command of the core. Gauges and checks are worth asking for only on a link in step.
func (l *Link) Enqueue(o core.Output) {
	switch o := o.(type) {
	case core.Spawn:
		b := append([]byte(`{"msg":"spawn","call":"`), o.ID...)
		b = append(b, `","service":"`...)
		b = append(b, l.classes[o.Class]...)
		b = append(b, `","blob":"`...)
		b = base64.StdEncoding.AppendEncode(b, o.Body)
		l.queue = append(l.queue, command{line: append(b, "\"}\n"...), spawn: o.ID, after: l.polls})
	case core.Suspend:
		b := fmt.Appendf(nil, `{"msg":"suspend","call":"%s"}`+"\n", o.ID)
		l.queue = append(l.queue, command{line: b, stop: o.ID, after: l.polls})
	case core.Poll:
		l.polls++
		b := fmt.Appendf(nil, `{"msg":"poll","cookie":"gauges%d"}`+"\n", l.polls)
		l.queue = append(l.queue, command{line: b, after: l.polls - 1})
	case core.Verify:
		b := fmt.Appendf(nil, `{"msg":"verify","cookie":"%s"}`+"\n", o.Tag)
		l.queue = append(l.queue, command{line: b, after: l.polls})
	}
}

// AppendCommands appends the commands that may go out now. From here on they count as handed to the connection: they are in
// doubt if it breaks, even if no byte arrived, until the worker pool answers a later poll.
func (l *Link) AppendCommands(to []byte) []byte {
	if l.fence != "" {
		return to
	}
	for _, c := range l.queue {
		to = append(to, c.line...)
	}
	l.sent, l.queue = append(l.sent, l.queue...), l.queue[:0]
	return to
}

// ErrLineTooLong is a line that is too long to be a notice.
var ErrLineTooLong = errors.New("notice too long")

// Feed takes bytes that were read. It returns what they tell the core and bytes to be written at once. An error
// means that the connection is of no use any more.
func (l *Link) Feed(p []byte) (tell []core.Input, reply []byte, err error) {
	l.in = append(l.in, p...)
	for {
		line, rest, ok := bytes.Cut(l.in, []byte("\n"))
		if !ok {
			break
		}
		if len(line) > 0 {
			v, err := l.parser.ParseBytes(line)
			if err != nil {
				return tell, reply, fmt.Errorf("notice: %w", err)
			}
			t, r := l.notice(v)
			tell, reply = append(tell, t...), append(reply, r...)
		}
		l.in = l.in[:copy(l.in, rest)]
	}
	if len(l.in) > maxLine {
		return tell, reply, ErrLineTooLong
	}
	return tell, reply, nil
}

var ends = map[string]core.RunEnd{"OK": core.RunOK, "ERROR": core.RunError, "STOPPED": core.RunStopped,
	"MOOT": core.RunMoot}

func (l *Link) notice(v *fastjson.Value) (tell []core.Input, reply []byte) {
	text := func(key string) string { return string(v.GetStringBytes(key)) }
	if v.Exists("serial") {
		n := v.GetUint64("serial")
		if n <= l.serial {
			return nil, nil // told again after a break
		}
		l.serial = n
	}
	switch text("msg") {
	case "bound":
		tell = append(tell, core.PoolReady{Cold: text("how") == "COLD", Age: v.GetFloat64("duration")})
		reply = l.poll("fence")
	case "finished":
		call := text("call")
		l.read(call)
		end, ok := ends[text("how")]
		if !ok {
			end = core.RunError
		}
		blob := v.GetStringBytes("blob")
		result, err := base64.StdEncoding.AppendDecode(nil, blob)
		if err != nil {
			result, end = nil, core.RunError // a result that can't be read is none
		}
		tell = append(tell, core.RunFinished{ID: call, End: end, Latency: v.GetFloat64("duration"), Result: result})
	case "polled":
		cookie := text("cookie")
		number, gauges := strings.CutPrefix(cookie, "gauges")
		switch {
		case gauges:
			n, _ := strconv.ParseUint(number, 10, 64)
			l.sent = slices.DeleteFunc(l.sent, func(c command) bool { return c.after < n })
		case cookie != l.fence:
		case strings.HasPrefix(l.fence, "leave"):
			l.sent, l.left = nil, true // all were read: what runs goes on, and its end will be told
		default:
			l.fence = ""
			tell = append(tell, core.LinkSynced{InDoubt: l.again()})
		}
		tell = append(tell, core.GaugesRead{Gauges: l.stats(v.GetArray("stats"))})
	case "verified":
		tell = append(tell, core.CheckFinished{Tag: text("cookie"), OK: text("how") == "OK"})
	case "unknown":
		if text("how") == "spawn" {
			l.read(text("call"))
			tell = append(tell, core.RunNotStarted{ID: text("call")})
		}
	}
	return tell, reply
}

// read notes that the start of a run is known to have been read.
func (l *Link) read(id string) {
	l.sent = slices.DeleteFunc(l.sent, func(c command) bool { return c.spawn == id })
}

// again lists the starts that a broken connection may have lost, for the core to decide on. Stops and checks that
// it may have lost are asked for again before all that waits: twice they do no harm. Stops of runs whose start is in
// doubt are left to the core, too.
func (l *Link) again() (starts []string) {
	var others []command
	doubt := map[string]bool{}
	for _, c := range l.sent {
		switch {
		case c.spawn != "":
			starts = append(starts, c.spawn)
			doubt[c.spawn] = true
		case !bytes.HasPrefix(c.line, []byte(`{"msg":"poll"`)):
			others = append(others, c)
		}
	}
	l.queue = slices.DeleteFunc(append(others, l.queue...), func(c command) bool { return doubt[c.stop] })
	l.sent = nil
	return starts
}

// stats puts the gauges in their places; those that are not told are taken as not measured.
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

// Dump is the state of the link as text, for tests that compare states.
func (l *Link) Dump() string {
	b := fmt.Append(nil, l.serial, l.fence != "", l.left)
	for _, c := range append(slices.Clone(l.sent), l.queue...) {
		b = fmt.Append(b, c.spawn, c.stop)
	}
	return string(fmt.Append(b, len(l.sent)))
}
