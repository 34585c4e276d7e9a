package rehearse

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// logRecorder receives the node's log and keeps the codes that steps of an exchange ask for. All fields but changed are
// guarded by mu.
type logRecorder struct {
	mu        sync.Mutex
	connCodes map[string][]string // codes of ended connections, by front and peer address
	reloads   []string            // results of reloads, in the order of the log
	handovers map[string][]string // codes of handovers, by side, because two processes write to the log
	custody   map[string]int      // number of unread lines for each of custodyCodes
	changed   chan struct{}       // holds a value if a line was recorded since the last receive

	// streamCodes has the codes of streams that could not be read and of connections that moved to another process,
	// by front and peer address.
	streamCodes map[string][]string
	donorCodes  map[string][]string // codes of the connections to donors, by donor address
	donorCounts []string            // number of donors that answered, for each round of requests
	priors      []string            // texts of the lines about priors
}

func newLogRecorder() *logRecorder {
	return &logRecorder{connCodes: map[string][]string{}, handovers: map[string][]string{}, custody: map[string]int{},
		donorCodes: map[string][]string{}, streamCodes: map[string][]string{}, changed: make(chan struct{}, 1)}
}

// Write records one line of the log. The log calls it once for each line.
func (b *logRecorder) Write(line []byte) (int, error) {
	f := map[string]string{}
	for _, pair := range strings.Fields(string(line)) {
		k, v, _ := strings.Cut(pair, "=")
		f[k] = v
	}
	_, text, _ := strings.Cut(strings.TrimSpace(string(line)), " ")
	word, rest, _ := strings.Cut(text, " ")
	peer := f["front"] + " " + f["peer"] // connections to two fronts may come from the same caller port
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case word == "prior":
		b.priors = append(b.priors, strings.TrimPrefix(rest, "code="))
	case word == "peer" && f["side"] == "take" && f["peer"] != "":
		b.donorCodes[f["peer"]] = append(b.donorCodes[f["peer"]], f["code"])
	case word == "peer" && f["code"] == "over":
		b.donorCounts = append(b.donorCounts, f["donors"])
	case word == "handover" && f["code"] != "end": // the line with code=end is about the process's own end
		b.handovers[f["side"]] = append(b.handovers[f["side"]], f["code"])
	case word == "kept" && slices.Contains(custodyCodes, f["code"]):
		b.custody[f["code"]]++
	case word == "conn" && f["code"] == "moved": // the connection continues at another process
		b.streamCodes[peer] = append(b.streamCodes[peer], f["code"])
	case word == "reload":
		load := f["code"]
		if f["kept"] != "" {
			load += " kept=" + f["kept"]
		}
		b.reloads = append(b.reloads, load)
	case word == "stream":
		b.streamCodes[peer] = append(b.streamCodes[peer], f["code"])
	case f["peer"] != "":
		b.connCodes[peer] = append(b.connCodes[peer], f["code"])
	default:
		return len(line), nil
	}
	select {
	case b.changed <- struct{}{}:
	default:
	}
	return len(line), nil
}

// waitConn waits for a log line of the connection from peer, given as front and address, and returns its code.
func (b *logRecorder) waitConn(peer string) string {
	return b.wait(func() string {
		if list := b.streamCodes[peer]; len(list) > 0 {
			b.streamCodes[peer] = list[1:]
			return list[0]
		}
		return strings.Join(b.connCodes[peer], " ")
	})
}

// waitReload waits for the log line of the next reload.
func (b *logRecorder) waitReload() string {
	return b.wait(func() string { return b.shift(&b.reloads) })
}

// waitHandover waits for the next log line of one side of a handover and returns its code.
func (b *logRecorder) waitHandover(side string) string {
	return b.wait(func() (text string) {
		list := b.handovers[side]
		text = b.shift(&list)
		b.handovers[side] = list
		return text
	})
}

// custodyCodes are the codes of the log lines on which process owns the journal. Two processes write them, in no
// defined order.
var custodyCodes = []string{"yielding", "resumed", "released", "adopted", "unopened"}

// waitCustody waits for a log line with the given code of custodyCodes.
func (b *logRecorder) waitCustody(code string) string {
	return b.wait(func() string {
		if b.custody[code] == 0 {
			return ""
		}
		b.custody[code]--
		return code
	})
}

// shift removes the first element of a list and returns it, or "" if the list is empty. The caller holds b.mu, as wait
// does when it calls its argument.
func (b *logRecorder) shift(list *[]string) (text string) {
	if len(*list) > 0 {
		text, *list = (*list)[0], (*list)[1:]
	}
	return text
}

// wait calls next, with b.mu held, until it returns a text other than "". It returns "none" after stepTimeout.
func (b *logRecorder) wait(next func() string) string {
	timeout := time.After(stepTimeout)
	for {
		b.mu.Lock()
		text := next()
		b.mu.Unlock()
		if text != "" {
			return text
		}
		select {
		case <-b.changed:
		case <-timeout:
			return "none"
		}
	}
}

// duplicates returns a transcript line for each connection that ended with more than one code.
func (b *logRecorder) duplicates() (lines []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for peer, codes := range b.connCodes {
		if len(codes) > 1 {
			lines = append(lines, fmt.Sprint("left over: log of ", peer, " ", codes))
		}
	}
	return lines
}
