package kept

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"whinrudder"
	"whinrudder/internal/core"
	"whinrudder/internal/journal"
	"whinrudder/internal/ops"
	"whinrudder/internal/pool"
	"whinrudder/internal/settings"
	"whinrudder/internal/storagetest"
)

// harness drives a node, its disk, its worker pool and its callers step by step in virtual time. The core, the table of
// operations, the link and the journal are the real ones; the disk and the worker pool are fakes. The worker pool
// outlives crashes of the node and records all runs.
type harness struct {
	now            float64
	dir            *storagetest.Dir
	config         settings.KeptConfig
	replaysNotices bool // the worker pool reports runs that ended before a reboot to the node again

	core    *core.Core
	table   *ops.Table
	j       *journal.Journal
	link    *pool.Link
	writes  []ops.Write // queued for the next flush, like fetches and drops
	fetches []core.Fetch
	drops   []uint32
	down    bool  // the node has crashed
	bootErr error // of the last boot, if the journal could not be opened

	connected     bool
	poolInput     []byte          // sent to the worker pool and not yet read
	runs          map[string]*run // by request ID
	runOrder      []string        // request IDs in the order in which their runs started
	poolSerial    uint64          // of the worker pool's last notice
	notices       []notice
	noticedSerial uint64 // serial up to which the link has received notices; 0 after a boot with replaysNotices

	notRunKeys map[string]bool // keys whose last record in the journal is NotRun
	requests   map[string]*testRequest
	lastID     int
	violations []string // descriptions of broken rules
}

// run is an execution in the worker pool.
type run struct {
	key, body string
	finished  bool
}

// notice is the worker pool's report of a finished run.
type notice struct {
	serial uint64
	line   string
}

// testRequest is a request with its answers.
type testRequest struct {
	id, key, body string
	arrivedAt     float64
	due           float64
	abandoned     bool // the caller or its connection is gone, so no answer is due
	answers       []core.Answer
	promised      bool // served after the result was durable
}

// Deliver implements core.Sink.
func (req *testRequest) Deliver(answer core.Answer) { req.answers = append(req.answers, answer) }

func newHarness(seed uint64, config settings.KeptConfig) *harness {
	return newHarnessOn(storagetest.New(seed), config)
}

func newHarnessOn(dir *storagetest.Dir, config settings.KeptConfig) *harness {
	h := &harness{now: 1e6, dir: dir, config: config, runs: map[string]*run{}, requests: map[string]*testRequest{},
		notRunKeys: map[string]bool{}, replaysNotices: true}
	h.boot()
	return h
}

var defaultConfig = settings.KeptConfig{Dir: "x", Classes: []string{"book"}, MaxOperations: 1000, DiskMB: 64, SegmentMB: 1,
	ResultTTLMs: 3600e3, InDoubtTTLMs: 7200e3}

// boot starts a node on the directory and connects it to the worker pool. It sets bootErr if the journal can't be
// opened.
func (h *harness) boot() {
	h.down = true
	c, err := core.New(whinrudder.Settings{Cores: 64, Memory: 1e9, Tick: 2, Halt: whinrudder.StopAbort, Callers: 3,
		MaxRetryAfter: 1000, CreditMode: whinrudder.CreditWindow, PassesDeadline: true, ReportsCancellation: true,
		Rules:   whinrudder.Rules{FallMultiple: 6},
		Classes: []whinrudder.Class{{Aim: 15000, Deadline: 80000, Worth: 3, Repeat: whinrudder.Unsafe}}}, 1)
	if err != nil {
		panic(err)
	}
	table := ops.New(ops.Limits{Keys: h.config.MaxOperations, DiskBytes: int64(h.config.DiskMB) << 20,
		SegmentBytes: int64(h.config.SegmentMB) * 300, AgeMs: h.config.ResultTTLMs, DoubtMs: h.config.InDoubtTTLMs})
	j, _, err := journal.Open(h.dir, journal.Options{Node: "n1", SegmentBytes: int64(h.config.SegmentMB) * 300},
		table.Recover)
	if err != nil {
		h.bootErr = err
		return
	}
	table.FinishRecovery(h.now, j.Segments())
	c.KeepResults(table, map[int]string{0: "book"})
	h.core, h.table, h.j, h.link, h.down = c, table, j, pool.New([]string{"book"}, nil), false
	h.writes, h.fetches, h.drops, h.bootErr = nil, nil, nil, nil
	h.lastID++
	h.connected, h.noticedSerial = false, 0
	if !h.replaysNotices {
		h.noticedSerial = h.poolSerial
	}
	h.connect()
}

