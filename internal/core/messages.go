package core

import (
	"whinrudder"
	"whinrudder/internal/counters"
	"whinrudder/internal/knowledge"
)

// Outcome is how a request ended for its caller.
type Outcome uint8

// The possible outcomes of a request.
const (
	Served       Outcome = iota // answered with the result of its run
	Refused                     // this attempt never ran
	Failed                      // no result; the attempt may have run
	Duplicate                   // an earlier request has the same id; nothing was done for this one
	BodyMismatch                // an earlier request of the same operation has another body; nothing was done for this one
)

// Request is one attempt of a request, as a front read it.
type Request struct {
	ID             string
	Class          int
	Caller         int
	ArrivedAt, Due float64 // when it reached the machine, and when its caller stops waiting for the answer
	KB, Rank       float64
	Key            string
	Token          string // identifies the operation that the request is an attempt of; empty: none
	Body           []byte
	ReplyTo        Sink
}

// Answer is the final answer to a request or to a health check (Served means healthy, Failed means unhealthy).
type Answer struct {
	ID            string // of the request; empty for a health check
	Outcome       Outcome
	Result        []byte
	Credit        float64 // the credit to report to the caller; negative: none
	RetryAfter    float64 // how long the caller should wait before it retries, in milliseconds; 0: not specified
	NotElsewhere  bool    // asks the caller not to retry at another node
	Kept          string  // state of the kept operation; empty: nothing to report
	Close         bool    // this node is draining: the caller should send no further request on the connection
	WriteDeadline float64 // the connection is cut if the peer has not read the answer by then
}

// Sink receives the answer to one request or health check. Deliver must not block. The dynamic type must be comparable,
// because a Sink also identifies the request of a caller that gives up.
type Sink interface{ Deliver(Answer) }

// RunEnd is how a run ended.
type RunEnd uint8

// The ways in which a run ends.
const (
	RunOK      RunEnd = iota // with a result
	RunError                 // with an error
	RunStopped               // stopped by Suspend
	RunMoot                  // it provably did not run
)

var endCodes = [...]whinrudder.Code{RunOK: whinrudder.OK, RunError: whinrudder.Error,
	RunStopped: whinrudder.Cancelled, RunMoot: whinrudder.Moot}

// An Input is an external event for Step.
type Input interface{ input() }

type (
	// RequestArrived reports a request that a front has read completely.
	RequestArrived struct{ *Request }
	// CallerGone reports that a caller gave up the request that it sent with the given id and ReplyTo. The id alone does
	// not identify the request, because any other caller may have sent the same id.
	CallerGone struct {
		ID      string
		ReplyTo Sink
	}
	// HealthCheck is a health check; a deep one tests whether the worker pool completes work.
	HealthCheck struct {
		Deep    bool
		ReplyTo Sink
	}
	// StopNotice starts the drain: the process stops at the given time. If another process of this node has taken
	// over (HasSuccessor), clients need not move to other nodes.
	StopNotice struct {
		At           float64 // when it was given; 0: now
		StopAt       float64
		HasSuccessor bool
	}
	// PoolReady reports that the worker pool is up, whether it started cold and how many milliseconds ago it started.
	PoolReady struct {
		Cold bool
		Age  float64
	}
	// LinkSynced reports that the link to the worker pool is synchronized: all earlier notices have been read.
	// InDoubt lists the runs whose start was sent over a link that broke, so the pool may not have read it.
	LinkSynced struct{ InDoubt []string }
	// LinkLost reports that the link to the worker pool broke. Runs continue.
	LinkLost struct{}
	// RunFinished reports that a run ended.
	RunFinished struct {
		ID      string
		End     RunEnd
		Latency float64
		Result  []byte
	}
	// RunNotStarted reports that the worker pool did not start a run.
	RunNotStarted struct{ ID string }
	// GaugesRead delivers the gauges of the worker pool.
	GaugesRead struct{ whinrudder.Gauges }
	// CheckFinished reports how the work of a deep health check ended.
	CheckFinished struct {
		Tag string
		OK  bool
	}
	// QueryKnowledge asks for what the decision module has learned so far; known is false before the worker pool is
	// up. Reply must not block.
	QueryKnowledge struct {
		Reply func(k whinrudder.Knowledge, known bool)
	}
	// AdoptPrior delivers what other nodes have learned.
	AdoptPrior struct{ knowledge.Prior }
	// QueryLoad asks, on behalf of another process of this node, for the current load and for the ids of the requests
	// that were read since the last query. Reply must not block. Stop ends the collection of ids. With Claim, the requests
	// that are read from then on are held until the other process has answered their claims.
	QueryLoad struct {
		Stop  bool
		Claim bool
		Reply func(load whinrudder.Beside, ids []string)
	}
	// SiblingLoad delivers the load and the request ids of another process of this node.
	SiblingLoad struct {
		whinrudder.Beside
		IDs []string
	}
	// OperatorDrain turns the drain of clients on or off: by an operator's order to this process (Revision 0), or as another
	// process of this node reports it. Done, if not nil, gets the state that holds from now on; it must not block.
	OperatorDrain struct {
		DrainState
		Done func(DrainState)
	}
	// ChangeLimits bounds what the core remembers: the ids of ended requests that may have run, and as many of others, and
	// the size of the results that are kept to serve several requests.
	ChangeLimits struct{ MaxIDs, ResultBytes int }
	// QueryClassesInUse asks for the indices of the classes that have a request without an answer, or a run that has not ended.
	// Reply must not block.
	QueryClassesInUse struct{ Reply func(inUse map[int]bool) }
	// ChangeSettings delivers new settings. Classes keep their indices; NewIndices lists those whose learned state is
	// reset.
	ChangeSettings struct {
		Settings    whinrudder.Settings
		ClassNames  []string // by class index
		NewIndices  []int
		Counters    []*counters.Class // by class index
		KeptClasses map[int]string    // names of the classes whose results are kept, by class index
	}
)

