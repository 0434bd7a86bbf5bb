package simulation

import (
	"math/rand/v2"
	"time"
)

// NetworkConditions describes how a network loses, duplicates and delays packets.
type NetworkConditions struct {
	Loss, Duplication float64       // shares
	MinDelay, Spread  time.Duration // a delay is uniform from MinDelay to MinDelay+Spread
	LateShare         float64       // share of packets that are delayed further...
	LateDelay         time.Duration // ...by this much
}

// CalmNetwork returns the conditions of a network within a data center.
func CalmNetwork() NetworkConditions {
	return NetworkConditions{Loss: 0.001, MinDelay: 200 * time.Microsecond, Spread: 500 * time.Microsecond}
}

// StormyNetwork returns the conditions of a network that loses, duplicates and delays many packets.
func StormyNetwork() NetworkConditions {
	return NetworkConditions{
		Loss:        0.2,
		Duplication: 0.05,
		MinDelay:    time.Millisecond,
		Spread:      50 * time.Millisecond,
		LateShare:   0.05,
		LateDelay:   2 * time.Second,
	}
}

// Network carries packets between nodes, which are numbered from 0.
type Network struct {
	queue      *Queue
	random     *rand.Rand
	conditions NetworkConditions
	linkOpen   func(from, to int) bool // nil: all links are open
	Sent       uint64                  // packets sent, duplicates not counted
	Lost       uint64                  // packets lost or sent over a closed link, duplicates counted
	Bytes      []uint64                // sent, by sender
}

// NewNetwork returns a network of the given number of nodes, with all links open.
func NewNetwork(q *Queue, seed uint64, places int, conditions NetworkConditions) *Network {
	return &Network{queue: q, random: rand.New(rand.NewPCG(seed, networkStream)), conditions: conditions,
		Bytes: make([]uint64, places)}
}

// SetLinks opens only the links for which open returns true. Each direction is a link of its own; nil opens
// all links.
func (n *Network) SetLinks(open func(from, to int) bool) { n.linkOpen = open }

// IsOpen reports whether packets pass from one node to another.
func (n *Network) IsOpen(from, to int) bool { return n.linkOpen == nil || n.linkOpen(from, to) }

// arrivalInterval is the resolution of the times at which packets arrive. If each packet arrived at a time of
// its own, an aggregator's message to all members would arrive at hundreds of different times, and none of
// these arrivals could be handled in parallel.
const arrivalInterval = time.Millisecond

// Send sends a packet of the given number of bytes, which may be lost, delayed or duplicated. local and apply
// run on each arrival, as in Queue.AtParallel.
func (n *Network) Send(from, to, bytes int, local, apply func()) {
	n.Sent++
	n.Bytes[from] += uint64(bytes)
	copies := 1
	if n.random.Float64() < n.conditions.Duplication {
		copies = 2
	}
	for range copies {
		delay := n.conditions.MinDelay + time.Duration(n.random.Float64()*float64(n.conditions.Spread))
		if n.random.Float64() < n.conditions.LateShare {
			delay += n.conditions.LateDelay
		}
		if n.random.Float64() < n.conditions.Loss || !n.IsOpen(from, to) {
			n.Lost++
			continue
		}
		at := n.queue.Now() + delay
		n.queue.AtParallel(uint64(to)+1, (at + arrivalInterval - 1).Truncate(arrivalInterval), local, apply)
	}
}