// crash kills the node; unsynced data is lost. Runs in the worker pool continue.
func (h *harness) crash() {
	h.down = true
	h.connected, h.poolInput = false, nil
	h.dir.Reboot()
	for _, req := range h.requests {
		req.abandoned = req.abandoned || len(req.answers) == 0 // the crash has closed its connection
	}
}

// step passes inputs to the core and handles its outputs.
func (h *harness) step(in ...core.Input) {
	if h.down {
		return
	}
	for _, o := range h.core.Step(h.now, in) {
		switch o := o.(type) {
		case core.Reply:
			o.To.Deliver(o.Answer)
			if req, ok := o.To.(*testRequest); ok {
				h.checkAnswer(req, o.Answer)
			}
		case core.Spawn, core.Suspend, core.Poll, core.Verify:
			h.link.Enqueue(o)
		case core.Append:
			h.writes = append(h.writes, o.Write)
		case core.Fetch:
			h.fetches = append(h.fetches, o)
		case core.DropSegment:
			h.drops = append(h.drops, o.Segment)
		}
	}
	if h.connected {
		h.poolInput = h.link.AppendCommands(h.poolInput)
	}
}

// checkAnswer checks an answer against the rules and records violations.
func (h *harness) checkAnswer(req *testRequest, answer core.Answer) {
	violate := func(format string, args ...any) { h.violations = append(h.violations, fmt.Sprintf(format, args...)) }
	if len(req.answers) > 1 {
		violate("%s got %d answers, want 1", req.id, len(req.answers))
	}
	runCount := 0
	for _, run := range h.runs {
		if run.key == req.key {
			runCount++
			if answer.Outcome == core.Served && run.body != req.body {
				violate("%s of %s was served the result of a request with another body", req.id, req.key)
			}
		}
	}
	if answer.Kept == "not-run" {
		for _, s := range []string{" writing ", " running ", " ending "} {
			if strings.Contains(h.table.Dump(), req.key+s) {
				violate("%s of %s was refused as not run while its operation was in progress", req.id, req.key)
			}
		}
	}
	if answer.Outcome == core.Served {
		if want := "r:" + req.key; string(answer.Result) != want || runCount == 0 && !strings.HasPrefix(req.key, "book/s") {
			violate("%s of %s was served %q after %d runs, want %q after a run", req.id, req.key, answer.Result, runCount,
				want)
		}
		req.promised = strings.Contains(h.table.Dump(), req.key+" done ")
	}
	if run := h.runs[req.id]; answer.Outcome == core.Refused && run != nil {
		violate("%s was refused, but it ran", req.id)
	}
	for _, other := range h.requests {
		if other.promised && other.key == req.key && other.body == req.body && answer.Outcome == core.Failed &&
			answer.Kept == "in-doubt" {
			violate("%s of %s is in doubt, but %s was served its durable result", req.id, req.key, other.id)
		}
	}
}

// request sends a request with a deadline of 5 seconds.
func (h *harness) request(key, body string) *testRequest { return h.requestWithin(key, body, 5000) }

// requestWithin sends a request that is due after waitMs.
func (h *harness) requestWithin(key, body string, waitMs float64) *testRequest {
	h.lastID++
	req := &testRequest{id: fmt.Sprintf("%016x", h.lastID), key: "book/" + key, body: body, arrivedAt: h.now,
		due: h.now + waitMs}
	if h.down {
		req.abandoned = true
		return req
	}
	h.requests[req.id] = req
	h.step(core.RequestArrived{Request: &core.Request{ID: req.id, ArrivedAt: h.now, Due: req.due, KB: 20, Token: key,
		Body: []byte(body), ReplyTo: req}})
	return req
}

