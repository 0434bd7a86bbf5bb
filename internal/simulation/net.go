package simulation

import (
	"math/rand/v2"
	"time"
)

// Weather is what a network does to packets.
type Weather struct {
	Loss, Double       float64 // shares
	DelayLeast, Spread time.Duration
	Late               float64       // share of those that come late...
	LateBy             time.Duration // ...by so much
}

// Calm is a network as it is within a building.
func Calm() Weather {
	return Weather{Loss: 0.001, DelayLeast: 200 * time.Microsecond, Spread: 500 * time.Microsecond}
}

// Storm is one that loses, doubles and delays much.
func Storm() Weather {
	return Weather{Loss: 0.2, Double: 0.05, DelayLeast: time.Millisecond, Spread: 50 * time.Millisecond,
		Late:   0.05,
		LateBy: 2 * time.Second}
}

// Network carries packets between numbered places.
type Network struct {
	queue   *Queue
	random  *rand.Rand
	weather Weather
	open    func(from, to int) bool // nil: all links are
	Sent    uint64
	Lost    uint64
	Bytes   []uint64 // by sender
}

// NewNetwork returns a network of so many places.
func NewNetwork(q *Queue, seed uint64, places int, w Weather) *Network {
	return &Network{queue: q, random: rand.New(rand.NewPCG(seed, 77)), weather: w, Bytes: make([]uint64,
		places)}
}

// Cut has packets pass only where open says so, one way each; nil: everywhere.
func (n *Network) Cut(open func(from, to int) bool) { n.open = open }

// Open reports whether packets pass from one to the other.
func (n *Network) Open(from, to int) bool { return n.open == nil || n.open(from, to) }

// arrive is the grain of the times at which packets arrive. Danger: were each at a moment of its own, what a
// hub tells all would be hundreds of moments, of which no two could be played side by side.
const arrive = time.Millisecond

// Send carries a packet, perhaps: own and do happen not at all, once or twice, at a later time, as in
// Queue.Both.
func (n *Network) Send(from, to, bytes int, own, do func()) {
	n.Sent++
	n.Bytes[from] += uint64(bytes)
	times := 1
	if n.random.Float64() < n.weather.Double {
		times = 2
	}
	for range times {
		delay := n.weather.DelayLeast + time.Duration(n.random.Float64()*float64(n.weather.Spread))
		if n.random.Float64() < n.weather.Late {
			delay += n.weather.LateBy
		}
		if n.random.Float64() < n.weather.Loss || !n.Open(from, to) {
			n.Lost++
			continue
		}
		at := n.queue.Now() + delay
		n.queue.Both(uint64(to)+1, (at + arrive - 1).Truncate(arrive), own, do)
	}
}
