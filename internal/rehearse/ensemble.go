package rehearse

import (
	"crypto/sha1"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"path"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
)

// ensemble is a toy ZooKeeper server: one tree of znodes and the few requests that a registration needs, in the
// published format. Sessions end only when a step says so.
//
//	zk has PATH       waits until the znode is there, owned by the node's present session; tells its data
//	zk drains PATH    waits until the znode is there and says that its node drains; zk serves PATH, that it does not
//	zk gone PATH      waits until it is not
//	zk take PATH DATA a session of an earlier life owns the znode
//	zk add PATH DATA  another node owns the znode
//	zk newest PATH    waits until the znode is the session's that began last
//	zk unbroken PATH  the znode is there, and was without a gap since it first was
//	zk remove PATH    somebody removes the znode
//	zk expire         all sessions expire
//	zk mute           connections break, and those taken hear nothing until it is up again
//	zk asked PATH     waits until the content of the znode was read
//	zk holds PATH     tells the data of the znode, whoever owns it
//	zk guard PATH AUTH    a znode on which only USER:PASSWORD has rights
//	zk rights PATH    waits until the znode is there; tells who has which rights on it
//	zk down, zk up    connections break, and none is taken until it is up again
type ensemble struct {
	l       net.Listener
	mu      sync.Mutex
	changed chan struct{} // closed and made anew at each change
	seen    map[string]bool
	gaps    map[string]int // how often a znode that was there was not any more
	nodes   map[string]znode
	live    map[int64]bool // sessions
	conns   map[net.Conn]*zkConn
	last    int64
	down    bool
	mute    bool
	asked   map[string]int // how often the content of a znode was read
	tries   []time.Time    // when connections came; the last maxTries
}

const maxTries = 1 << 16

type znode struct {
	owner   int64
	data    string
	version int32
	rights  []right // nil: anybody may do anything
}

// right is an entry of a znode's ACL.
type right struct {
	perms      uint32
	scheme, id string
}

// What the bits of perms allow. To make and to remove what is under a znode is a right on that znode.
const (
	mayWrite  = 2
	mayMake   = 4
	mayRemove = 8
	mayAll    = 31
)

// may tells whether a connection has a right on a znode.
func (k *zkConn) may(n znode, perm uint32) bool {
	return n.rights == nil || slices.ContainsFunc(n.rights, func(r right) bool {
		return r.perms&perm != 0 && (r.scheme == "world" || r.scheme == "digest" && slices.Contains(k.users, r.id))
	})
}

// digest is the id of USER:PASSWORD in the published digest scheme.
func digest(auth string) string {
	user, _, _ := strings.Cut(auth, ":")
	sum := sha1.Sum([]byte(auth))
	return user + ":" + base64.StdEncoding.EncodeToString(sum[:])
}

// stat is what is told of a znode beside its data.
func (n znode) stat() []byte {
	b := make([]byte, 68)
	binary.BigEndian.PutUint32(b[32:], uint32(n.version))
	binary.BigEndian.PutUint64(b[44:], uint64(n.owner))
	return b
}

// starts are the names of starts in the data of znodes, which differ from play to play.
var starts = regexp.MustCompile(`"start":"[0-9a-f]+"`)

type zkConn struct {
	session int64
	users   []string // digests that were told
	watches map[string]bool
}

func newEnsemble() (*ensemble, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &ensemble{l: l, changed: make(chan struct{}), nodes: map[string]znode{"/": {}}, live: map[int64]bool{},
		conns: map[net.Conn]*zkConn{}, seen: map[string]bool{}, gaps: map[string]int{}, asked: map[string]int{}, last: 100}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.tries = append(e.tries[max(0, len(e.tries)+1-maxTries):], time.Now())
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	return e, nil
}

