// Package rehearse plays recorded exchange files against a payout node and reports where the node behaves
// differently. The node runs on loopback sockets, between callers that speak HTTP, HTTP/2 or uwsgi and fakes of the
// worker pool, the announce service and a ZooKeeper ensemble. The package's tests and the rehearse command share it.
//
// An exchange is a text file of steps, one per line. Steps that send are carried out as written. Steps that receive
// wait for the next input, and the player writes into its transcript what was received. The transcript is compared
// with the file line by line, so a file states its own expected result. Lines that start with # are comments.
//
//	node KEY=VALUE ...         starts the node with these settings; the first step
//	pool up                    the worker pool accepts the link and reports WARM
//	pool > LINE                the worker pool sends LINE to the node
//	pool < LINE                the next line that the node sends to the worker pool, except polls for gauges
//	pool unordered N           the next N lines may come in any order; the steps after it read them in sorted order
//	pool drop                  the worker pool closes its side of the link
//	pool mute                  the worker pool stops answering polls, so the node cannot know that a command was read
//	pool polled                waits until the worker pool has answered a poll that came after this step
//	call NAME CLASS ID k=v ..  caller NAME sends a request: wait, time, kb, rank, from, key, token, body
//	                           (a caller NAME.http or NAME.uwsgi speaks that protocol whatever the play's protocol is)
//	check NAME [real]          caller NAME sends a health check
//	door NAME.admin METHOD PATH   an operator sends a request to the admin port, on a connection of its own
//	answer NAME ...            the answer that the caller reads: status, advice, body; for several callers, NAME,NAME,
//	                           the first answer that comes, because the node may read their requests in any order
//	send NAME "BYTES"          sends raw bytes, quoted as in Go
//	recv NAME "BYTES"          the raw answer, with the value of Srv-Load replaced by N
//	close NAME                 the caller closes its connection
//	log NAME CODE              the code in the log line of the caller's connection
//	announce < TEXT            waits for a load report with that text
//	reload [KEY=VALUE ...]     the pool and the announce service get new addresses, and the node reads the new
//	                           configuration; the pool sends over the old link until the node has opened the new one
//	reload faulty              the node reads a configuration that is not valid JSON
//	reload lacking KEY         the node reads a configuration without that key
//	reloaded CODE [kept=..]    the result of the reload, from the node's log
//	upgrade                    starts another process beside the node, with the same addresses and a worker pool of its
//	                           own; the steps that follow apply to the new process
//	former STEP                carries out STEP on the process that ran before the upgrade
//	fall                       kills the current process; the former process becomes the current one again
//	custody CODE               waits for a log line on which process owns the journal of kept operations
//	handover SIDE CODE         the next log line about a handover
//	restart                    kills the node and starts another one on its stored state
//	resolve KEY HOW [RESULT] [=> WHY]   an operator resolves a kept operation as finished, failed or not-run; WHY is
//	                           the error if that fails
//	leave                      sends the signal to drain
//	held N                     waits until the node has N pending requests
//	wait MS                    waits that many milliseconds
//	end                        waits until the node has ended
//	frame, flood, mute, heard  frames of HTTP/2, see h2.go
//	zk ...                     see ensemble.go
//	ensemble                   starts the ensemble before the node, so that zk steps may come first
//	donor NAME ...             starts a donor of the peer protocol, see peers.go; it comes before the step node, whose
//	                           option peers makes the node use the donors
//	peer take NAME CODE        the code in the log line of the connection to a donor
//	peer over N                the node has asked its donors, and N of them answered with a report
//	prior CODE ...             the next log line about a prior
//	taker NAME RESULT          a taker requests the node's learned state
package rehearse

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"whinrudder/internal/journal"
	"whinrudder/internal/kept"
)

// stepTimeout bounds each wait of a player. It does not decide an outcome: either the awaited input comes, or the
// transcript differs from the file.
const stepTimeout = 10 * time.Second

