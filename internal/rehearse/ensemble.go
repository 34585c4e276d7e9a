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

// fakeEnsemble is a fake of a ZooKeeper server: one tree of znodes and the few requests that a registration needs, in
// the published wire format. Sessions end only by a step or when the client closes them.
//
//	zk has PATH       waits until the znode exists and is owned by a live session; records its data
//	zk drains PATH    waits until the znode exists and its data says that its node is draining
//	zk serves PATH    waits until the znode exists and its data does not say that its node is draining
//	zk gone PATH      waits until the znode does not exist
//	zk take PATH DATA creates the znode, owned by a session of an earlier process of the node
//	zk add PATH DATA  creates the znode, owned by another node, and notifies those that watch its parent
//	zk newest PATH    waits until the znode is owned by the session that began last
//	zk unbroken PATH  the znode exists, and has existed without interruption since it was first created
//	zk remove PATH    removes the znode
//	zk expire         all sessions expire
//	zk mute           closes all connections; new ones are accepted but get no answer until zk up
//	zk asked PATH     waits until the data of the znode has been read
//	zk holds PATH     records the data of the znode, whoever owns it
//	zk guard PATH AUTH    creates a znode on which only AUTH, given as USER:PASSWORD, has rights
//	zk rights PATH    waits until the znode exists; records its access control list
//	zk down, zk up    closes all connections; after zk down, new ones are closed without an answer until zk up
type fakeEnsemble struct {
	listener     net.Listener
	mu           sync.Mutex
	changed      chan struct{}   // closed and replaced at each change; this field and those below are guarded by mu
	seen         map[string]bool // by path: whether the znode existed after the last change
	gaps         map[string]int  // by path: how often an existing znode disappeared
	znodes       map[string]znode
	sessions     map[int64]bool // ids of the live sessions
	conns        map[net.Conn]*zkConn
	lastSession  int64
	down         bool
	mute         bool
	reads        map[string]int // by path: how often the data of a znode was read
	connectTimes []time.Time    // when connections were accepted; the last maxConnectTimes
}

// maxConnectTimes bounds the memory for connectTimes.
const maxConnectTimes = 1 << 16

// znode is one znode of the tree. Its owner is the session of an ephemeral znode, or 0.
type znode struct {
	owner   int64
	data    string
	version int32
	acl     []aclEntry // nil grants everybody all rights
}

// aclEntry is an entry of a znode's access control list.
type aclEntry struct {
	perms      uint32
	scheme, id string
}

// The bits of perms. The rights to create and delete children are checked on the parent.
const (
	permWrite  = 2
	permCreate = 4
	permDelete = 8
	permAll    = 31
)

// allowed reports whether a connection has the right perm on a znode.
func (k *zkConn) allowed(n znode, perm uint32) bool {
	return n.acl == nil || slices.ContainsFunc(n.acl, func(r aclEntry) bool {
		return r.perms&perm != 0 && (r.scheme == "world" || r.scheme == "digest" && slices.Contains(k.digests, r.id))
	})
}

// digest returns the id of auth, given as USER:PASSWORD, in ZooKeeper's digest scheme.
func digest(auth string) string {
	user, _, _ := strings.Cut(auth, ":")
	sum := sha1.Sum([]byte(auth))
	return user + ":" + base64.StdEncoding.EncodeToString(sum[:])
}

// stat encodes the ZooKeeper Stat record of a znode, with only the version and the owner set.
func (n znode) stat() []byte {
	b := make([]byte, 68)
	binary.BigEndian.PutUint32(b[32:], uint32(n.version))
	binary.BigEndian.PutUint64(b[44:], uint64(n.owner))
	return b
}

// startPattern matches the names of starts in the data of znodes, which differ from play to play.
var startPattern = regexp.MustCompile(`"start":"[0-9a-f]+"`)

