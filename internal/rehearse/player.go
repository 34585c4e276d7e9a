// Package rehearse plays recorded exchange files against a payout node and tells what went differently. The node
// runs on loopback sockets, between callers that speak HTTP or uwsgi and toy stand-ins of the worker pool, the
// announce service and a ZooKeeper ensemble. The tests and the rehearse command share it.
//
// An exchange is a text file of steps, one a line. Steps that send are carried out as written. Steps that
// receive wait for what comes next, and the player notes what really came; the transcript is compared with the
// file line by line, so a file is its own expectation. Lines that open with # are remarks.
//
//	node KEY=VALUE ...         the node's settings; the first step
//	pool up                    the worker pool takes the link and says WARM
//	pool > LINE                the worker pool says LINE
//	pool < LINE                the next line that the node says to it, polls for gauges apart
//	pool unordered N           the next N lines may come in any order; they are then told in order of the alphabet
//	pool drop                  the worker pool ends the link
//	pool mute                  the worker pool answers no more polls, so that no command is known to have been read
//	pool polled                waits until the worker pool has answered a poll that came after this step
//	call NAME CLASS ID k=v ..  caller NAME sends a request: wait, time, kb, rank, from, key, token, body
//	                           (a NAME.http or NAME.uwsgi speaks that protocol in any play)
//	check NAME [real]          caller NAME sends a health check
//	door NAME.admin METHOD PATH   an operator calls at the door, on a connection of its own
//	answer NAME ...            the answer that the caller reads: status, advice, body; of several, NAME,NAME, the
//	                           first that comes, as what they sent may be read in any order
//	send NAME "BYTES"          raw bytes, quoted as in Go
//	recv NAME "BYTES"          the raw answer, its Srv-Load as N
//	close NAME                 the caller closes its connection
//	log NAME CODE              the line that the connection left in the log
//	announce < TEXT            waits for a report of that text
//	reload [KEY=VALUE ...]     the pool and the announce service get new addresses, and the node reads the new file;
//	                           what the pool says goes over the old link until the node has made the new one
//	reload faulty              the node reads a file that is none
//	reload lacking KEY         the node reads a file that lacks a key
//	reloaded CODE [kept=..]    what the node logged of it
//	upgrade                    another process is started beside the node, with the same addresses and a worker pool of its
//	                           own; the steps that follow are of that one
//	former STEP                a step of the process that was there before
//	fall                       the present process is killed, and the former one is the present one again
//	handover SIDE CODE         the next line of the log that tells of a handover
//	restart                    the node is killed, and another is started on what it left
//	resolve KEY HOW [RESULT] [=> WHY]   an operator's word on a kept operation: finished, failed or not-run; WHY it fails
//	leave                      the notice to drain
//	held N                     waits until the node has N requests in hand
//	wait MS                    so many milliseconds pass
//	end                        the node has ended
//	frame, mute, heard         frames of HTTP/2, see h2.go
//	zk ...                     see ensemble.go
//	ensemble                   the ensemble is there before the node, so that zk steps may come first
//	donor NAME ...             a donor of the peer protocol, see peers.go; before the node, which is then to be told of
//	                           it by the option peers
//	peer take NAME CODE        the line that the connection to a donor left in the log
//	peer over N                the node has asked its donors, and so many gave
//	prior CODE ...             the next line of the log that tells of a prior
//	taker NAME RESULT          a taker asks the node for what it knows
package rehearse

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"whinrudder/internal/journal"
	"whinrudder/internal/kept"
	"whinrudder/internal/node"
	"whinrudder/internal/settings"
)

// patience bounds each wait of a player. It decides no outcome: what is waited for comes, or the play differs.
const patience = 10 * time.Second

// Play plays an exchange over a protocol, http or uwsgi, and returns the transcript to compare with its lines.
func Play(text, protocol string) (want, got []string, err error) {
	p := &player{protocol: protocol, opts: options(), callers: map[string]*caller{}, log: newLogBook()}
	defer p.close()
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		want = append(want, line)
		out, err := p.step(line)
		if err != nil {
			return want, got, fmt.Errorf("%q: %w", line, err)
		}
		got = append(got, out)
	}
	return want, append(got, p.leftovers()...), nil
}

type player struct {
	protocol string
	opts     map[string]string
	process
	former  *process // the process that the present one is to succeed
	mu      sync.Mutex
	file    string // the configuration, as the node would read it now
	folder  string // of kept results
	shared  string // folder of processes that succeed each other
	reports *reportStandIn
	zk      *ensemble
	callers map[string]*caller
	peers   peers
	log     *logBook
}

