package simulation

import (
	"math/rand/v2"
	"time"
)

// NetworkConditions is what a network does to packets.
type NetworkConditions struct {
	Loss, Duplication float64 // shares
	MinDelay, Spread  time.Duration
	LateShare         float64       // share of those that come late...
	LateDelay         time.Duration // ...by so much
}

// CalmNetwork is a network as it is within a building.
func CalmNetwork() NetworkConditions {
	return NetworkConditions{Loss: 0.001, MinDelay: 200 * time.Microsecond, Spread: 500 * time.Microsecond}
}

// StormyNetwork is one that loses, doubles and delays much.
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
	linkOpen   func(from, to int) bool // nil: all links are
	Sent       uint64
	Lost       uint64
	Bytes      []uint64 // by sender
}

// NewNetwork returns a network of so many places.
func NewNetwork(q *Queue, seed uint64, places int, w NetworkConditions) *Network {
	return &Network{queue: q, random: rand.New(rand.NewPCG(seed, 77)), conditions: w, Bytes: make([]uint64,
		places)}
}

// SetLinks has packets pass only where open says so, one way each; nil: everywhere.
func (n *Network) SetLinks(open func(from, to int) bool) { n.linkOpen = open }

// IsOpen reports whether packets pass from one to the other.
func (n *Network) IsOpen(from, to int) bool { return n.linkOpen == nil || n.linkOpen(from, to) }

// arrivalInterval is the grain of the times at which packets arrive. Danger: were each at a moment of its own, what a
// hub tells all would be hundreds of moments, of which no two could be played side by side.
const arrivalInterval = time.Millisecond

// Send carries a packet, perhaps: own and do happen not at all, once or twice, at a later time, as in
// Queue.Both.
func (n *Network) Send(from, to, bytes int, own, do func()) {
	n.Sent++
	n.Bytes[from] += uint64(bytes)
	times := 1
	if n.random.Float64() < n.conditions.Duplication {
		times = 2
	}
	for range times {
		delay := n.conditions.MinDelay + time.Duration(n.random.Float64()*float64(n.conditions.Spread))
		if n.random.Float64() < n.conditions.LateShare {
			delay += n.conditions.LateDelay
		}
		if n.random.Float64() < n.conditions.Loss || !n.IsOpen(from, to) {
			n.Lost++
			continue
		}
		at := n.queue.Now() + delay
		n.queue.AtParallel(uint64(to)+1, (at + arrivalInterval - 1).Truncate(arrivalInterval), own, do)
	}
}
