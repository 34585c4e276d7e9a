// Package ensemble takes a client's nodes from the ephemeral znodes of a ZooKeeper ensemble, where nodes register that are told to
// by their operators.
package ensemble

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-zookeeper/zk"

	"whinrudder/client"
	"whinrudder/internal/membership"
)

// Source is a client.Source.
type Source struct {
	Servers  []string // HOST:PORT of the ensemble
	Path     string   // the znode under which nodes register
	Session  time.Duration
	Protocol client.Protocol // whose addresses are taken; empty: HTTP
}

// Limits of what is read, and how often it is read without an event: watches may be lost with a connection.
const (
	maxNodes  = 4096
	maxPacket = 1 << 20
	again     = time.Second
	anyway    = 5 * time.Second
)

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Watch implements client.Source.
func (s Source) Watch(ctx context.Context, list func(made time.Time, nodes []client.Node)) {
	session := s.Session
	if session == 0 {
		session = 6 * time.Second
	}
	conn, _, err := zk.Connect(s.Servers, session, zk.WithLogInfo(false), zk.WithLogger(quiet{}), zk.WithMaxBufferSize(maxPacket))
	if err != nil {
		return // no address of the ensemble can be read
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer func() {
		if stop() {
			conn.Close()
		}
	}()
	for ctx.Err() == nil {
		made := time.Now()
		nodes, changed, err := s.read(conn)
		wait := anyway
		if err == nil {
			list(made, nodes)
		} else {
			wait = again // what is known stays: an ensemble that is lost takes no node away
		}
		t := time.NewTimer(wait)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// read returns the nodes, and what tells that they are others.
func (s Source) read(conn *zk.Conn) (out []client.Node, changed <-chan zk.Event, err error) {
	names, _, changed, err := conn.ChildrenW(s.Path)
	if errors.Is(err, zk.ErrNoNode) {
		return nil, nil, nil // nobody has registered yet
	}
	if err != nil {
		return nil, nil, err
	}
	slices.Sort(names)
	for _, name := range names[:min(len(names), maxNodes)] {
		data, _, err := conn.Get(s.Path + "/" + name)
		if errors.Is(err, zk.ErrNoNode) {
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		if n, ok := s.node(name, data); ok {
			out = append(out, n)
		}
	}
	return out, changed, nil
}

// node reads a znode; ok is false if it is of no node that speaks the protocol.
func (s Source) node(name string, data []byte) (n client.Node, ok bool) {
	e, ok := membership.ParseEntry(data)
	if !ok {
		return n, false
	}
	addr := map[client.Protocol]string{client.HTTP: e.Listen, "": e.Listen, client.UWSGI: e.UWSGI, client.H2C: e.H2C}[s.Protocol]
	n = client.Node{Name: name, Addr: addr, Draining: e.Draining}
	return n, n.Addr != ""
}
