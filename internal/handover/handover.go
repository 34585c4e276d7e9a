// Package handover implements the protocol by which a running process of a node (the predecessor) hands over to a
// process started on the same machine (the successor). It hands over the listening sockets, the learned state, the IDs
// of the requests that it has read, and then its idle connections, one by one. Predecessor and Successor are the two
// sides as state machines: they are fed bytes and do no I/O. They have no clock: callers pass absolute times in Unix
// milliseconds.
//
// The frames have the format of package peer, with additional kinds. Descriptors travel with the frame that names them,
// in the order in which it names them (SCM_RIGHTS, unix(7)).
//
//	successor               predecessor
//	hello  ------------------>
//	       <------------------  welcome (listening sockets), sections of learned state, end
//	       <----- load ------>  in both directions, every LoadIntervalMs
//	serving ----------------->                         from here on the successor accepts new connections
//	       <------------------  load, yielded          the successor has all IDs; the predecessor may be told to leave
//	       <------------------  claim                  asks whether requests that the predecessor has read may run
//	claimed ----------------->
//	       <------------------  links                  where the results of runs can be read that outlive the predecessor
//	       <------------------  conn (an idle connection), any number
//
// Until it receives serving, the predecessor works as before. If the successor is lost, at that time or later, the
// predecessor continues to serve.
package handover

import (
	"math"
	"slices"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/knowledge"
	"whinrudder/internal/peer"
)

// The kinds of frames, in addition to KindSection, KindEnd and KindRefuse of package peer.
const (
	kindHello   peer.Kind = 32 + iota // from the successor: its node name and the addresses at which it is to listen
	kindWelcome                       // from the predecessor: the fronts whose sockets come with the frame
	kindServing                       // from the successor: it accepts new connections
	kindLoad                          // from either side: its load, IDs of requests that it has read, and the operators' drain
	kindConn                          // from the predecessor: a connection comes with the frame
	kindYielded                       // from the predecessor: it accepts no new connections
	kindClaim                         // from the predecessor: IDs of requests that it would run
	kindClaimed                       // from the successor: which of them it may run, and which are known already
	kindLinks                         // from the predecessor: its links to worker pools
)

// Times in milliseconds.
const (
	// LoadIntervalMs is the interval at which each side reports its load: several times within the duration of a
	// request.
	LoadIntervalMs = 50
	// silenceTimeoutMs is how long a side may send nothing. Each side reports its load far more often, but a process may
	// stall. The end of a process is noticed at once, without this timeout.
	silenceTimeoutMs = 5000
	// helloTimeoutMs is how long a successor may take to send hello.
	helloTimeoutMs = 1000
	// welcomeTimeoutMs is how long a predecessor may take to hand over its sockets.
	welcomeTimeoutMs = 2000
	// servingTimeoutMs is how long a successor may take from the welcome until it serves.
	servingTimeoutMs = 30e3
)

const (
	idBytes       = 16  // length of a request ID
	maxIDsPerLoad = 900 // IDs in one load frame, which keeps it within peer.MaxPayloadBytes
	maxFronts     = 8
	maxInProgress = 1e9 // requests that a load frame may report; its memory in kB is limited to 1000 times this number
	maxRevision   = 1e9 // of the operators' drain
)

type hello struct {
	Node  string            `cbor:"node"`
	Addrs map[string]string `cbor:"addrs"` // listening addresses by front
}

type welcome struct {
	Node            string       `cbor:"node"`
	Fronts          []string     `cbor:"fronts"` // whose listening sockets come with the frame, in this order
	OperatorDrained bool         `cbor:"away"`   // operators have drained the node
	DrainRevision   uint64       `cbor:"away_revision"`
	Summary         peer.Summary `cbor:"head"` // of the learned state; its sections follow
}

type load struct {
	InProgress int     `cbor:"live"`
	MemoryKB   float64 `cbor:"kb"`
	IDs        []byte  `cbor:"ids"` // concatenated

	OperatorDrained bool   `cbor:"away"`
	DrainRevision   uint64 `cbor:"away_revision"` // 0: the sender knows of no order, or its version does not report it
}

