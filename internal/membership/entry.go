package membership

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fastjson"
)

// Entry is the content of a node's znode: a JSON object whose empty keys are left out, but for those that every reader of the
// first form expects. A reader passes over keys that it does not know.
type Entry struct {
	Name     string `json:"name"`
	Listen   string `json:"listen"` // HOST:PORT of each front; empty: the front is off
	UWSGI    string `json:"uwsgi"`
	H2C      string `json:"h2c,omitempty"`
	Peer     string `json:"peer,omitempty"`     // of the peer port
	Start    string `json:"start,omitempty"`    // names the start of the process: a successor has another
	Draining bool   `json:"draining,omitempty"` // no new requests are wanted
}

// Append appends the content.
func (e Entry) Append(b []byte) []byte {
	text, _ := json.Marshal(e) // strings and flags alone: it can't fail
	return append(b, text...)
}

// ParseEntry reads the content of a znode. ok is false for what is no entry.
func ParseEntry(b []byte) (e Entry, ok bool) {
	v, err := fastjson.ParseBytes(b)
	if err != nil || v.Type() != fastjson.TypeObject {
		return e, false
	}
	for key, to := range map[string]*string{"name": &e.Name, "listen": &e.Listen, "uwsgi": &e.UWSGI, "h2c": &e.H2C,
		"peer": &e.Peer, "start": &e.Start} {
		*to = string(v.GetStringBytes(key))
	}
	e.Draining = v.GetBool("draining")
	return e, true
}

// Supersedes tells that an entry was written by an earlier process of the node, or by an earlier session of this one: it has the
// name and the address at which this process listens now, which only one that this process succeeds, or that succeeds it,
// can have, and no later start.
func (e Entry) Supersedes(found Entry) bool {
	return found.Name == e.Name && found.Listen == e.Listen && found.Start <= e.Start
}

// NewStartID returns the name of a start at a time in Unix milliseconds: later starts have names that sort behind, and chance
// tells two of one millisecond apart.
func NewStartID(now float64, chance uint64) string {
	return fmt.Sprintf("%011x%05x", uint64(max(now, 0))&(1<<44-1), chance&(1<<20-1))
}
