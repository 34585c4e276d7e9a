// Package handover is the protocol by which a running process of a node hands over to one that was started beside it,
// over a socket of the same machine: the listening sockets, what it has learned, the ids that it has read, and then its
// connections at rest, one by one. Predecessor is the side of the running process and Successor that of its successor; both are
// state machines that are fed bytes and know no socket. They have no clock: absolute times in Unix milliseconds go in.
//
// The frames are those of package peer, with kinds of their own. Descriptors travel beside the frame that names them, in
// the order in which it does (SCM_RIGHTS, unix(7)).
//
//	successor               running process
//	hello  ------------------>
//	       <------------------  welcome (listening sockets), sections of knowledge, end
//	       <----- load ------>  each way, every LoadIntervalMs
//	serving ----------------->                         from here on the successor takes new connections
//	       <------------------  yielded                and the running process takes none: it may be told to leave
//	       <------------------  conn (a connection at rest), any number
//
// Until serving nothing has changed for the running process, and if the successor is lost then or later, it goes on as
// before.
package handover

import (
	"math"

	"whinrudder"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
)

// The kinds of frames, beside Section, End and Refuse of package peer.
const (
	kindHello   peer.Kind = 32 + iota // successor: who it is and where it would listen
	kindWelcome                       // running process: the fronts whose sockets come with the frame
	kindServing                       // successor: it serves
	kindLoad                          // either: what it has in hand, and ids that it has read
	kindConn                          // running process: a connection comes with the frame
	kindYielded                       // running process: it takes no new connections
)

// Times in milliseconds.
const (
	// LoadIntervalMs is how often each side tells what it has in hand: a few times in the time that a request takes.
	LoadIntervalMs = 50
	// silentFor is how long a side may say nothing: it tells its load far more often, but a process may stand still, and
	// its end is heard of at once.
	silentFor = 5000
	// helloFor is how long a successor may take to say who it is.
	helloFor = 1000
	// welcomeFor is how long a running process may take to hand over its sockets.
	welcomeFor = 2000
	// serveFor is how long a successor may take until it serves.
	serveFor = 30e3
)

const (
	idSize    = 16  // characters of an id
	idsAFrame = 900 // so that a frame stays within peer.MaxPayloadBytes
	maxFronts = 8
	maxLoad   = 1e9
)

type hello struct {
	Node  string            `cbor:"node"`
	Addrs map[string]string `cbor:"addrs"` // of the fronts
}

type welcome struct {
	Node   string       `cbor:"node"`
	Fronts []string     `cbor:"fronts"`
	Away   bool         `cbor:"away"` // operators have sent the clients away
	Head   peer.Summary `cbor:"head"`
}

type load struct {
	Live int     `cbor:"live"`
	KB   float64 `cbor:"kb"`
	IDs  []byte  `cbor:"ids"` // one after the other
}

// Conn is a connection at rest.
type Conn struct {
	Front  string  `cbor:"front"`
	Served int     `cbor:"served"` // answers so far
	Since  float64 `cbor:"since"`  // when the last was given, or the connection began
}

// Message is what is to be written in one go, with the descriptors that it names beside it.
type Message struct {
	Bytes  []byte
	Fronts []string // whose listening sockets go along
	Conn   any      // the connection that goes along, as it was given; nil: none
}

// An Event is what the other side said.
type Event interface{ event() }

type (
	// HelloReceived tells that a successor wants to know: SendWelcome is to be called.
	HelloReceived struct{ Node string }
	// ListenersReceived tells that listening sockets came, of these fronts in this order.
	ListenersReceived struct {
		Fronts          []string
		OperatorDrained bool
	}
	// KnowledgeReceived brings what the running process has learned. All that is needed to serve has come.
	KnowledgeReceived struct{ knowledge.Report }
	// SuccessorServing tells that the successor takes new connections.
	SuccessorServing struct{}
	// PredecessorYielded tells that the running process takes no new connections, and knows its successor.
	PredecessorYielded struct{}
	// LoadReceived brings what the other side has in hand, and ids that it has read.
	LoadReceived struct {
		whinrudder.Beside
		IDs []string
	}
	// ConnReceived tells that a connection came.
	ConnReceived struct{ Conn }
)

func (HelloReceived) event()      {}
func (ListenersReceived) event()  {}
func (KnowledgeReceived) event()  {}
func (SuccessorServing) event()   {}
func (PredecessorYielded) event() {}
func (LoadReceived) event()       {}
func (ConnReceived) event()       {}

// side is what both machines have in common.
type side struct {
	in    peer.Reader
	out   []Message
	heard float64 // when the other side was heard last
	by    float64 // when the present phase must be over; 0: it has no end
}

func (s *side) say(m Message) { s.out = append(s.out, m) }

// Messages returns what is to be written, in order.
func (s *side) Messages() []Message {
	out := s.out
	s.out = nil
	return out
}