// drainState returns the operators' drain in a frame. Earlier versions send no revision.
func drainState(on bool, revision uint64) core.DrainState {
	if on {
		revision = max(revision, 1)
	}
	return core.DrainState{On: on, Revision: revision}
}

// serving is sent by the successor. Earlier versions send an empty map, and answer no claims.
type serving struct {
	AnswersClaims   bool `cbor:"claims"`
	CollectsResults bool `cbor:"collects"`
}

// PoolLink is where the notices of a worker pool can be read, and the number of the last one that was read.
type PoolLink struct {
	Addr   string `cbor:"addr"`
	Serial uint64 `cbor:"serial"`
}

// MaxPoolLinks bounds the links that a process reports: its own and those of processes before it.
const MaxPoolLinks = 4

type links struct {
	Links []PoolLink `cbor:"links"`
}

type claim struct {
	IDs []byte `cbor:"ids"` // concatenated
}

type claimed struct {
	Granted []byte `cbor:"granted"` // IDs, concatenated; from now on the successor does not run them
	Known   []byte `cbor:"known"`   // IDs that the successor has read or may run
}

// appendIDs appends the IDs that have the usual length.
func appendIDs(b []byte, ids []string) []byte {
	for _, id := range ids {
		if len(id) == idBytes {
			b = append(b, id...)
		}
	}
	return b
}

// splitIDs returns concatenated IDs.
func splitIDs(b []byte) (ids []string, fault *peer.Fault) {
	if len(b)%idBytes != 0 {
		return nil, peer.NewFault("bad-ids", "%d bytes of IDs", len(b))
	}
	for ; len(b) > 0; b = b[idBytes:] {
		ids = append(ids, string(b[:idBytes]))
	}
	return ids, nil
}

// Conn describes an idle connection that is handed over.
type Conn struct {
	Front  string  `cbor:"front"`
	Served int     `cbor:"served"` // number of answers sent so far
	Since  float64 `cbor:"since"`  // time of the last answer, or of the start of the connection
}

// Message is a sequence of bytes to be written at once, with the descriptors to be passed along.
type Message struct {
	Bytes  []byte
	Fronts []string // fronts whose listening sockets are passed
	Conn   any      // the connection to be passed, as given to SendConn; nil: none
}

// Event is something that the other side has sent.
type Event interface{ event() }

type (
	// HelloReceived means that a successor wants to take over. The caller must call SendWelcome.
	HelloReceived struct{ Node string }
	// ListenersReceived means that the listening sockets of these fronts have arrived, in this order.
	ListenersReceived struct {
		Fronts []string
		Drain  core.DrainState
	}
	// KnowledgeReceived carries the learned state of the predecessor. Everything needed to serve has now arrived.
	KnowledgeReceived struct{ knowledge.Report }
	// SuccessorServing means that the successor accepts new connections.
	SuccessorServing struct{}
	// PredecessorYielded means that the predecessor knows of its successor and accepts no new connections.
	PredecessorYielded struct{}
	// LoadReceived carries the load of the other side, IDs of requests that it has read, and the operators' drain as far
	// as it knows.
	LoadReceived struct {
		whinrudder.Beside
		IDs   []string
		Drain core.DrainState
	}
	// ConnReceived means that a connection has arrived.
	ConnReceived struct{ Conn }
	// ClaimReceived means that the predecessor asks whether it may run these requests. The caller must call SendClaimed.
	ClaimReceived struct{ IDs []string }
	// ClaimAnswered carries the answer to a claim.
	ClaimAnswered struct{ Granted, Known []string }
	// LinksReceived carries the predecessor's links to worker pools.
	LinksReceived struct{ Links []PoolLink }
)