// process is one process of the node, with its worker pool.
type process struct {
	node  *node.Node
	op    settings.Operator
	stop  chan os.Signal
	hup   chan os.Signal
	ended chan struct{}
	pool  *poolStandIn
}

func options() map[string]string {
	return map[string]string{"cores": "2", "aim_ms": "6000", "deadline_ms": "9000", "stop_ms": "3000",
		"sockets": "128", "fresh_ms": "0", "keepalive_ms": "30000", "deep": "true", "take_ms": "5000", "kept": "0",
		"admin": "", "listen": "127.0.0.1:0", "upgrade": "", "classes": "status-lookup,rate-quote,payout-book"}
}

const config = `{"name":"r1","listen":"$listen","admin":"$admin","pool":"%s","announce":"%s","seed":"8c1f30d27a5be964",
"stop_ms":$stop_ms,"limits":{"cores":1.0,"memory_mb":192,"sockets":$sockets},
"settings":{"allowed":{"max_retry_after_ms":1000,"retry_after":true},"servers":3,"tick_ms":2,"worth_by":"request",
"goal":{"whole":0.6,"worst_class":0.2,"worst_window":0.2},"rules":{"cold_from":0.2,"drain_grace_ms":2000,
"fall_multiple":8,"grace_to_answer_ms":80,"overload_for_ms":1500,"ramp_time_ms":17000},
"profiles":[$profiles],
"specifics":{"below":"silent","callers":3,"cores":$cores,"deep_checks":$deep,"fresh_ms":$fresh_ms,"halt":"abort",
"heard_for_ms":1000,"keepalive_max_ms":$keepalive_ms,"entry_kb":10,"ram_kb":90000,"run_factor":16,"say":"window",
"own_stats":["cpu_busy","runnable","mem_used","sockets"],"passes_deadline":true,"tells_gone":true}}}`

// profiles are classes by their names. One whose name begins with payout runs once.
func profiles(names string) string {
	var all []string
	for n := range strings.SplitSeq(names, ",") {
		repeat, worth := "repeatable", 1
		if strings.HasPrefix(n, "payout") {
			repeat, worth = "once", 3
		}
		all = append(all, fmt.Sprintf(`{"name":%q,"aim_ms":$aim_ms,"deadline_ms":$deadline_ms,"repeat":%q,"worth":%d}`, n, repeat, worth))
	}
	return strings.Join(all, ",")
}

// start brings the node up between its stand-ins.
func (p *player) start(args []string) (err error) {
	peered, discover := false, false
	for _, a := range args {
		k, v, _ := strings.Cut(a, "=")
		if k == "zk" {
			if p.zk == nil {
				p.zk, err = newEnsemble()
			}
			if err != nil {
				return err
			}
			continue
		}
		if k == "peers" {
			peered, discover = true, v == "discover"
			continue
		}
		if _, ok := p.opts[k]; !ok {
			return fmt.Errorf("unknown option %q", k)
		}
		p.opts[k] = v
	}
	if p.pool, err = newPoolStandIn(); err != nil {
		return err
	}
	if p.reports, err = newReportStandIn(); err != nil {
		return err
	}
	p.write()
	op := settings.Operator{UWSGI: "127.0.0.1:0", H2C: "127.0.0.1:0"}
	if p.zk != nil {
		op.Ensemble, op.Path, op.SessionMs = []string{p.zk.l.Addr().String()}, "/payout-nodes", 4000
	}
	if peered {
		takeMs, _ := strconv.ParseFloat(p.opts["take_ms"], 64)
		op.Peer = p.peers.operator(takeMs, discover)
	}
	if n := p.opts["kept"]; n != "0" {
		if p.folder, err = os.MkdirTemp("", "kept"); err != nil {
			return err
		}
		keys, _ := strconv.Atoi(n)
		op.Kept = settings.Kept{Dir: p.folder, Classes: []string{"payout-book"}, Keys: keys, DiskMB: 64, SegmentMB: 1, AgeMs: 3600e3, DoubtMs: 7200e3}
	}
	if p.opts["upgrade"] != "" {
		if p.shared, err = os.MkdirTemp("", "shared"); err != nil {
			return err
		}
		op.UpgradeDir = p.shared
	}
	p.op = op
	return p.launch()
}

