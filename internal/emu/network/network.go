// Package network is a model of the network between callers and nodes: each message is delayed, may be lost and sent
// again by the transport, and does not cross a partition. Random values depend only on the seed of the message, so that
// one message does not change the fate of another. The package uses no sockets and no clock. Times are milliseconds.
package network

import (
	"math"

	"whinrudder/internal/vtime"
)

// The transport retransmits a segment after the initial timeout, which doubles with each retransmission (RFC 6298,
// section 5.5; 200 ms is the minimum of common kernels). After the last transmission the connection is given up.
const (
	initialRetransmitMs = 200.0
	maxTransmissions    = 8
)

// Partition blocks the messages between some callers and some nodes for a time.
type Partition struct {
	From, To float64 // To is excluded
	Callers  []bool  // by number; nil: all
	Nodes    []bool  // by number
}

func (p *Partition) blocks(at float64, caller, node int) bool {
	return at >= p.From && at < p.To && p.Nodes[node] && (p.Callers == nil || p.Callers[caller])
}

// LossPeriod is a time in which a share Rate of all messages is lost.
type LossPeriod struct{ From, To, Rate float64 }

// Network is the state of the network. Only AddLoss and AddPartition change it during a simulation.
type Network struct {
	Delay       vtime.Range
	LossRate    float64 // share of messages that are lost at all times, apart from loss periods
	lossPeriods []LossPeriod
	partitions  []Partition
}

// AddLoss adds a period of loss.
func (n *Network) AddLoss(l LossPeriod) { n.lossPeriods = append(n.lossPeriods, l) }

// AddPartition adds a partition.
func (n *Network) AddPartition(p Partition) { n.partitions = append(n.partitions, p) }

// lossRateAt returns the share of messages that are lost at a time. Losses of overlapping periods are independent.
func (n *Network) lossRateAt(at float64) float64 {
	delivered := 1 - n.LossRate
	for _, l := range n.lossPeriods {
		if at >= l.From && at < l.To {
			delivered *= 1 - l.Rate
		}
	}
	return 1 - delivered
}

// Partitioned reports whether a partition blocks a message that is sent at a time.
func (n *Network) Partitioned(at float64, caller, node int) bool {
	for i := range n.partitions {
		if n.partitions[i].blocks(at, caller, node) {
			return true
		}
	}
	return false
}

// ArrivalTime returns the time at which a message that is sent at a time arrives; infinity if the connection is given
// up first. The seed belongs to the message.
func (n *Network) ArrivalTime(at float64, message vtime.Seed, caller, node int) float64 {
	delay := n.Delay.At(message.Uniform())
	if n.LossRate == 0 && len(n.lossPeriods) == 0 && len(n.partitions) == 0 {
		return at + delay
	}
	timeout := initialRetransmitMs
	for i := range maxTransmissions {
		if !n.Partitioned(at, caller, node) && message.Split("loss", i).Uniform() >= n.lossRateAt(at) {
			return at + delay
		}
		at += timeout
		timeout *= 2
	}
	return math.Inf(1)
}