func (HelloReceived) event()      {}
func (ListenersReceived) event()  {}
func (KnowledgeReceived) event()  {}
func (SuccessorServing) event()   {}
func (PredecessorYielded) event() {}
func (LoadReceived) event()       {}
func (ConnReceived) event()       {}
func (ClaimReceived) event()      {}
func (ClaimAnswered) event()      {}
func (LinksReceived) event()      {}

// endpoint is the state that both sides have in common.
type endpoint struct {
	reader    peer.Reader
	outgoing  []Message
	lastLoad  whinrudder.Beside // as sent last
	lastHeard float64           // time at which the other side was last heard
	deadline  float64           // time by which the present phase must be over; 0: none
}

func (e *endpoint) queue(m Message) { e.outgoing = append(e.outgoing, m) }

// Messages returns the messages to be written, in order, and removes them from the queue.
func (e *endpoint) Messages() []Message {
	outgoing := e.outgoing
	e.outgoing = nil
	return outgoing
}

// SendLoad reports the load of this process, the IDs of requests that it has read and the operators' drain to the other
// side.
func (e *endpoint) SendLoad(b whinrudder.Beside, ids []string, drain core.DrainState) {
	e.lastLoad = b
	for first := true; first || len(ids) > 0; first = false {
		n := min(len(ids), maxIDsPerLoad)
		l := load{InProgress: b.InProgress, MemoryKB: b.MemoryKB, OperatorDrained: drain.On, DrainRevision: drain.Revision}
		l.IDs = appendIDs(l.IDs, ids[:n])
		ids = ids[n:]
		e.queue(Message{Bytes: peer.AppendValue(nil, kindLoad, l)})
	}
}

func decodeLoad(f peer.Frame) (LoadReceived, *peer.Fault) {
	var l load
	if err := peer.DecodeValue(f, &l); err != nil {
		return LoadReceived{}, err
	}
	if l.InProgress < 0 || l.InProgress > maxInProgress ||
		!(l.MemoryKB >= 0 && l.MemoryKB <= maxInProgress*1e3) || len(l.IDs)%idBytes != 0 || l.DrainRevision > maxRevision {
		return LoadReceived{}, peer.NewFault("bad-load",
			"invalid load: %d requests in progress, %v kB of memory, %d bytes of IDs, drain revision %d",
			l.InProgress, l.MemoryKB, len(l.IDs), l.DrainRevision)
	}
	e := LoadReceived{Beside: whinrudder.Beside{InProgress: l.InProgress, MemoryKB: l.MemoryKB},
		Drain: drainState(l.OperatorDrained, l.DrainRevision)}
	e.IDs, _ = splitIDs(l.IDs)
	return e, nil
}

// checkTimeouts returns a fault if the other side has been silent or in its present phase for too long.
func (e *endpoint) checkTimeouts(now float64) *peer.Fault {
	switch {
	case e.deadline > 0 && now >= e.deadline:
		return peer.NewFault("late", "the other process did not reach its next phase in time")
	case now >= e.lastHeard+silenceTimeoutMs:
		return peer.NewFault("silent", "received nothing for %d ms", silenceTimeoutMs)
	}
	return nil
}

// WakeAt returns the time at which CheckTimeouts must be called.
func (e *endpoint) WakeAt() float64 {
	at := e.lastHeard + silenceTimeoutMs
	if e.deadline > 0 {
		at = min(at, e.deadline)
	}
	return at
}

// Predecessor is the state machine of the running process. Create it with NewPredecessor.
type Predecessor struct {
	endpoint
	node  string
	addrs map[string]string
	phase phase
	hello hello // as received

	answersClaims   bool       // the successor answers claims
	collectsResults bool       // the successor reads results of runs that outlive this process
	sentLinks       []PoolLink // as sent last
}

type phase uint8

const (
	phaseConnected     phase = iota // nothing was received yet
	phaseHelloReceived              // hello was received
	phaseWelcomeSent                // welcome was sent
	phaseServing                    // the successor serves
)