// abandon makes the caller of a request give up.
func (h *harness) abandon(req *testRequest) {
	req.abandoned = true
	h.step(core.CallerGone{ID: req.id, ReplyTo: req})
}

// flush does the work of the Store's goroutines: it drops segments, reads records and writes one batch.
func (h *harness) flush() {
	if h.down {
		return
	}
	writes, fetches, drops := h.writes, h.fetches, h.drops
	h.writes, h.fetches, h.drops = nil, nil, nil
	for _, seg := range drops {
		err := h.j.DropOldest()
		h.step(core.SegmentDropped{Segment: seg, Err: err, Segments: h.j.Segments()})
	}
	for _, fetch := range fetches {
		record, err := journal.Read(h.dir, fetch.Position)
		h.step(core.RecordFetched{ID: fetch.ID, Position: fetch.Position, Result: record.Result, Err: err})
	}
	store := Store{dir: h.dir, j: h.j, stop: make(chan struct{}), host: Host{
		Log: func(string, ...any) {}, Send: func(input core.Input) {
			if appended, ok := input.(core.Appended); ok {
				for n := range appended.Positions {
					if record := writes[n].Record; record.Kind != 0 {
						h.notRunKeys[record.Key] = record.Kind == journal.NotRun
					}
				}
				writes = writes[len(appended.Positions):]
			}
			h.step(input)
		}}}
	close(store.stop) // so that it does not wait before a retry
	for _, write := range writes {
		if write.Record.Kind == journal.Intended {
			h.notRunKeys[write.Record.Key] = false // even if the write fails, a crash may leave the intent in the journal
		}
	}
	if len(writes) > 0 {
		store.writeBatch(writes)
	}
}

// connect replaces the link's connection to the worker pool and runs the pool.
func (h *harness) connect() {
	h.disconnect()
	h.connected = true
	h.poolInput = append(h.poolInput, h.link.StartConnection()...)
	h.runPool()
}

// disconnect closes the link's connection, if there is one.
func (h *harness) disconnect() {
	if h.connected {
		h.connected, h.poolInput = false, nil // commands that the pool has not read are lost
		h.step(core.LinkLost{})
	}
}

// receive passes a line from the worker pool to the node.
func (h *harness) receive(line string) {
	if !h.connected || h.down {
		return
	}
	inputs, reply, err := h.link.Feed([]byte(line + "\n"))
	if err != nil {
		h.violations = append(h.violations, err.Error())
	}
	h.step(inputs...)
	h.poolInput = append(h.poolInput, reply...)
}

// runPool makes the worker pool read and execute all commands that were sent to it.
func (h *harness) runPool() {
	for len(h.poolInput) > 0 {
		text := string(h.poolInput)
		h.poolInput = nil
		for line := range strings.Lines(text) {
			v := fastjson.MustParse(line)
			call := string(v.GetStringBytes("call"))
			switch string(v.GetStringBytes("msg")) {
			case "bind":
				h.receive(`{"msg":"bound","how":"WARM","duration":900}`)
				for _, n := range h.notices {
					if n.serial > h.noticedSerial {
						h.sendNotice(n)
					}
				}
			case "poll":
				h.receive(fmt.Sprintf(`{"msg":"polled","cookie":%q,"stats":[]}`, v.GetStringBytes("cookie")))
			case "spawn":
				if h.runs[call] != nil {
					continue
				}
				r := &run{key: h.requests[call].key, body: h.requests[call].body}
				for id, o := range h.runs {
					if o.key == r.key {
						h.violations = append(h.violations,
							fmt.Sprintf("%s runs for %s, but %s has run already", call, r.key, id))
					}
				}
				h.runs[call] = r
				h.runOrder = append(h.runOrder, call)
			}
		}
	}
}