// Play plays an exchange over a protocol: http, uwsgi or h2c. It returns the steps of the file as want and the
// transcript to compare with them as got.
func Play(text, protocol string) (want, got []string, err error) {
	p := &player{protocol: protocol, options: defaultOptions(), callers: map[string]*caller{}, log: newLogRecorder()}
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

// player carries out the steps of one exchange. The embedded process is the current process of the node.
type player struct {
	protocol string            // the protocol of the play: http, uwsgi or h2c
	options  map[string]string // see defaultOptions
	process
	former     *process // the process that the current one succeeds, or nil
	mu         sync.Mutex
	config     string // the text of the node's configuration, guarded by mu
	keptDir    string // the node's folder of kept operations
	authFile   string // the file of credentials for the ensemble
	upgradeDir string // the folder in which a process hands over to its successor
	announce   *fakeAnnounce
	zk         *fakeEnsemble
	callers    map[string]*caller
	donors     fakeDonors
	log        *logRecorder
}

// step carries out a line and returns the line for the transcript, with what was received.
func (p *player) step(line string) (string, error) {
	word, rest, _ := strings.Cut(line, " ")
	name, args, _ := strings.Cut(rest, " ")
	if word == "donor" {
		return p.donors.add(line, name, args)
	}
	if word == "ensemble" {
		var err error
		p.zk, err = newFakeEnsemble()
		return line, err
	}
	if p.node == nil && word != "node" && word != "zk" {
		return "", fmt.Errorf("a step that needs a node comes before the step node")
	}
	switch word {
	case "taker", "peer", "prior":
		return p.peerStep(line, word, name, args)
	case "node":
		return line, p.start(strings.Fields(rest))
	case "pool":
		return p.pool.step(line, name, args)
	case "zk":
		if p.zk == nil {
			return "", fmt.Errorf("no ensemble was started")
		}
		for donorName, donor := range p.donors.byName { // %NAME% stands for the address of donor NAME
			args = strings.ReplaceAll(args, "%"+donorName+"%", donor.listener.Addr().String())
		}
		return p.zk.step(line, name, args)
	case "announce":
		return "announce < " + p.announce.wait(args), nil
	case "call", "check", "send", "door":
		c := p.callers[name]
		if c == nil || (c.protocol == "uwsgi" || c.protocol == "admin") && word != "send" {
			var err error
			if c, err = p.dial(name); err != nil {
				return word + " " + name + " refused", nil
			}
			p.callers[name] = c
		}
		return line, c.send(word, args)
	case "answer", "recv", "close":
		var callers []*caller
		for callerName := range strings.SplitSeq(name, ",") {
			if p.callers[callerName] == nil {
				return "", fmt.Errorf("no caller %q", callerName)
			}
			callers = append(callers, p.callers[callerName])
		}
		if word == "close" {
			return line, callers[0].conn.Close()
		}
		return word + " " + name + " " + firstAnswer(callers, word, args), nil
	case "log":
		c := p.callers[name]
		if c == nil {
			return "", fmt.Errorf("the step log names an unknown caller")
		}
		front := c.protocol
		if front == "peer" {
			front = "" // log lines of the peer port have no front
		}
		return "log " + name + " " + p.log.waitConn(front+" "+c.conn.LocalAddr().String()), nil
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
			return "", fmt.Errorf("caller %s does not speak h2c", name)
		case word == "frame":
			return line, c.h2.sendFrame(args)
		case word == "flood":
			return line, c.h2.sendFlood(args)
		case word == "mute":
			c.h2.mu.Lock()
			defer c.h2.mu.Unlock()
			c.h2.mute = true
			return line, nil
		}
		return "heard " + name + " " + c.h2.nextOtherFrame(), nil
	case "former":
		return p.asFormer(rest)
	case "upgrade":
		return line, p.upgrade()
	case "fall":
		return line, p.fall()
	case "handover":
		return "handover " + name + " " + p.log.waitHandover(name), nil
	case "custody":
		return "custody " + p.log.waitCustody(name), nil
	case "held":
		for deadline := time.Now().Add(stepTimeout); fmt.Sprint(p.node.PendingRequests()) != rest && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		return fmt.Sprint("held ", p.node.PendingRequests()), nil
	case "wait":
		ms, err := strconv.Atoi(rest)
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return line, err
	case "reload":
		return line, p.reload(strings.Fields(rest))
	case "reloaded":
		return "reloaded " + p.log.waitReload(), nil
	case "restart":
		return line, p.restart()
	case "resolve":
		line, _, _ := strings.Cut(line, " => ")
		rest, _, _ = strings.Cut(rest, " => ")
		key, how, _ := strings.Cut(rest, " ")
		how, result, _ := strings.Cut(how, " ")
		resolution := kept.Resolution{Key: key, Kind: map[string]journal.Kind{
			"finished": journal.Finished, "failed": journal.Failed, "not-run": journal.NotRun}[how],
			Result: []byte(result), By: "player"}
		if err := kept.Resolve(p.keptDir, "r1", resolution, float64(time.Now().UnixMilli())); err != nil {
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
		case <-time.After(stepTimeout):
			return "end never", nil
		}
	}
	return "", fmt.Errorf("unknown step %q", word)
}

// dial connects a caller. A suffix of the name, such as .http or .uwsgi, selects the caller's protocol in place of
// the protocol of the play.
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

// leftovers returns a transcript line for each input that no step of the file read.
func (p *player) leftovers() (out []string) {
	if p.pool != nil {
		for _, l := range p.pool.readAhead {
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
	return append(out, p.log.duplicates()...)
}

// close kills the processes that still run, closes all sockets and removes the temporary files.
func (p *player) close() {
	for _, proc := range []*process{&p.process, p.former} {
		if proc == nil || proc.stop == nil {
			continue
		}
		select {
		case <-proc.ended:
		default:
			proc.node.Kill()
			<-proc.ended
		}
	}
	if p.former != nil {
		p.former.pool.close()
	}
	if p.upgradeDir != "" {
		os.RemoveAll(p.upgradeDir)
	}
	for _, c := range p.callers {
		c.conn.Close()
	}
	if p.pool != nil {
		p.pool.close()
	}
	if p.announce != nil {
		p.announce.conn.Close()
	}
	if p.zk != nil {
		p.zk.close()
	}
	p.donors.close()
	if p.authFile != "" {
		os.Remove(p.authFile)
	}
	if p.keptDir != "" {
		os.RemoveAll(p.keptDir)
	}
}

// parsePairs parses key=value words. A value may be quoted as in Go.
func parsePairs(text string) map[string]string {
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