// NewPredecessor returns the machine of a connection that was accepted at time now. The node listens at addrs, by front.
func NewPredecessor(node string, addrs map[string]string, now float64) *Predecessor {
	return &Predecessor{endpoint: endpoint{lastHeard: now, deadline: now + helloTimeoutMs}, node: node, addrs: addrs}
}

// Feed processes bytes that were read. It returns the resulting events, and a fault if the other side broke the
// protocol.
func (p *Predecessor) Feed(now float64, b []byte) (events []Event, fault *peer.Fault) {
	p.reader.Feed(b)
	for {
		f, ok, fault := p.reader.Next()
		if fault != nil || !ok {
			return events, fault
		}
		p.lastHeard = now
		switch {
		case f.Kind == kindHello && p.phase == phaseConnected:
			if fault := peer.DecodeValue(f, &p.hello); fault != nil {
				return events, fault
			}
			if p.hello.Node != p.node {
				return events, peer.NewFault("other-node", "successor is node %q, this is node %q", p.hello.Node, p.node)
			}
			if len(p.hello.Addrs) > maxFronts {
				return events, peer.NewFault("many-fronts", "%d fronts exceed the limit of %d", len(p.hello.Addrs), maxFronts)
			}
			p.phase, p.deadline = phaseHelloReceived, now+welcomeTimeoutMs
			events = append(events, HelloReceived{p.hello.Node})
		case f.Kind == kindServing && p.phase == phaseWelcomeSent:
			var s serving
			if fault := peer.DecodeValue(f, &s); fault != nil {
				return events, fault
			}
			p.phase, p.deadline = phaseServing, 0
			p.answersClaims, p.collectsResults = s.AnswersClaims, s.CollectsResults
			events = append(events, SuccessorServing{})
		case f.Kind == kindLoad && p.phase >= phaseWelcomeSent:
			e, fault := decodeLoad(f)
			if fault != nil {
				return events, fault
			}
			events = append(events, e)
		case f.Kind == kindClaimed && p.phase == phaseServing:
			e, fault := decodeClaimed(f)
			if fault != nil {
				return events, fault
			}
			events = append(events, e)
		default:
			return events, peer.NewFault("bad-order", "unexpected frame of kind %d", f.Kind)
		}
	}
}

func decodeClaimed(f peer.Frame) (e ClaimAnswered, fault *peer.Fault) {
	var c claimed
	if fault := peer.DecodeValue(f, &c); fault != nil {
		return e, fault
	}
	if e.Granted, fault = splitIDs(c.Granted); fault != nil {
		return e, fault
	}
	e.Known, fault = splitIDs(c.Known)
	return e, fault
}

// AnswersClaims reports whether the successor serves and answers claims.
func (p *Predecessor) AnswersClaims() bool { return p.answersClaims }

// SendLinks reports this process's links to worker pools, if they have changed.
func (p *Predecessor) SendLinks(all []PoolLink) {
	all = all[:min(len(all), MaxPoolLinks)]
	if !p.collectsResults || slices.Equal(all, p.sentLinks) {
		return
	}
	p.sentLinks = slices.Clone(all)
	p.queue(Message{Bytes: peer.AppendValue(nil, kindLinks, links{all})})
}

// SendClaim asks the successor whether this process may run the requests with some IDs.
func (p *Predecessor) SendClaim(ids []string) {
	for ; p.answersClaims && len(ids) > 0; ids = ids[min(len(ids), maxIDsPerLoad):] {
		c := claim{IDs: appendIDs(nil, ids[:min(len(ids), maxIDsPerLoad)])}
		p.queue(Message{Bytes: peer.AppendValue(nil, kindClaim, c)})
	}
}

