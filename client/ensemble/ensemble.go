// Package ensemble supplies a client with the nodes that are registered in a ZooKeeper ensemble. Nodes register with
// ephemeral znodes if their operators configure it.
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

// Source is a client.Source that reads the nodes from a ZooKeeper ensemble. Servers and Path are required.
type Source struct {
	Servers  []string        // HOST:PORT of the servers of the ensemble
	Path     string          // the znode under which nodes register
	Session  time.Duration   // timeout of the ZooKeeper session; 0: six seconds
	Protocol client.Protocol // protocol for which the addresses of nodes are used; empty: HTTP
}

// Limits of the list, and the intervals between reads.
const (
	maxNodes       = 4096 // znodes that are read; the rest are ignored
	maxPacketBytes = 1 << 20
	retryInterval  = time.Second     // after a failed read
	pollInterval   = 5 * time.Second // without a watch event: watches may be lost with a connection
)

// discardLogger is a zk.Logger that writes nothing.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Watch implements client.Source. It calls list after each successful read. It returns at once if Servers is not valid.
func (s Source) Watch(ctx context.Context, list func(asOf time.Time, nodes []client.Node)) {
	session := s.Session
	if session == 0 {
		session = 6 * time.Second
	}
	conn, _, err := zk.Connect(s.Servers, session, zk.WithLogInfo(false), zk.WithLogger(discardLogger{}),
		zk.WithMaxBufferSize(maxPacketBytes))
	if err != nil {
		return // Servers is not valid
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer func() {
		if stop() {
			conn.Close()
		}
	}()
	for ctx.Err() == nil {
		asOf := time.Now()
		nodes, changed, err := s.read(conn)
		wait := pollInterval
		if err == nil {
			list(asOf, nodes)
		} else {
			wait = retryInterval // the last list stays valid: losing the ensemble removes no node
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// read returns the registered nodes and a channel that receives an event when their set changes; nil: no watch is set.
func (s Source) read(conn *zk.Conn) (out []client.Node, changed <-chan zk.Event, err error) {
	names, _, changed, err := conn.ChildrenW(s.Path)
	if errors.Is(err, zk.ErrNoNode) {
		return nil, nil, nil // no node has registered yet
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

// node decodes a znode; ok is false if it does not describe a node that serves the protocol.
func (s Source) node(name string, data []byte) (n client.Node, ok bool) {
	entry, ok := membership.ParseEntry(data)
	if !ok {
		return n, false
	}
	addr := map[client.Protocol]string{client.HTTP: entry.Listen, "": entry.Listen,
		client.UWSGI: entry.UWSGI, client.H2C: entry.H2C}[s.Protocol]
	n = client.Node{Name: name, Addr: addr, Draining: entry.Draining}
	return n, n.Addr != ""
}