// upgrade starts another process beside the present one, with the same addresses and a worker pool of its own.
func (p *player) upgrade() (err error) {
	if p.former != nil {
		p.former.pool.close()
	}
	old := p.process
	p.former = &old
	if p.pool, err = newPoolStandIn(); err != nil {
		return err
	}
	p.opts["listen"] = old.node.Addr("http")
	p.op.UWSGI, p.op.H2C = old.node.Addr("uwsgi"), old.node.Addr("h2c")
	p.write()
	return p.launch()
}

// asFormer carries out a line on the process that the present one is to succeed.
func (p *player) asFormer(line string) (string, error) {
	if p.former == nil {
		return "", fmt.Errorf("there is no former process")
	}
	p.process, *p.former = *p.former, p.process
	defer func() { p.process, *p.former = *p.former, p.process }()
	out, err := p.step(line)
	return "former " + out, err
}

// fall kills the present process, as a crash would. The former one is the present one again.
func (p *player) fall() error {
	if p.former == nil {
		return fmt.Errorf("there is no former process")
	}
	p.node.Kill()
	<-p.ended
	p.pool.close()
	p.process, p.former = *p.former, nil
	return nil
}

// launch starts a node.
func (p *player) launch() error {
	cfg, err := settings.ParseConfig([]byte(p.file))
	if err != nil {
		return err
	}
	op := p.op
	if p.node, err = node.New(cfg, op, p.log); err != nil {
		return err
	}
	if err := p.node.Listen(); err != nil {
		return err
	}
	p.stop, p.hup, p.ended = make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan struct{})
	node, ended := p.node, p.ended
	go func() {
		node.Run(context.Background(), p.stop, p.hup, func() (settings.Config, settings.Operator, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			cfg, err := settings.ParseConfig([]byte(p.file))
			return cfg, op, err
		})
		close(ended)
	}()
	return nil
}

// restart kills the node, as a crash of its process would, and starts another on what it left.
func (p *player) restart() error {
	p.node.Kill()
	<-p.ended
	return p.launch()
}

// write puts the present addresses and options into the file.
func (p *player) write() {
	text := fmt.Sprintf(config, p.pool.l.Addr(), p.reports.c.LocalAddr())
	text = strings.ReplaceAll(text, "$profiles", profiles(p.opts["classes"]))
	for k, v := range p.opts {
		text = strings.ReplaceAll(text, "$"+k, v)
	}
	p.mu.Lock()
	p.file = text
	p.mu.Unlock()
}

// reload changes the file and tells the node.
func (p *player) reload(args []string) (err error) {
	if slices.Equal(args, []string{"faulty"}) {
		p.mu.Lock()
		p.file = "{"
		p.mu.Unlock()
	} else if len(args) == 2 && args[0] == "lacking" {
		p.write()
		p.mu.Lock()
		p.file = strings.ReplaceAll(p.file, `"`+args[1]+`":`, `"other":`)
		p.mu.Unlock()
	} else {
		for _, a := range args {
			k, v, _ := strings.Cut(a, "=")
			p.opts[k] = v
		}
		if err = p.pool.listen(); err == nil {
			err = p.reports.listen()
		}
		if err != nil {
			return err
		}
		p.write()
	}
	p.hup <- syscall.SIGHUP
	return nil
}

