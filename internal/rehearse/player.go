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
//	custody CODE               waits for a line of the log on who has the journal of kept operations
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
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"whinrudder/internal/journal"
	"whinrudder/internal/kept"
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
	auth    string // file of credentials for the ensemble
	shared  string // folder of processes that succeed each other
	reports *reportStandIn
	zk      *ensemble
	callers map[string]*caller
	peers   peers
	log     *logBook
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
		return "handover " + name + " " + p.log.handover(name), nil
	case "custody":
		return "custody " + p.log.custodian(name), nil
	case "held":
		for late := time.Now().Add(patience); fmt.Sprint(p.node.PendingRequests()) != rest && time.Now().Before(late); {
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
		return "reloaded " + p.log.reload(), nil
	case "restart":
		return line, p.restart()
	case "resolve":
		line, _, _ := strings.Cut(line, " => ")
		rest, _, _ = strings.Cut(rest, " => ")
		key, how, _ := strings.Cut(rest, " ")
		how, result, _ := strings.Cut(how, " ")
		w := kept.Resolution{Key: key, Kind: map[string]journal.Kind{"finished": journal.Finished, "failed": journal.Failed, "not-run": journal.NotRun}[how],
			Result: []byte(result), By: "player"}
		if err := kept.Resolve(p.folder, "r1", w, float64(time.Now().UnixMilli())); err != nil {
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
	if p.auth != "" {
		os.Remove(p.auth)
	}
	if p.folder != "" {
		os.RemoveAll(p.folder)
	}
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