func (e *ensemble) change() {
	for p := range e.nodes {
		e.seen[p] = true
	}
	for p := range e.seen {
		if _, ok := e.nodes[p]; !ok {
			delete(e.seen, p)
			e.gaps[p]++
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// until waits until something is so, or not for ever.
func (e *ensemble) until(so func() bool) bool {
	late := time.After(patience)
	for {
		e.mu.Lock()
		ok, ch := so(), e.changed
		e.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-ch:
		case <-late:
			return false
		}
	}
}

func (e *ensemble) step(line, word, at string) (string, error) {
	switch word {
	case "has":
		at, _, _ = cut(at)
		data := ""
		e.until(func() bool { n, ok := e.nodes[at]; data = n.data; return ok && e.live[n.owner] })
		return fmt.Sprintf("zk has %s %s", at, starts.ReplaceAllString(data, `"start":"S"`)), nil
	case "newest":
		if !e.until(func() bool { n, ok := e.nodes[at]; return ok && n.owner == e.last }) {
			return "zk has " + at, nil
		}
		return line, nil
	case "asked":
		e.until(func() bool { return e.asked[at] > 0 })
		return line, nil
	case "holds":
		e.mu.Lock()
		defer e.mu.Unlock()
		at, _, _ = cut(at)
		return fmt.Sprintf("zk holds %s %s", at, e.nodes[at].data), nil
	case "unbroken":
		e.mu.Lock()
		defer e.mu.Unlock()
		if n := e.gaps[at]; n > 0 || !e.seen[at] {
			return fmt.Sprintf("zk broken %s %d", at, n), nil
		}
		return line, nil
	case "rights":
		at, _, _ = cut(at)
		line = "zk rights " + at
		e.until(func() bool { _, ok := e.nodes[at]; return ok })
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, r := range e.nodes[at].rights {
			line += fmt.Sprintf(" %s:%s=%d", r.scheme, r.id, r.perms)
		}
		return line, nil
	case "drains", "serves":
		if !e.until(func() bool {
			n, ok := e.nodes[at]
			return ok && strings.Contains(n.data, `"draining":true`) == (word == "drains")
		}) {
			return "zk has " + at, nil
		}
		return line, nil
	case "gone":
		if !e.until(func() bool { _, ok := e.nodes[at]; return !ok }) {
			return "zk has " + at, nil
		}
		return line, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.change()
	switch word {
	case "add":
		at, data, _ := cut(at)
		e.nodes[path.Dir(at)], e.nodes[at] = znode{}, znode{owner: 7, data: data}
		e.tell(path.Dir(at)+children, childrenChanged)
	case "guard":
		at, auth, _ := cut(at)
		e.nodes[at] = znode{rights: []right{{mayAll, "digest", digest(auth)}}}
	case "take":
		at, data, _ := cut(at)
		e.nodes[path.Dir(at)], e.nodes[at] = znode{}, znode{owner: 7, data: data}
	case "remove":
		delete(e.nodes, at)
		e.tell(at, nodeDeleted)
		e.tell(path.Dir(at)+children, childrenChanged)
	case "expire":
		clear(e.live)
		for p, n := range e.nodes {
			if n.owner != 0 {
				delete(e.nodes, p)
			}
		}
		e.breakAll()
	case "down", "up":
		e.down, e.mute = word == "down", false
		e.breakAll()
	case "mute":
		e.mute = true
		e.breakAll()
	default:
		return "", errors.New("unknown step of the ensemble")
	}
	return line, nil
}

func cut(s string) (string, string, bool) {
	for i := range s {
		if s[i] == ' ' {
			return s[:i], s[i+1:], true
		}
	}
	return s, "", false
}

func (e *ensemble) breakAll() {
	for c := range e.conns {
		c.Close()
	}
}

// Events of watches, and the mark of a watch of what is under a znode.
const (
	nodeDeleted     = 2
	nodeChanged     = 3
	childrenChanged = 4
	children        = "/*"
)

// tell sends an event to those that watch a znode, or what is under it.
func (e *ensemble) tell(at string, what uint32) {
	for c, k := range e.conns {
		if k.watches[at] {
			delete(k.watches, at)
			b := header(-1, 0)
			b = binary.BigEndian.AppendUint32(b, what)
			b = binary.BigEndian.AppendUint32(b, 3) // connected
			send(c, str(b, strings.TrimSuffix(at, children)))
		}
	}
}

func (e *ensemble) serve(c net.Conn) {
	defer c.Close()
	k := &zkConn{watches: map[string]bool{}}
	e.mu.Lock()
	down, mute := e.down, e.mute
	if !down {
		e.conns[c] = k
	}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	b, err := frame(c)
	if mute {
		io.Copy(io.Discard, c) // until the other side has enough, or the connection is broken
	}
	if down || mute || err != nil || len(b) < 28 {
		return
	}
	e.mu.Lock()
	session, term := int64(binary.BigEndian.Uint64(b[16:])), binary.BigEndian.Uint32(b[12:])
	switch {
	case session == 0:
		e.last++
		session = e.last
		e.live[session] = true
	case !e.live[session]:
		session, term = 0, 0 // expired
	}
	k.session = session
	e.mu.Unlock()
	out := binary.BigEndian.AppendUint32(make([]byte, 4), term)
	out = binary.BigEndian.AppendUint64(out, uint64(session))
	send(c, str(out, "0123456789abcdef"))
	for session != 0 {
		b, err := frame(c)
		if err != nil || len(b) < 8 {
			return
		}
		xid, op := int32(binary.BigEndian.Uint32(b)), int32(binary.BigEndian.Uint32(b[4:]))
		e.mu.Lock()
		out := e.request(k, xid, op, b[8:])
		e.change()
		e.mu.Unlock()
		send(c, out)
		if op == -11 {
			return
		}
	}
}

// request carries out one request and returns its answer.
func (e *ensemble) request(k *zkConn, xid, op int32, b []byte) []byte {
	const noAuth, noNode, badVersion, nodeExists, unknown = -102, -101, -103, -110, -6
	at, rest := text(b)
	n, there := e.nodes[at]
	switch op {
	case 1: // create
		data, rest := text(rest)
		flags := rest[len(rest)-4:]
		switch up, ok := e.nodes[path.Dir(at)]; {
		case !ok:
			return header(xid, noNode)
		case !there && !k.may(up, mayMake):
			return header(xid, noAuth)
		}
		n.rights = rights(rest)
		if there {
			return header(xid, nodeExists)
		}
		if binary.BigEndian.Uint32(flags) == 1 {
			n.owner = k.session
		}
		n.data = data
		e.nodes[at] = n
		e.tell(path.Dir(at)+children, childrenChanged)
		return str(header(xid, 0), at)
	case 2: // delete
		if !there {
			return header(xid, noNode)
		}
		if !k.may(e.nodes[path.Dir(at)], mayRemove) {
			return header(xid, noAuth)
		}
		delete(e.nodes, at)
		e.tell(at, nodeDeleted)
		e.tell(path.Dir(at)+children, childrenChanged)
		return header(xid, 0)
	case 3: // exists, with a watch or without
		if len(rest) > 0 && rest[0] == 1 {
			k.watches[at] = true
		}
		if !there {
			return header(xid, noNode)
		}
		return append(header(xid, 0), n.stat()...)
	case 5: // set data
		data, rest := text(rest)
		switch {
		case !there:
			return header(xid, noNode)
		case len(rest) < 4 || int32(binary.BigEndian.Uint32(rest)) != n.version:
			return header(xid, badVersion)
		case !k.may(n, mayWrite):
			return header(xid, noAuth)
		}
		n.data, n.version = data, n.version+1
		e.nodes[at] = n
		e.tell(at, nodeChanged)
		return append(header(xid, 0), n.stat()...)
	case 4, 12: // data, children
		if !there {
			return header(xid, noNode)
		}
		if len(rest) > 0 && rest[0] == 1 {
			k.watches[at+map[int32]string{4: "", 12: children}[op]] = true
		}
		out := header(xid, 0)
		if op == 4 {
			e.asked[at]++
			out = str(out, n.data)
		} else {
			names := e.children(at)
			out = binary.BigEndian.AppendUint32(out, uint32(len(names)))
			for _, name := range names {
				out = str(out, name)
			}
		}
		return append(out, n.stat()...)
	case 14: // several at once, or none of them
		before := maps.Clone(e.nodes)
		out, ends := header(xid, 0), []byte{0xff, 0xff, 0xff, 0xff, 1, 0xff, 0xff, 0xff, 0xff}
		for len(b) >= 9 && b[4] == 0 {
			kind, body := int32(binary.BigEndian.Uint32(b)), b[9:]
			n := sizeOf(kind, body)
			if n < 0 {
				return header(xid, unknown)
			}
			answer := e.request(k, xid, kind, body[:n])
			if why := answer[12:16]; binary.BigEndian.Uint32(why) != 0 {
				e.nodes = before
				failed := append(append([]byte{0xff, 0xff, 0xff, 0xff, 0}, why...), why...)
				return append(append(header(xid, 0), failed...), ends...)
			}
			out = binary.BigEndian.AppendUint32(out, uint32(kind))
			out = append(append(out, 0, 0, 0, 0, 0), answer[16:]...)
			b = body[n:]
		}
		return append(out, ends...)
	case 100: // credentials: the type of the request, which is 0, the scheme, and what it wants
		if scheme, rest := text(b[4:]); scheme == "digest" {
			auth, _ := text(rest)
			k.users = append(k.users, digest(auth))
		}
		return header(xid, 0)
	case 11, 101: // ping, watches set anew
		return header(xid, 0)
	case -11: // close
		delete(e.live, k.session)
		for _, p := range slices.Collect(maps.Keys(e.nodes)) {
			if e.nodes[p].owner == k.session {
				delete(e.nodes, p)
				e.tell(path.Dir(p)+children, childrenChanged)
			}
		}
		return header(xid, 0)
	}
	return header(xid, unknown)
}

// sizeOf is how many bytes a request takes that is one of several, or -1 for one that can't be read.
func sizeOf(kind int32, b []byte) int {
	_, rest := text(b)
	if kind == 1 {
		_, rest = text(rest)
		if len(rest) < 4 {
			return -1
		}
		n := binary.BigEndian.Uint32(rest)
		for rest = rest[4:]; n > 0 && len(rest) >= 4; n-- {
			_, rest = text(rest[4:])
			_, rest = text(rest)
		}
	}
	if len(rest) < 4 || kind != 1 && kind != 2 {
		return -1
	}
	return len(b) - len(rest) + 4
}

// rights reads an ACL.
func rights(b []byte) (out []right) {
	if len(b) < 4 {
		return nil
	}
	n := binary.BigEndian.Uint32(b)
	b = b[4:]
	for range min(n, 8) {
		if len(b) < 4 {
			return out
		}
		r := right{perms: binary.BigEndian.Uint32(b)}
		r.scheme, b = text(b[4:])
		r.id, b = text(b)
		out = append(out, r)
	}
	return out
}

// children returns the names of the znodes right under one.
func (e *ensemble) children(at string) (names []string) {
	for p := range e.nodes {
		if p != "/" && path.Dir(p) == at {
			names = append(names, path.Base(p))
		}
	}
	slices.Sort(names)
	return names
}

func header(xid int32, err int32) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(xid))
	b = binary.BigEndian.AppendUint64(b, 1)
	return binary.BigEndian.AppendUint32(b, uint32(err))
}

func str(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// text reads a string or a buffer.
func text(b []byte) (string, []byte) {
	if len(b) < 4 {
		return "", nil
	}
	n := int(int32(binary.BigEndian.Uint32(b)))
	if n < 0 || len(b) < 4+n {
		return "", b[4:]
	}
	return string(b[4 : 4+n]), b[4+n:]
}

func frame(c net.Conn) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return nil, err
	}
	b := make([]byte, min(binary.BigEndian.Uint32(size[:]), 1<<16))
	_, err := io.ReadFull(c, b)
	return b, err
}

func send(c net.Conn, b []byte) {
	c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
}

func (e *ensemble) close() {
	e.l.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAll()
}

// StartEnsemble is the stand-in, for tests of other packages: its address, the steps of exchanges ("add /path data", "remove /path",
// "down", "up"), and its end.
func StartEnsemble() (addr string, step func(word, at string) error, stop func(), err error) {
	e, err := newEnsemble()
	if err != nil {
		return "", nil, nil, err
	}
	step = func(word, at string) error {
		_, err := e.step(word+" "+at, word, at)
		return err
	}
	return e.l.Addr().String(), step, e.close, nil
}