// step carries out a line and returns it as it really went.
func (p *player) step(line string) (string, error) {
	word, rest, _ := strings.Cut(line, " ")
	name, more, _ := strings.Cut(rest, " ")
	if word == "donor" {
		return p.peers.add(line, name, more)
	}
	if word == "ensemble" {
		var err error
		p.zk, err = newEnsemble()
		return line, err
	}
	if p.node == nil && word != "node" && word != "zk" {
		return "", fmt.Errorf("the first step must be node")
	}
	switch word {
	case "taker", "peer", "prior":
		return p.peerStep(line, word, name, more)
	case "node":
		return line, p.start(strings.Fields(rest))
	case "pool":
		return p.pool.step(line, name, more)
	case "zk":
		if p.zk == nil {
			return "", fmt.Errorf("the node has no ensemble")
		}
		for n, d := range p.peers.donors { // a znode may name a donor of the exchange
			more = strings.ReplaceAll(more, "%"+n+"%", d.l.Addr().String())
		}
		return p.zk.step(line, name, more)
	case "announce":
		return "announce < " + p.reports.wait(more), nil
	case "call", "check", "send", "door":
		c := p.callers[name]
		if c == nil || (c.protocol == "uwsgi" || c.protocol == "admin") && word != "send" {
			var err error
			if c, err = p.dial(name); err != nil {
				return word + " " + name + " refused", nil
			}
			p.callers[name] = c
		}
		return line, c.say(word, more)
	case "answer", "recv", "close":
		var some []*caller
		for n := range strings.SplitSeq(name, ",") {
			if p.callers[n] == nil {
				return "", fmt.Errorf("no caller %q", n)
			}
			some = append(some, p.callers[n])
		}
		if word == "close" {
			return line, some[0].c.Close()
		}
		return word + " " + name + " " + first(some, word, more), nil
	case "log":
		c := p.callers[name]
		if c == nil {
			return "", fmt.Errorf("no caller of that name")
		}
		front := c.protocol
		if front == "peer" {
			front = "" // the peer port is no front
		}
		return "log " + name + " " + p.log.code(front+" "+c.c.LocalAddr().String()), nil
	case "frame", "mute", "heard", "flood":
		c := p.callers[name]
		if c == nil {
			var err error
			if c, err = p.dial(name); err != nil {
				return "", err
			}
			p.callers[name] = c
		}
		switch {
		case c.h2 == nil:
			return "", fmt.Errorf("%s does not speak h2c", name)
		case word == "frame":
			return line, c.h2.frame(more)
		case word == "flood":
			return line, c.h2.flood(more)
		case word == "mute":
			c.h2.mu.Lock()
			defer c.h2.mu.Unlock()
			c.h2.mute = true
			return line, nil
		}
		return "heard " + name + " " + c.h2.heardOther(), nil
	case "former":
		return p.asFormer(rest)
	case "upgrade":
		return line, p.upgrade()
	case "fall":
		return line, p.fall()
	case "handover":
		return "handover " + p.log.handover(), nil
	case "held":
		for late := time.Now().Add(patience); fmt.Sprint(p.node.InHand()) != rest && time.Now().Before(late); {
			time.Sleep(time.Millisecond)
		}
		return fmt.Sprint("held ", p.node.InHand()), nil
	case "wait":
		ms, err := strconv.Atoi(rest)
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return line, err
	case "reload":
		return line, p.reload(strings.Fields(rest))
	case "reloaded":
		return "reloaded " + p.log.reload(), nil
	case "restart":
		return line, p.restart()
	case "resolve":
		line, _, _ := strings.Cut(line, " => ")
		rest, _, _ = strings.Cut(rest, " => ")
		key, how, _ := strings.Cut(rest, " ")
		how, result, _ := strings.Cut(how, " ")
		w := kept.Word{Key: key, Kind: map[string]journal.Kind{"finished": journal.Finished, "failed": journal.Failed, "not-run": journal.NotRun}[how],
			Result: []byte(result), By: "player"}
		if err := kept.Say(p.folder, "r1", w, float64(time.Now().UnixMilli())); err != nil {
			return line + " => " + err.Error(), nil
		}
		return line, nil
	case "leave":
		p.stop <- os.Interrupt
		return line, nil
	case "end":
		select {
		case <-p.ended:
			return line, nil
		case <-time.After(patience):
			return "end never", nil
		}
	}
	return "", fmt.Errorf("unknown step %q", word)
}

// dial connects a caller. A name that ends in .http or .uwsgi speaks that, whatever the exchange is played over.
func (p *player) dial(name string) (*caller, error) {
	protocol := p.protocol
	if _, suffix, ok := strings.Cut(name, "."); ok {
		protocol = suffix
	}
	if protocol == "peer" {
		return dial(p.node.PeerAddr(), protocol)
	}
	return dial(p.node.Addr(protocol), protocol)
}

// leftovers are lines that nothing in the file accounts for.
func (p *player) leftovers() (out []string) {
	if p.pool != nil {
		for _, l := range p.pool.first {
			out = append(out, "left over: pool < "+l)
		}
		for {
			select {
			case l := <-p.pool.lines:
				out = append(out, "left over: pool < "+l)
				continue
			default:
			}
			break
		}
	}
	return append(out, p.log.twice()...)
}

