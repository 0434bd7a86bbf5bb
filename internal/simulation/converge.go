package simulation

import (
	"time"

	"cresspass"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/observation"
)

// Agreed reports whether all that are up have the count of them (at least least), ordinals of their own
// below it, and clocks that differ by less than near.
func (f *Members) Agreed(least int, near time.Duration) bool {
	up, seen := 0, map[int]bool{}
	var early, late time.Duration
	for _, m := range f.All {
		if !m.Up {
			continue
		}
		st, clock := m.Node.Stats(), m.Node.FleetClock(m.now(f.Queue))
		if up++; up == 1 {
			early, late = clock, clock
		}
		early, late = min(early, clock), max(late, clock)
		if st.Ordinal < 0 || seen[st.Ordinal] {
			return false
		}
		seen[st.Ordinal] = true
	}
	for _, m := range f.All {
		if m.Up && m.Node.Stats().Members != up {
			return false
		}
	}
	for n := range seen {
		if n >= max(up, least) {
			return false
		}
	}
	return late-early < near
}

// Propagated is the share of members that hold a fact as it was seen by one.
func (f *Members) Propagated(k observation.Key, value float64) float64 {
	up, known := 0.0, 0.0
	for _, m := range f.All {
		if m.Up {
			up++
			if o := m.Node.Store().Assess(m.now(f.Queue), k); o.Known && o.Value == value {
				known++
			}
		}
	}
	return known / max(up, 1)
}

// Convergence is what a fleet came to that began at once.
type Convergence struct {
	Members     int
	Agreed      time.Duration // ordinals, count and clock
	Propagated  time.Duration // from one's evidence of an engine until all know of it
	Reconverged time.Duration // from the return of a tenth until all agree again
	// BytesSecond is what each says a second when all is calm, module's messages left out: the mean and the
	// most.
	BytesSecond, MaxBytesSecond float64
	Events                      uint64
}

// Converge has a fleet begin at once in a weather, with so many engines, and measures. A time of -1 was not
// reached within two minutes.
func Converge(seed uint64, n, engines int, w NetworkConditions) Convergence {
	q := &Queue{}
	list := map[cresspass.EngineID]float64{}
	for i := range engines {
		list[engineID(i)] = 16
	}
	f := NewMembers(q, seed, n, w, DefaultDetection(), GossipConfig(1, 4),
		func(t *gossip.Node) { t.SetEngines(list) })
	out := Convergence{Members: n}
	for i := range n {
		q.In(f.randomDelay(2*time.Second), func() { f.Start(i, -1, 0) })
	}
	until := func(ok func() bool) time.Duration {
		for begin := q.Now(); q.Now()-begin < 2*time.Minute; q.Run(q.Now() + 100*time.Millisecond) {
			if ok() {
				return q.Now() - begin
			}
		}
		return -1
	}
	agreed := func() bool { return f.Agreed(1, time.Second) }
	q.Run(2 * time.Second)
	out.Agreed = until(agreed)
	// All see all engines now and then, as in service: that is what digests carry.
	var see func(m *Member)
	see = func(m *Member) {
		if m.Up {
			m.Node.RecordAttempt(m.now(q), engineID(f.random.IntN(engines)), true, -1)
		}
		q.In(time.Second, func() { see(m) })
	}
	for _, m := range f.All {
		see(m)
	}
	q.Run(q.Now() + 10*time.Second)
	before := append([]uint64(nil), f.Net.Bytes...)
	q.Run(q.Now() + 20*time.Second)
	for i := range n {
		b := float64(f.Net.Bytes[i]-before[i]) / 20
		out.BytesSecond += b / float64(n)
		out.MaxBytesSecond = max(out.MaxBytesSecond, b)
	}
	k := observation.Key{Engine: string(engineID(0)), Property: observation.Uptime}
	first := f.All[0]
	first.Node.Store().Observe(first.now(q), k, 77)
	out.Propagated = until(func() bool { return f.Propagated(k, 77) == 1 })
	for i := range max(n/10, 1) {
		f.Stop(i, false)
	}
	q.Run(q.Now() + 3*time.Second)
	for i := range max(n/10, 1) {
		f.Start(i, -1, 0)
	}
	out.Reconverged = until(agreed)
	out.Events = q.Executed()
	return out
}