func (RequestArrived) input() {}
func (CallerGone) input()     {}
func (HealthCheck) input()    {}
func (StopNotice) input()     {}
func (PoolReady) input()      {}
func (LinkSynced) input()     {}
func (LinkLost) input()       {}
func (RunFinished) input()    {}
func (RunNotStarted) input()  {}
func (GaugesRead) input()     {}
func (CheckFinished) input()  {}
func (QueryKnowledge) input() {}
func (AdoptPrior) input()     {}
func (OperatorDrain) input()  {}
func (QueryLoad) input()      {}
func (SiblingLoad) input()    {}
func (ChangeLimits) input()   {}
func (ChangeSettings) input() {}

func (QueryClassesInUse) input() {}

// An Output is an action that the drivers must carry out immediately.
type Output interface{ output() }

type (
	// Reply sends an answer to a connection.
	Reply struct {
		To Sink
		Answer
	}
	// Spawn starts a run.
	Spawn struct {
		ID    string
		Class int
		Body  []byte
	}
	// Suspend stops a run.
	Suspend struct{ ID string }
	// Poll requests the gauges of the worker pool.
	Poll struct{}
	// Verify starts the work of a deep health check.
	Verify struct{ Tag string }
	// SetIdleTimeout sets how many milliseconds connections may be idle.
	SetIdleTimeout struct{ After float64 }
	// Ready reports that the worker pool is up and the decision module serves requests.
	Ready struct{ Cold bool }
	// DrainStarted reports that the node starts to drain.
	DrainStarted struct{}
	// DrainConns reports that a draining node accepts no more requests on its connections.
	DrainConns struct{}
	// StopAccepting closes the listeners shortly before the process stops.
	StopAccepting struct{}
	// DrainFinished reports that all requests are answered and the process may exit.
	DrainFinished struct{}
	// LogEvent is a log entry: an event word, then alternating names and values.
	LogEvent struct {
		Event string
		Pairs []any
	}
)

func (Reply) output()          {}
func (Spawn) output()          {}
func (Suspend) output()        {}
func (Poll) output()           {}
func (Verify) output()         {}
func (SetIdleTimeout) output() {}
func (Ready) output()          {}
func (DrainStarted) output()   {}
func (DrainConns) output()     {}
func (StopAccepting) output()  {}
func (DrainFinished) output()  {}
func (LogEvent) output()       {}