// SendWelcome hands over the listening sockets of the fronts that have the same address on both sides, and the learned
// state.
func (p *Predecessor) SendWelcome(now float64, drain core.DrainState, r knowledge.Report) {
	if p.phase != phaseHelloReceived {
		return
	}
	p.phase, p.deadline = phaseWelcomeSent, now+servingTimeoutMs
	w := welcome{Node: p.node, OperatorDrained: drain.On, DrainRevision: drain.Revision, Summary: peer.SummaryOf(r)}
	for _, name := range frontOrder {
		if addr := p.hello.Addrs[name]; addr != "" && addr == p.addrs[name] {
			w.Fronts = append(w.Fronts, name)
		}
	}
	p.queue(Message{Bytes: peer.AppendValue(nil, kindWelcome, w), Fronts: w.Fronts})
	// The sections go in a separate message because a message must not be long.
	p.queue(Message{Bytes: peer.AppendSections(nil, r)})
}

// frontOrder is the order in which the sockets of the fronts are passed.
var frontOrder = []string{"http", "h2c", "uwsgi", "peer"}

// SendDrain reports the operators' drain at once. It does nothing before the welcome, which carries it.
func (p *Predecessor) SendDrain(drain core.DrainState) {
	if p.phase >= phaseWelcomeSent {
		p.SendLoad(p.lastLoad, nil, drain)
	}
}

// SuccessorServing reports whether the successor accepts new connections.
func (p *Predecessor) SuccessorServing() bool { return p.phase == phaseServing }

// SendYielded informs the successor that this process accepts no new connections.
func (p *Predecessor) SendYielded() {
	if p.phase == phaseServing {
		p.queue(Message{Bytes: peer.AppendValue(nil, kindYielded, struct{}{})})
	}
}

// SendConn hands over a connection. It returns false if the successor does not accept connections yet.
func (p *Predecessor) SendConn(c Conn, conn any) bool {
	if p.phase != phaseServing {
		return false
	}
	p.queue(Message{Bytes: peer.AppendValue(nil, kindConn, c), Conn: conn})
	return true
}

// CheckTimeouts returns a fault if a timeout has expired. The caller must have fed all bytes that arrived before
// readUntil.
func (p *Predecessor) CheckTimeouts(readUntil float64) *peer.Fault { return p.checkTimeouts(readUntil) }

// Successor is the state machine of the process that takes over. Create it with NewSuccessor.
type Successor struct {
	endpoint
	node      string
	addrs     map[string]string
	assembler *peer.ReportAssembler // nil until welcome was received
	complete  bool                  // everything needed to serve has arrived
	serving   bool                  // serving was sent
}

// NewSuccessor returns the machine of a connection that was established at time now. The node is to listen at addrs, by
// front.
func NewSuccessor(node string, addrs map[string]string, now float64) *Successor {
	s := &Successor{endpoint: endpoint{lastHeard: now, deadline: now + welcomeTimeoutMs}, node: node, addrs: addrs}
	s.queue(Message{Bytes: peer.AppendValue(nil, kindHello, hello{node, addrs})})
	return s
}

// Feed processes bytes that were read. It returns the resulting events, and a fault if the other side broke the
// protocol.
func (s *Successor) Feed(now float64, b []byte) (events []Event, fault *peer.Fault) {
	s.reader.Feed(b)
	for {
		f, ok, fault := s.reader.Next()
		if fault != nil || !ok {
			return events, fault
		}
		s.lastHeard = now
		e, fault := s.handleFrame(f)
		if fault != nil {
			return events, fault
		}
		if e != nil {
			events = append(events, e)
		}
	}
}