// zkConn is the state of one client connection.
type zkConn struct {
	session int64
	digests []string // ids of the credentials that the client sent
	watches map[string]bool
}

func newFakeEnsemble() (*fakeEnsemble, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &fakeEnsemble{listener: l, changed: make(chan struct{}), znodes: map[string]znode{"/": {}},
		sessions: map[int64]bool{},
		conns:    map[net.Conn]*zkConn{}, seen: map[string]bool{}, gaps: map[string]int{}, reads: map[string]int{}, lastSession: 100}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.connectTimes = append(e.connectTimes[max(0, len(e.connectTimes)+1-maxConnectTimes):], time.Now())
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	return e, nil
}

// recordChange updates seen and gaps after a change of the tree and wakes waitUntil. The caller holds e.mu.
func (e *fakeEnsemble) recordChange() {
	for p := range e.znodes {
		e.seen[p] = true
	}
	for p := range e.seen {
		if _, ok := e.znodes[p]; !ok {
			delete(e.seen, p)
			e.gaps[p]++
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// waitUntil waits until condition, called with e.mu held, returns true. It returns false after stepTimeout.
func (e *fakeEnsemble) waitUntil(condition func() bool) bool {
	timeout := time.After(stepTimeout)
	for {
		e.mu.Lock()
		ok, ch := condition(), e.changed
		e.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-ch:
		case <-timeout:
			return false
		}
	}
}

// step carries out a zk step and returns its line for the transcript. args is the line after the word.
func (e *fakeEnsemble) step(line, word, args string) (string, error) {
	switch word {
	case "has":
		args, _, _ = cutAtSpace(args)
		data := ""
		e.waitUntil(func() bool { n, ok := e.znodes[args]; data = n.data; return ok && e.sessions[n.owner] })
		return fmt.Sprintf("zk has %s %s", args, startPattern.ReplaceAllString(data, `"start":"S"`)), nil
	case "newest":
		if !e.waitUntil(func() bool { n, ok := e.znodes[args]; return ok && n.owner == e.lastSession }) {
			return "zk has " + args, nil
		}
		return line, nil
	case "asked":
		e.waitUntil(func() bool { return e.reads[args] > 0 })
		return line, nil
	case "holds":
		e.mu.Lock()
		defer e.mu.Unlock()
		args, _, _ = cutAtSpace(args)
		return fmt.Sprintf("zk holds %s %s", args, e.znodes[args].data), nil
	case "unbroken":
		e.mu.Lock()
		defer e.mu.Unlock()
		if n := e.gaps[args]; n > 0 || !e.seen[args] {
			return fmt.Sprintf("zk broken %s %d", args, n), nil
		}
		return line, nil
	case "rights":
		args, _, _ = cutAtSpace(args)
		line = "zk rights " + args
		e.waitUntil(func() bool { _, ok := e.znodes[args]; return ok })
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, r := range e.znodes[args].acl {
			line += fmt.Sprintf(" %s:%s=%d", r.scheme, r.id, r.perms)
		}
		return line, nil
	case "drains", "serves":
		if !e.waitUntil(func() bool {
			n, ok := e.znodes[args]
			return ok && strings.Contains(n.data, `"draining":true`) == (word == "drains")
		}) {
			return "zk has " + args, nil
		}
		return line, nil
	case "gone":
		if !e.waitUntil(func() bool { _, ok := e.znodes[args]; return !ok }) {
			return "zk has " + args, nil
		}
		return line, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.recordChange()
	switch word {
	case "add":
		znodePath, data, _ := cutAtSpace(args)
		e.znodes[path.Dir(znodePath)], e.znodes[znodePath] = znode{}, znode{owner: 7, data: data}
		e.notifyWatchers(path.Dir(znodePath)+childrenSuffix, childrenChanged)
	case "guard":
		znodePath, auth, _ := cutAtSpace(args)
		e.znodes[znodePath] = znode{acl: []aclEntry{{permAll, "digest", digest(auth)}}}
	case "take":
		znodePath, data, _ := cutAtSpace(args)
		e.znodes[path.Dir(znodePath)], e.znodes[znodePath] = znode{}, znode{owner: 7, data: data}
	case "remove":
		delete(e.znodes, args)
		e.notifyWatchers(args, nodeDeleted)
		e.notifyWatchers(path.Dir(args)+childrenSuffix, childrenChanged)
	case "expire":
		clear(e.sessions)
		for p, n := range e.znodes {
			if n.owner != 0 {
				delete(e.znodes, p)
			}
		}
		e.closeConns()
	case "down", "up":
		e.down, e.mute = word == "down", false
		e.closeConns()
	case "mute":
		e.mute = true
		e.closeConns()
	default:
		return "", errors.New("unknown zk step")
	}
	return line, nil
}

// cutAtSpace cuts s around its first space.
func cutAtSpace(s string) (string, string, bool) {
	for i := range s {
		if s[i] == ' ' {
			return s[:i], s[i+1:], true
		}
	}
	return s, "", false
}

// closeConns closes all connections. The caller holds e.mu.
func (e *fakeEnsemble) closeConns() {
	for c := range e.conns {
		c.Close()
	}
}

// The numbers of watch events in the protocol, and the suffix that marks a watch on the children of a znode in
// zkConn.watches.
const (
	nodeDeleted     = 2
	nodeChanged     = 3
	childrenChanged = 4
	childrenSuffix  = "/*"
)

// notifyWatchers sends an event to the connections that watch a znode or, with childrenSuffix, its children. It removes
// the watches. The caller holds e.mu.
func (e *fakeEnsemble) notifyWatchers(znodePath string, event uint32) {
	for c, k := range e.conns {
		if k.watches[znodePath] {
			delete(k.watches, znodePath)
			b := replyHeader(-1, 0)
			b = binary.BigEndian.AppendUint32(b, event)
			b = binary.BigEndian.AppendUint32(b, 3) // the state SyncConnected
			writeFrame(c, appendString(b, strings.TrimSuffix(znodePath, childrenSuffix)))
		}
	}
}

// serve serves one connection: the connect request, then requests until the connection or the session ends.
func (e *fakeEnsemble) serve(c net.Conn) {
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
	b, err := readFrame(c)
	if mute {
		io.Copy(io.Discard, c) // until either side closes the connection
	}
	if down || mute || err != nil || len(b) < 28 {
		return
	}
	e.mu.Lock()
	session, timeoutMs := int64(binary.BigEndian.Uint64(b[16:])), binary.BigEndian.Uint32(b[12:])
	switch {
	case session == 0:
		e.lastSession++
		session = e.lastSession
		e.sessions[session] = true
	case !e.sessions[session]:
		session, timeoutMs = 0, 0 // expired
	}
	k.session = session
	e.mu.Unlock()
	out := binary.BigEndian.AppendUint32(make([]byte, 4), timeoutMs)
	out = binary.BigEndian.AppendUint64(out, uint64(session))
	writeFrame(c, appendString(out, "0123456789abcdef"))
	for session != 0 {
		b, err := readFrame(c)
		if err != nil || len(b) < 8 {
			return
		}
		xid, op := int32(binary.BigEndian.Uint32(b)), int32(binary.BigEndian.Uint32(b[4:]))
		e.mu.Lock()
		out := e.handleRequest(k, xid, op, b[8:])
		e.recordChange()
		e.mu.Unlock()
		writeFrame(c, out)
		if op == -11 {
			return
		}
	}
}

// handleRequest carries out one request and returns its reply. The caller holds e.mu.
func (e *fakeEnsemble) handleRequest(k *zkConn, xid, op int32, b []byte) []byte {
	const noAuth, noNode, badVersion, nodeExists, unknown = -102, -101, -103, -110, -6
	znodePath, rest := readString(b)
	n, exists := e.znodes[znodePath]
	switch op {
	case 1: // create
		data, rest := readString(rest)
		flags := rest[len(rest)-4:]
		switch parent, ok := e.znodes[path.Dir(znodePath)]; {
		case !ok:
			return replyHeader(xid, noNode)
		case !exists && !k.allowed(parent, permCreate):
			return replyHeader(xid, noAuth)
		}
		n.acl = readACL(rest)
		if exists {
			return replyHeader(xid, nodeExists)
		}
		if binary.BigEndian.Uint32(flags) == 1 {
			n.owner = k.session
		}
		n.data = data
		e.znodes[znodePath] = n
		e.notifyWatchers(path.Dir(znodePath)+childrenSuffix, childrenChanged)
		return appendString(replyHeader(xid, 0), znodePath)
	case 2: // delete
		if !exists {
			return replyHeader(xid, noNode)
		}
		if !k.allowed(e.znodes[path.Dir(znodePath)], permDelete) {
			return replyHeader(xid, noAuth)
		}
		delete(e.znodes, znodePath)
		e.notifyWatchers(znodePath, nodeDeleted)
		e.notifyWatchers(path.Dir(znodePath)+childrenSuffix, childrenChanged)
		return replyHeader(xid, 0)
	case 3: // exists, with or without a watch
		if len(rest) > 0 && rest[0] == 1 {
			k.watches[znodePath] = true
		}
		if !exists {
			return replyHeader(xid, noNode)
		}
		return append(replyHeader(xid, 0), n.stat()...)
	case 5: // set data
		data, rest := readString(rest)
		switch {
		case !exists:
			return replyHeader(xid, noNode)
		case len(rest) < 4 || int32(binary.BigEndian.Uint32(rest)) != n.version:
			return replyHeader(xid, badVersion)
		case !k.allowed(n, permWrite):
			return replyHeader(xid, noAuth)
		}
		n.data, n.version = data, n.version+1
		e.znodes[znodePath] = n
		e.notifyWatchers(znodePath, nodeChanged)
		return append(replyHeader(xid, 0), n.stat()...)
	case 4, 12: // get data, get children
		if !exists {
			return replyHeader(xid, noNode)
		}
		if len(rest) > 0 && rest[0] == 1 {
			k.watches[znodePath+map[int32]string{4: "", 12: childrenSuffix}[op]] = true
		}
		out := replyHeader(xid, 0)
		if op == 4 {
			e.reads[znodePath]++
			out = appendString(out, n.data)
		} else {
			names := e.childNames(znodePath)
			out = binary.BigEndian.AppendUint32(out, uint32(len(names)))
			for _, name := range names {
				out = appendString(out, name)
			}
		}
		return append(out, n.stat()...)
	case 14: // multi: carries out all operations or none
		previous := maps.Clone(e.znodes)
		out, end := replyHeader(xid, 0), []byte{0xff, 0xff, 0xff, 0xff, 1, 0xff, 0xff, 0xff, 0xff}
		for len(b) >= 9 && b[4] == 0 {
			kind, body := int32(binary.BigEndian.Uint32(b)), b[9:]
			n := operationSize(kind, body)
			if n < 0 {
				return replyHeader(xid, unknown)
			}
			answer := e.handleRequest(k, xid, kind, body[:n])
			if code := answer[12:16]; binary.BigEndian.Uint32(code) != 0 {
				e.znodes = previous
				failed := append(append([]byte{0xff, 0xff, 0xff, 0xff, 0}, code...), code...)
				return append(append(replyHeader(xid, 0), failed...), end...)
			}
			out = binary.BigEndian.AppendUint32(out, uint32(kind))
			out = append(append(out, 0, 0, 0, 0, 0), answer[16:]...)
			b = body[n:]
		}
		return append(out, end...)
	case 100: // auth: the type of the request, which is 0, the scheme and the credentials
		if scheme, rest := readString(b[4:]); scheme == "digest" {
			auth, _ := readString(rest)
			k.digests = append(k.digests, digest(auth))
		}
		return replyHeader(xid, 0)
	case 11, 101: // ping, set watches
		return replyHeader(xid, 0)
	case -11: // close
		delete(e.sessions, k.session)
		for _, p := range slices.Collect(maps.Keys(e.znodes)) {
			if e.znodes[p].owner == k.session {
				delete(e.znodes, p)
				e.notifyWatchers(path.Dir(p)+childrenSuffix, childrenChanged)
			}
		}
		return replyHeader(xid, 0)
	}
	return replyHeader(xid, unknown)
}

// operationSize returns the number of bytes of the first operation in b, which is part of a multi request, or -1 if it
// cannot be read.
func operationSize(kind int32, b []byte) int {
	_, rest := readString(b)
	if kind == 1 {
		_, rest = readString(rest)
		if len(rest) < 4 {
			return -1
		}
		n := binary.BigEndian.Uint32(rest)
		for rest = rest[4:]; n > 0 && len(rest) >= 4; n-- {
			_, rest = readString(rest[4:])
			_, rest = readString(rest)
		}
	}
	if len(rest) < 4 || kind != 1 && kind != 2 {
		return -1
	}
	return len(b) - len(rest) + 4
}

// readACL decodes an access control list.
func readACL(b []byte) (out []aclEntry) {
	if len(b) < 4 {
		return nil
	}
	n := binary.BigEndian.Uint32(b)
	b = b[4:]
	for range min(n, 8) {
		if len(b) < 4 {
			return out
		}
		r := aclEntry{perms: binary.BigEndian.Uint32(b)}
		r.scheme, b = readString(b[4:])
		r.id, b = readString(b)
		out = append(out, r)
	}
	return out
}

// childNames returns the sorted names of the direct children of a znode.
func (e *fakeEnsemble) childNames(znodePath string) (names []string) {
	for p := range e.znodes {
		if p != "/" && path.Dir(p) == znodePath {
			names = append(names, path.Base(p))
		}
	}
	slices.Sort(names)
	return names
}

// replyHeader encodes the header of a reply. The transaction id is always 1.
func replyHeader(xid int32, err int32) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(xid))
	b = binary.BigEndian.AppendUint64(b, 1)
	return binary.BigEndian.AppendUint32(b, uint32(err))
}

// appendString appends a string with its length, as the protocol encodes it.
func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// readString decodes a string or a buffer at the start of b and returns it with the remaining bytes.
func readString(b []byte) (string, []byte) {
	if len(b) < 4 {
		return "", nil
	}
	n := int(int32(binary.BigEndian.Uint32(b)))
	if n < 0 || len(b) < 4+n {
		return "", b[4:]
	}
	return string(b[4 : 4+n]), b[4+n:]
}

// readFrame reads one frame with its length prefix.
func readFrame(c net.Conn) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return nil, err
	}
	b := make([]byte, min(binary.BigEndian.Uint32(size[:]), 1<<16))
	_, err := io.ReadFull(c, b)
	return b, err
}

// writeFrame writes b as one frame with its length prefix.
func writeFrame(c net.Conn, b []byte) {
	c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
}

func (e *fakeEnsemble) close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeConns()
}

// StartEnsemble starts a fake ZooKeeper ensemble for tests of other packages. It returns its address, a function that
// carries out zk steps of exchanges, such as "add" with "/path data", "remove" with "/path", "down" and "up", and a
// function that stops it.
func StartEnsemble() (addr string, step func(word, args string) error, stop func(), err error) {
	e, err := newFakeEnsemble()
	if err != nil {
		return "", nil, nil, err
	}
	step = func(word, args string) error {
		_, err := e.step(word+" "+args, word, args)
		return err
	}
	return e.listener.Addr().String(), step, e.close, nil
}
