package membership

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fastjson"
)

// Entry is the content of a node's znode. It is stored as a JSON object without its empty keys, except those that
// readers of the first version of the format expect (name, listen, uwsgi). Readers ignore unknown keys.
type Entry struct {
	Name     string `json:"name"`
	Listen   string `json:"listen"` // HOST:PORT of the HTTP front; empty: the front is off
	UWSGI    string `json:"uwsgi"`  // HOST:PORT of the other fronts; empty: the front is off
	H2C      string `json:"h2c,omitempty"`
	Peer     string `json:"peer,omitempty"`     // HOST:PORT of the peer port
	Start    string `json:"start,omitempty"`    // ID of the process start, which differs for a successor; see NewStartID
	Draining bool   `json:"draining,omitempty"` // the node wants no new requests
}

// Append appends the JSON form of the entry to b.
func (e Entry) Append(b []byte) []byte {
	text, _ := json.Marshal(e) // cannot fail: the fields are strings and a bool
	return append(b, text...)
}

// ParseEntry parses the content of a znode. ok is false if the content is not a JSON object.
func ParseEntry(b []byte) (e Entry, ok bool) {
	v, err := fastjson.ParseBytes(b)
	if err != nil || v.Type() != fastjson.TypeObject {
		return e, false
	}
	for key, field := range map[string]*string{"name": &e.Name, "listen": &e.Listen, "uwsgi": &e.UWSGI, "h2c": &e.H2C,
		"peer": &e.Peer, "start": &e.Start} {
		*field = string(v.GetStringBytes(key))
	}
	e.Draining = v.GetBool("draining")
	return e, true
}

// Supersedes reports whether found was written by an earlier process of the node or by an earlier session of this
// process. It has the same name and listening address, which only a predecessor or successor of this process can have,
// and it does not have a later start.
func (e Entry) Supersedes(found Entry) bool {
	return found.Name == e.Name && found.Listen == e.Listen && found.Start <= e.Start
}

// NewStartID returns the ID of a process start at a time in Unix milliseconds. IDs of later starts sort after those of
// earlier ones, and random distinguishes two starts in the same millisecond.
func NewStartID(now float64, random uint64) string {
	return fmt.Sprintf("%011x%05x", uint64(max(now, 0))&(1<<44-1), random&(1<<20-1))
}