// finishRun ends a run and makes the worker pool report it.
func (h *harness) finishRun(id string) {
	h.runs[id].finished = true
	h.poolSerial++
	n := notice{serial: h.poolSerial,
		line: fmt.Sprintf(`"call":%q,"how":"OK","duration":5,"blob":%q}`, id, b64("r:"+h.runs[id].key))}
	h.notices = append(h.notices, n)
	if h.connected {
		h.sendNotice(n)
	}
}

// sendNotice sends a notice to the node. If the pool replays notices, a rebooted node gets them from serial 1 on.
func (h *harness) sendNotice(n notice) {
	h.noticedSerial = n.serial
	h.receive(fmt.Sprintf(`{"msg":"finished","serial":%d,%s`, n.serial, n.line))
}

// unfinishedRuns returns the request IDs of the runs in progress.
func (h *harness) unfinishedRuns() (out []string) {
	for _, id := range h.runOrder {
		if !h.runs[id].finished {
			out = append(out, id)
		}
	}
	return out
}

// advance moves the time forward and steps the core at each of its timers.
func (h *harness) advance(ms float64) {
	for end := h.now + ms; h.now < end; {
		next := end
		if !h.down {
			if at := h.core.Next(); at > h.now && at < end {
				next = at
			}
		}
		h.now = next
		h.step()
		if h.connected {
			h.runPool()
		}
	}
}

// settle lets all work end, with a disk that works, and checks the outcome. Every request must have one answer. A final
// request of each key must be served; it may be in doubt if the operation never ran, or if the worker pool does not
// repeat its notices, so that the node can't learn of the run.
func (h *harness) settle(keys []string) {
	h.dir.SetFaults(nil)
	if h.down {
		h.boot()
		if h.bootErr != nil {
			h.violations = append(h.violations, "the journal can't be opened: "+h.bootErr.Error())
			return
		}
	}
	if !h.connected {
		h.connect()
	}
	for range 4 {
		h.runPool()
		h.flush()
		for _, id := range h.unfinishedRuns() {
			h.finishRun(id)
		}
		h.flush()
		h.advance(50)
	}
	h.advance(10000)
	h.flush()
	for _, id := range slices.Sorted(func(yield func(string) bool) {
		for id := range h.requests {
			if !yield(id) {
				return
			}
		}
	}) {
		if req := h.requests[id]; !req.abandoned && len(req.answers) != 1 {
			h.violations = append(h.violations,
				fmt.Sprintf("%s of %s got %d answers, want 1", id, req.key, len(req.answers)))
		}
	}
	for _, key := range keys {
		req := h.finalRequest(key)
		for tries := 0; tries < 20 && len(req.answers) == 1 && req.answers[0].Outcome == core.Refused; tries++ {
			h.advance(2000) // the node may be full, or may have learned long run times
			req = h.finalRequest(key)
		}
		everRan := slices.ContainsFunc(h.runOrder, func(id string) bool { return h.runs[id].key == req.key })
		bodiesDiffer := false // a request with another body may have been the first
		for _, other := range h.requests {
			bodiesDiffer = bodiesDiffer || other.key == req.key && other.body != req.body
		}
		valid := false
		if len(req.answers) == 1 {
			answer := req.answers[0]
			valid = answer.Outcome == core.Served ||
				answer.Kept == "in-doubt" && !h.notRunKeys[req.key] && !(h.replaysNotices && everRan) ||
				answer.Kept == "other-body" && bodiesDiffer
		}
		if !valid {
			h.violations = append(h.violations,
				fmt.Sprintf("final request %s of %s got answers %+v", req.id, req.key, req.answers))
		}
	}
}

// finalRequest sends a request and waits until it has been answered.
func (h *harness) finalRequest(key string) *testRequest {
	req := h.requestWithin(key, "b:"+key, 60000) // long, because a run that hung may have raised the learned run times
	for range 6 {
		h.flush()
		h.runPool()
		for _, id := range h.unfinishedRuns() {
			h.finishRun(id)
		}
		h.advance(40)
	}
	return req
}
