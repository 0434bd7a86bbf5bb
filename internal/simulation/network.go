package simulation

import (
	"math/rand/v2"
	"time"
)

// NetworkConditions says what a network does to packets.
type NetworkConditions struct {
	Loss, Duplication float64 // shares
	MinDelay, Spread  time.Duration
	LateShare         float64       // share of packets that are late...
	LateDelay         time.Duration // ...by this much
}

// CalmNetwork is a network within a data center.
func CalmNetwork() NetworkConditions {
	return NetworkConditions{Loss: 0.001, MinDelay: 200 * time.Microsecond, Spread: 500 * time.Microsecond}
}

// StormyNetwork is a network that loses, duplicates and delays many packets.
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

// Network carries packets between numbered places.
type Network struct {
	queue      *Queue
	random     *rand.Rand
	conditions NetworkConditions
	linkOpen   func(from, to int) bool // nil: all are
	Sent       uint64
	Lost       uint64
	Bytes      []uint64 // by sender
}

// NewNetwork returns a network of a number of places.
func NewNetwork(q *Queue, seed uint64, places int, conditions NetworkConditions) *Network {
	return &Network{queue: q, random: rand.New(rand.NewPCG(seed, networkStream)), conditions: conditions,
		Bytes: make([]uint64, places)}
}

// SetLinks makes packets pass only where open says so, for each direction; nil: everywhere.
func (n *Network) SetLinks(open func(from, to int) bool) { n.linkOpen = open }

// IsOpen reports whether packets pass from one place to another.
func (n *Network) IsOpen(from, to int) bool { return n.linkOpen == nil || n.linkOpen(from, to) }

// arrivalInterval is the resolution of the times at which packets arrive. If each arrived at a time of its
// own, an aggregator's message to all would make hundreds of moments, none of which could run in parallel.
const arrivalInterval = time.Millisecond

// Send carries a packet, which may be lost, delayed or duplicated. local and apply run on each arrival, as in
// Queue.AtParallel.
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