// SendLoad tells the other side what is in hand here, and ids that were read.
func (s *side) SendLoad(b whinrudder.Beside, ids []string) {
	for first := true; first || len(ids) > 0; first = false {
		n := min(len(ids), idsAFrame)
		l := load{Live: b.InProgress, KB: b.MemoryKB}
		for _, id := range ids[:n] {
			if len(id) == idSize {
				l.IDs = append(l.IDs, id...)
			}
		}
		ids = ids[n:]
		s.say(Message{Bytes: peer.AppendValue(nil, kindLoad, l)})
	}
}

func loaded(f peer.Frame) (LoadReceived, *peer.Fault) {
	var l load
	if err := peer.DecodeValue(f, &l); err != nil {
		return LoadReceived{}, err
	}
	if l.Live < 0 || l.Live > maxLoad || !(l.KB >= 0 && l.KB <= maxLoad*1e3) || len(l.IDs)%idSize != 0 {
		return LoadReceived{}, peer.NewFault("bad-load", "%d live, %v kB, %d bytes of ids", l.Live, l.KB, len(l.IDs))
	}
	e := LoadReceived{Beside: whinrudder.Beside{InProgress: l.Live, MemoryKB: l.KB}}
	for ; len(l.IDs) > 0; l.IDs = l.IDs[idSize:] {
		e.IDs = append(e.IDs, string(l.IDs[:idSize]))
	}
	return e, nil
}

// due tells what is wrong with the other side's silence.
func (s *side) due(now float64) *peer.Fault {
	switch {
	case s.by > 0 && now >= s.by:
		return peer.NewFault("late", "the other process did not come to its next step")
	case now >= s.heard+silentFor:
		return peer.NewFault("silent", "nothing came for %d ms", silentFor)
	}
	return nil
}

// WakeAt returns when CheckTimeouts must be called.
func (s *side) WakeAt() float64 {
	at := s.heard + silentFor
	if s.by > 0 {
		at = min(at, s.by)
	}
	return at
}

// Predecessor is the side of the running process. Create it with NewPredecessor.
type Predecessor struct {
	side
	node  string
	addrs map[string]string
	phase phase
	asked hello
}

type phase uint8

const (
	unknown phase = iota // nothing was said yet
	asked                // hello came
	given                // welcome went out
	serving              // the successor serves
)

// NewPredecessor returns the machine of a connection that was accepted at a time, for a node that listens at addresses, by the
// names of the fronts.
func NewPredecessor(node string, addrs map[string]string, now float64) *Predecessor {
	return &Predecessor{side: side{heard: now, by: now + helloFor}, node: node, addrs: addrs}
}

// Feed takes bytes that were read.
func (g *Predecessor) Feed(now float64, b []byte) (events []Event, bad *peer.Fault) {
	g.in.Feed(b)
	for {
		f, ok, bad := g.in.Next()
		if bad != nil || !ok {
			return events, bad
		}
		g.heard = now
		switch {
		case f.Kind == kindHello && g.phase == unknown:
			if bad := peer.DecodeValue(f, &g.asked); bad != nil {
				return events, bad
			}
			if g.asked.Node != g.node {
				return events, peer.NewFault("other-node", "%q asks, this is %q", g.asked.Node, g.node)
			}
			if len(g.asked.Addrs) > maxFronts {
				return events, peer.NewFault("many-fronts", "%d, %d at most", len(g.asked.Addrs), maxFronts)
			}
			g.phase, g.by = asked, now+welcomeFor
			events = append(events, HelloReceived{g.asked.Node})
		case f.Kind == kindServing && g.phase == given:
			g.phase, g.by = serving, 0
			events = append(events, SuccessorServing{})
		case f.Kind == kindLoad && g.phase >= given:
			e, bad := loaded(f)
			if bad != nil {
				return events, bad
			}
			events = append(events, e)
		default:
			return events, peer.NewFault("bad-order", "a frame of kind %d", f.Kind)
		}
	}
}

// SendWelcome hands over the sockets of the fronts that both have at the same address, and what was learned.
func (g *Predecessor) SendWelcome(now float64, away bool, r knowledge.Report) {
	if g.phase != asked {
		return
	}
	g.phase, g.by = given, now+serveFor
	w := welcome{Node: g.node, Away: away, Head: peer.SummaryOf(r)}
	for _, name := range fronts {
		if a := g.asked.Addrs[name]; a != "" && a == g.addrs[name] {
			w.Fronts = append(w.Fronts, name)
		}
	}
	g.say(Message{Bytes: peer.AppendValue(nil, kindWelcome, w), Fronts: w.Fronts})
	// Each frame by itself: what is written in one go must not be long.
	g.say(Message{Bytes: peer.AppendSections(nil, r)})
}

// fronts in the order in which their sockets travel.
var fronts = []string{"http", "h2c", "uwsgi", "peer"}