func (p *player) close() {
	for _, o := range []*process{&p.process, p.former} {
		if o == nil || o.stop == nil {
			continue
		}
		select {
		case <-o.ended:
		default:
			o.node.Kill()
			<-o.ended
		}
	}
	if p.former != nil {
		p.former.pool.close()
	}
	if p.shared != "" {
		os.RemoveAll(p.shared)
	}
	for _, c := range p.callers {
		c.c.Close()
	}
	if p.pool != nil {
		p.pool.close()
	}
	if p.reports != nil {
		p.reports.c.Close()
	}
	if p.zk != nil {
		p.zk.close()
	}
	p.peers.close()
	if p.folder != "" {
		os.RemoveAll(p.folder)
	}
}

// logBook takes the node's log and finds the lines that connections left.
type logBook struct {
	mu     sync.Mutex
	codes  map[string][]string
	loads  []string // of the reloads
	handed []string // of handovers
	more   chan struct{}

	streams map[string][]string // by peer: the codes of streams that could not be read, and of moves to another process
	taken   map[string][]string // by donor: the codes of the connections to it
	over    []string            // how many gave, of each round
	priors  []string
}

func newLogBook() *logBook {
	return &logBook{codes: map[string][]string{}, taken: map[string][]string{}, streams: map[string][]string{}, more: make(chan struct{}, 1)}
}

// Write takes one line of the log.
func (b *logBook) Write(line []byte) (int, error) {
	f := map[string]string{}
	for _, pair := range strings.Fields(string(line)) {
		k, v, _ := strings.Cut(pair, "=")
		f[k] = v
	}
	_, text, _ := strings.Cut(strings.TrimSpace(string(line)), " ")
	word, rest, _ := strings.Cut(text, " ")
	peer := f["front"] + " " + f["peer"] // two connections to two ports may have the same port of their own
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case word == "prior":
		b.priors = append(b.priors, strings.TrimPrefix(rest, "code="))
	case word == "peer" && f["side"] == "take" && f["peer"] != "":
		b.taken[f["peer"]] = append(b.taken[f["peer"]], f["code"])
	case word == "peer" && f["code"] == "over":
		b.over = append(b.over, f["donors"])
	case word == "handover" && f["code"] != "end": // of the own end
		b.handed = append(b.handed, f["side"]+" "+f["code"])
	case word == "conn" && f["code"] == "moved": // the connection goes on at another process
		b.streams[peer] = append(b.streams[peer], f["code"])
	case word == "reload":
		load := f["code"]
		if f["kept"] != "" {
			load += " kept=" + f["kept"]
		}
		b.loads = append(b.loads, load)
	case word == "stream":
		b.streams[peer] = append(b.streams[peer], f["code"])
	case f["peer"] != "":
		b.codes[peer] = append(b.codes[peer], f["code"])
	default:
		return len(line), nil
	}
	select {
	case b.more <- struct{}{}:
	default:
	}
	return len(line), nil
}

// code waits for the line of a connection.
func (b *logBook) code(peer string) string {
	return b.wait(func() string {
		if list := b.streams[peer]; len(list) > 0 {
			b.streams[peer] = list[1:]
			return list[0]
		}
		return strings.Join(b.codes[peer], " ")
	})
}

// reload waits for the line of the next reload.
func (b *logBook) reload() string { return b.wait(func() string { return b.shift(&b.loads) }) }

// handover waits for the next line of a handover.
func (b *logBook) handover() string { return b.wait(func() string { return b.shift(&b.handed) }) }

// shift takes the first of a list, if there is one. It is called by wait.
func (b *logBook) shift(list *[]string) (text string) {
	if len(*list) > 0 {
		text, *list = (*list)[0], (*list)[1:]
	}
	return text
}

// wait waits until there is something to tell.
func (b *logBook) wait(tell func() string) string {
	late := time.After(patience)
	for {
		b.mu.Lock()
		text := tell()
		b.mu.Unlock()
		if text != "" {
			return text
		}
		select {
		case <-b.more:
		case <-late:
			return "none"
		}
	}
}

func (b *logBook) twice() (out []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for peer, codes := range b.codes {
		if len(codes) > 1 {
			out = append(out, fmt.Sprint("left over: log of ", peer, " ", codes))
		}
	}
	return out
}

// pairs reads k=v words; a body may be quoted.
func pairs(text string) map[string]string {
	out := map[string]string{}
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimSpace(text) {
		k, rest, _ := strings.Cut(text, "=")
		if q, err := strconv.QuotedPrefix(rest); err == nil {
			out[k], _ = strconv.Unquote(q)
			text = rest[len(q):]
			continue
		}
		out[k], text, _ = strings.Cut(rest, " ")
	}
	return out
}