func (s *Successor) handleFrame(f peer.Frame) (Event, *peer.Fault) {
	switch {
	case f.Kind == kindWelcome && s.assembler == nil:
		var w welcome
		if fault := peer.DecodeValue(f, &w); fault != nil {
			return nil, fault
		}
		if w.DrainRevision > maxRevision {
			return nil, peer.NewFault("bad-welcome", "drain revision %d", w.DrainRevision)
		}
		if w.Node != s.node || len(w.Fronts) > maxFronts {
			return nil, peer.NewFault("other-node", "predecessor is node %q, this is node %q, or it names too many fronts", w.Node, s.node)
		}
		for i, name := range w.Fronts {
			if s.addrs[name] == "" || i > 0 && w.Fronts[i-1] == name {
				return nil, peer.NewFault("other-front", "front %q was not requested or is repeated", name)
			}
		}
		s.assembler = peer.NewReportAssembler(w.Summary)
		return ListenersReceived{w.Fronts, drainState(w.OperatorDrained, w.DrainRevision)}, nil
	case f.Kind == peer.KindRefuse:
		return nil, peer.NewFault("refused", "%s", peer.DescribeFrame(f))
	case (f.Kind == peer.KindSection || f.Kind == peer.KindEnd) && s.assembler != nil && !s.complete:
		if fault := s.assembler.Add(f); fault != nil {
			return nil, fault
		}
		r, complete := s.assembler.Report()
		if !complete {
			return nil, nil
		}
		s.complete, s.deadline = true, 0
		return KnowledgeReceived{r}, nil
	case f.Kind == kindLoad && s.complete:
		e, fault := decodeLoad(f)
		if fault != nil {
			return nil, fault
		}
		return e, nil
	case f.Kind == kindYielded && s.serving:
		return PredecessorYielded{}, nil
	case f.Kind == kindConn && s.serving:
		var c Conn
		if fault := peer.DecodeValue(f, &c); fault != nil {
			return nil, fault
		}
		if c.Served < 0 || c.Front == "" || !(c.Since >= 0 && !math.IsInf(c.Since, 0)) {
			return nil, peer.NewFault("bad-conn", "invalid connection %+v", c)
		}
		return ConnReceived{c}, nil
	case f.Kind == kindClaim && s.serving:
		var c claim
		if fault := peer.DecodeValue(f, &c); fault != nil {
			return nil, fault
		}
		ids, fault := splitIDs(c.IDs)
		if fault != nil {
			return nil, fault
		}
		return ClaimReceived{ids}, nil
	case f.Kind == kindLinks && s.serving:
		var l links
		if fault := peer.DecodeValue(f, &l); fault != nil {
			return nil, fault
		}
		if len(l.Links) > MaxPoolLinks {
			return nil, peer.NewFault("many-links", "%d links exceed the limit of %d", len(l.Links), MaxPoolLinks)
		}
		return LinksReceived(l), nil
	}
	return nil, peer.NewFault("bad-order", "unexpected frame of kind %d", f.Kind)
}

// SendClaimed answers a claim.
func (s *Successor) SendClaimed(granted, known []string) {
	s.queue(Message{Bytes: peer.AppendValue(nil, kindClaimed, claimed{appendIDs(nil, granted), appendIDs(nil, known)})})
}

// Complete reports whether everything needed to serve has arrived.
func (s *Successor) Complete() bool { return s.complete }

// SendDrain reports the operators' drain at once.
func (s *Successor) SendDrain(drain core.DrainState) {
	if s.complete {
		s.SendLoad(s.lastLoad, nil, drain)
	}
}

// SendServing informs the predecessor that this process accepts new connections.
func (s *Successor) SendServing() {
	if s.complete && !s.serving {
		s.serving = true
		s.queue(Message{Bytes: peer.AppendValue(nil, kindServing, serving{AnswersClaims: true, CollectsResults: true})})
	}
}

// CheckTimeouts returns a fault if a timeout has expired. The caller must have fed all bytes that arrived before
// readUntil.
func (s *Successor) CheckTimeouts(readUntil float64) *peer.Fault { return s.checkTimeouts(readUntil) }

// The platform may kill a process that was told to stop after the longest deadline of a class, but at most maxDeadlineMs, plus
// platformExtraMs. The process ends graceMarginMs before that.
const (
	maxDeadlineMs   = 3000
	platformExtraMs = 700
	graceMarginMs   = 100
)

// GraceMs returns the time that a process surely has to finish after the signal to stop, in milliseconds.
func GraceMs(classes []whinrudder.Class) float64 {
	longest := 0.0
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxDeadlineMs) + platformExtraMs - graceMarginMs
}