// SuccessorServing tells whether the successor takes new connections.
func (g *Predecessor) SuccessorServing() bool { return g.phase == serving }

// SendYielded tells the successor that this process takes no new connections.
func (g *Predecessor) SendYielded() {
	if g.phase == serving {
		g.say(Message{Bytes: peer.AppendValue(nil, kindYielded, struct{}{})})
	}
}

// SendConn hands over a connection. It tells false if the successor does not take any.
func (g *Predecessor) SendConn(c Conn, what any) bool {
	if g.phase != serving {
		return false
	}
	g.say(Message{Bytes: peer.AppendValue(nil, kindConn, c), Conn: what})
	return true
}

// CheckTimeouts tells what is wrong if nothing that came by a time was left unread.
func (g *Predecessor) CheckTimeouts(looked float64) *peer.Fault { return g.due(looked) }

// Successor is the side of the successor. Create it with NewSuccessor.
type Successor struct {
	side
	node   string
	addrs  map[string]string
	gather *peer.ReportAssembler // nil until the welcome came
	whole  bool
	serves bool
}

// NewSuccessor returns the machine of a connection that was made at a time, for a node that would listen at addresses, by the
// names of the fronts.
func NewSuccessor(node string, addrs map[string]string, now float64) *Successor {
	t := &Successor{side: side{heard: now, by: now + welcomeFor}, node: node, addrs: addrs}
	t.say(Message{Bytes: peer.AppendValue(nil, kindHello, hello{node, addrs})})
	return t
}

// Feed takes bytes that were read.
func (t *Successor) Feed(now float64, b []byte) (events []Event, bad *peer.Fault) {
	t.in.Feed(b)
	for {
		f, ok, bad := t.in.Next()
		if bad != nil || !ok {
			return events, bad
		}
		t.heard = now
		e, bad := t.frame(f)
		if bad != nil {
			return events, bad
		}
		if e != nil {
			events = append(events, e)
		}
	}
}

func (t *Successor) frame(f peer.Frame) (Event, *peer.Fault) {
	switch {
	case f.Kind == kindWelcome && t.gather == nil:
		var w welcome
		if bad := peer.DecodeValue(f, &w); bad != nil {
			return nil, bad
		}
		if w.Node != t.node || len(w.Fronts) > maxFronts {
			return nil, peer.NewFault("other-node", "%q gives, this is %q", w.Node, t.node)
		}
		for i, name := range w.Fronts {
			if t.addrs[name] == "" || i > 0 && w.Fronts[i-1] == name {
				return nil, peer.NewFault("other-front", "%q was not asked for", name)
			}
		}
		t.gather = peer.NewReportAssembler(w.Head)
		return ListenersReceived{w.Fronts, w.Away}, nil
	case f.Kind == peer.KindRefuse:
		return nil, peer.NewFault("refused", "%s", peer.DescribeFrame(f))
	case (f.Kind == peer.KindSection || f.Kind == peer.KindEnd) && t.gather != nil && !t.whole:
		if bad := t.gather.Add(f); bad != nil {
			return nil, bad
		}
		r, whole := t.gather.Report()
		if !whole {
			return nil, nil
		}
		t.whole, t.by = true, 0
		return KnowledgeReceived{r}, nil
	case f.Kind == kindLoad && t.whole:
		e, bad := loaded(f)
		if bad != nil {
			return nil, bad
		}
		return e, nil
	case f.Kind == kindYielded && t.serves:
		return PredecessorYielded{}, nil
	case f.Kind == kindConn && t.serves:
		var c Conn
		if bad := peer.DecodeValue(f, &c); bad != nil {
			return nil, bad
		}
		if c.Served < 0 || c.Front == "" || !(c.Since >= 0 && !math.IsInf(c.Since, 0)) {
			return nil, peer.NewFault("bad-conn", "%+v", c)
		}
		return ConnReceived{c}, nil
	}
	return nil, peer.NewFault("bad-order", "a frame of kind %d", f.Kind)
}

// Complete tells whether all that is needed to serve has come.
func (t *Successor) Complete() bool { return t.whole }

// SendServing tells the running process that this one takes new connections.
func (t *Successor) SendServing() {
	if t.whole && !t.serves {
		t.serves = true
		t.say(Message{Bytes: peer.AppendValue(nil, kindServing, struct{}{})})
	}
}

// CheckTimeouts tells what is wrong if nothing that came by a time was left unread.
func (t *Successor) CheckTimeouts(looked float64) *peer.Fault { return t.due(looked) }

// The platform stops a process that was succeeded after the longest deadline, counted as graceMost where it is longer, and
// graceMore. It ends graceMargin before that.
const (
	graceMost   = 3000
	graceMore   = 700
	graceMargin = 100
)

// GraceMs is how long a process that was succeeded has from the notice to leave, in milliseconds.
func GraceMs(classes []whinrudder.Class) float64 {
	longest := 0.0
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, graceMost) + graceMore - graceMargin
}
