// Package network is a model of the network between callers and nodes: each message takes a delay, is lost with some
// chance and sent again by the transport, and crosses no cut. It draws by the message, so that what one message does shifts
// nothing for another. It knows no sockets and no clock. Times are milliseconds.
package network

import (
	"math"

	"whinrudder/internal/vtime"
)

// The transport sends a segment again after resendFirst, and after twice as long each time that follows (RFC 6298, section
// 5.5, with the least time of the usual kernels); after resends the connection is given up.
const (
	resendFirst = 200.0
	resends     = 8
)

// Partition keeps messages between some callers and some nodes from arriving for a time.
type Partition struct {
	From, To float64
	Callers  []bool // by number; nil: all
	Nodes    []bool // by number
}

func (c *Partition) holds(at float64, caller, node int) bool {
	return at >= c.From && at < c.To && c.Nodes[node] && (c.Callers == nil || c.Callers[caller])
}

// LossPeriod loses a share of all messages for a time.
type LossPeriod struct{ From, To, Rate float64 }

// Network is the state of the network. It is only read while a day is played, but for what Add takes.
type Network struct {
	Delay    vtime.Range
	LossRate float64 // of messages that are lost, at all times
	lossy    []LossPeriod
	cuts     []Partition
}

// AddLoss adds a time of losses.
func (n *Network) AddLoss(l LossPeriod) { n.lossy = append(n.lossy, l) }

// AddPartition adds a cut.
func (n *Network) AddPartition(c Partition) { n.cuts = append(n.cuts, c) }

// loss returns the share of messages that are lost at a time: losses are independent.
func (n *Network) loss(at float64) float64 {
	keeps := 1 - n.LossRate
	for _, l := range n.lossy {
		if at >= l.From && at < l.To {
			keeps *= 1 - l.Rate
		}
	}
	return 1 - keeps
}

// Partitioned tells whether a message that is sent at a time meets a cut.
func (n *Network) Partitioned(at float64, caller, node int) bool {
	for i := range n.cuts {
		if n.cuts[i].holds(at, caller, node) {
			return true
		}
	}
	return false
}

// ArrivalTime returns when a message that is sent at a time is there; infinity if the connection is given up before. The seed is
// that of the message.
func (n *Network) ArrivalTime(at float64, message vtime.Seed, caller, node int) float64 {
	delay := n.Delay.At(message.Uniform())
	if n.LossRate == 0 && len(n.lossy) == 0 && len(n.cuts) == 0 {
		return at + delay
	}
	again := resendFirst
	for i := range resends {
		if !n.Partitioned(at, caller, node) && message.Split("loss", i).Uniform() >= n.loss(at) {
			return at + delay
		}
		at += again
		again *= 2
	}
	return math.Inf(1)
}
