package rehearse

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// logBook takes the node's log and finds the lines that connections left.
type logBook struct {
	mu      sync.Mutex
	codes   map[string][]string
	loads   []string            // of the reloads
	handed  map[string][]string // of handovers, by side: two processes write
	custody map[string]int      // how often each word on who has the journal came
	more    chan struct{}

	streams map[string][]string // by peer: the codes of streams that could not be read, and of moves to another process
	taken   map[string][]string // by donor: the codes of the connections to it
	over    []string            // how many gave, of each round
	priors  []string
}

func newLogBook() *logBook {
	return &logBook{codes: map[string][]string{}, handed: map[string][]string{}, custody: map[string]int{}, taken: map[string][]string{}, streams: map[string][]string{}, more: make(chan struct{}, 1)}
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
		b.handed[f["side"]] = append(b.handed[f["side"]], f["code"])
	case word == "kept" && slices.Contains(custodians, f["code"]):
		b.custody[f["code"]]++
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

// handover waits for the next line of a side of a handover.
func (b *logBook) handover(side string) string {
	return b.wait(func() (text string) {
		list := b.handed[side]
		text = b.shift(&list)
		b.handed[side] = list
		return text
	})
}

// custodians are the words on who has the journal. Two processes write them, in no order.
var custodians = []string{"yielding", "resumed", "released", "adopted", "unopened"}

// custodian waits for a word on who has the journal.
func (b *logBook) custodian(word string) string {
	return b.wait(func() string {
		if b.custody[word] == 0 {
			return ""
		}
		b.custody[word]--
		return word
	})
}

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
