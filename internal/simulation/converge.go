package simulation

import (
	"slices"
	"time"

	"cresspass"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/observation"
)

// Agreed reports whether all members that are up count exactly the members that are up, have distinct
// ordinals below that count (or minCount, if that is more), and have fleet clocks that differ by less than
// tolerance.
func (f *Members) Agreed(minCount int, tolerance time.Duration) bool {
	up, seen := 0, map[int]bool{}
	var earliest, latest time.Duration
	for _, m := range f.All {
		if !m.Up {
			continue
		}
		stats, clock := m.Node.Stats(), m.Node.FleetClock(m.now(f.Queue))
		if up++; up == 1 {
			earliest, latest = clock, clock
		}
		earliest, latest = min(earliest, clock), max(latest, clock)
		if stats.Ordinal < 0 || seen[stats.Ordinal] {
			return false
		}
		seen[stats.Ordinal] = true
	}
	for _, m := range f.All {
		if m.Up && m.Node.Stats().Members != up {
			return false
		}
	}
	for n := range seen {
		if n >= max(up, minCount) {
			return false
		}
	}
	return latest-earliest < tolerance
}

// Propagated returns how large a share of the members that are up knows a value that one member observed.
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

// Convergence holds how fast the members of a fleet that start together agree. A time of notReached (-1)
// means that the state was not reached within convergenceTimeout.
type Convergence struct {
	Members     int
	Agreed      time.Duration // on ordinals, count and clock
	Propagated  time.Duration // from one member's observation of an engine until all know it
	Reconverged time.Duration // from the return of a tenth of the members until all agree again
	// BytesSecond and MaxBytesSecond are the bytes per second that a member sends in a steady state, without
	// the module's messages: the mean and the maximum over the members.
	BytesSecond, MaxBytesSecond float64
	Events                      uint64
}

const (
	convergenceTimeout = 2 * time.Minute
	notReached         = time.Duration(-1)
	startSpread        = 2 * time.Second // members start at random times within it
	trafficWarmup      = 10 * time.Second
	trafficWindow      = 20 * time.Second // over which BytesSecond is measured
	returnDelay        = 3 * time.Second  // until the stopped tenth starts again
	observedValue      = 77
)

// Converge starts all members of a fleet within startSpread and measures how fast they agree.
func Converge(seed uint64, n, engines int, conditions NetworkConditions) Convergence {
	q := &Queue{}
	cores := map[cresspass.EngineID]float64{}
	for i := range engines {
		cores[engineID(i)] = 16
	}
	f := NewMembers(q, seed, n, conditions, DefaultDetection(), GossipConfig(1, 4),
		func(t *gossip.Node) { t.SetEngines(cores) })
	out := Convergence{Members: n}
	for i := range n {
		q.In(f.randomDelay(startSpread), func() { f.Start(i, -1, 0) })
	}
	agreed := func() bool { return f.Agreed(1, time.Second) }
	q.Run(startSpread)
	out.Agreed = f.timeUntil(agreed)
	f.observeEngines(engines)
	out.BytesSecond, out.MaxBytesSecond = f.measureTraffic()
	out.Propagated = f.measurePropagation()
	tenth := max(n/10, 1)
	for i := range tenth {
		f.Stop(i, false)
	}
	q.Run(q.Now() + returnDelay)
	for i := range tenth {
		f.Start(i, -1, 0)
	}
	out.Reconverged = f.timeUntil(agreed)
	out.Events = q.Executed()
	return out
}

// timeUntil advances the simulation until a condition holds, and returns how long that took, or notReached.
func (f *Members) timeUntil(ok func() bool) time.Duration {
	const pollInterval = 100 * time.Millisecond
	q := f.Queue
	for begin := q.Now(); q.Now()-begin < convergenceTimeout; q.Run(q.Now() + pollInterval) {
		if ok() {
			return q.Now() - begin
		}
	}
	return notReached
}

// observeEngines makes every member record an attempt at a random engine every second, as in production.
// Gossip digests carry these observations.
func (f *Members) observeEngines(engines int) {
	var observe func(m *Member)
	observe = func(m *Member) {
		if m.Up {
			m.Node.RecordAttempt(m.now(f.Queue), engineID(f.random.IntN(engines)), true, -1)
		}
		f.Queue.In(time.Second, func() { observe(m) })
	}
	for _, m := range f.All {
		observe(m)
	}
}

// measureTraffic returns the bytes per second that members send: the mean and the maximum over the members.
func (f *Members) measureTraffic() (mean, maximum float64) {
	f.Queue.Run(f.Queue.Now() + trafficWarmup)
	before := slices.Clone(f.Net.Bytes)
	f.Queue.Run(f.Queue.Now() + trafficWindow)
	for i := range f.All {
		b := float64(f.Net.Bytes[i]-before[i]) / trafficWindow.Seconds()
		mean += b / float64(len(f.All))
		maximum = max(maximum, b)
	}
	return mean, maximum
}

// measurePropagation returns the time from one member's observation until all members know it.
func (f *Members) measurePropagation() time.Duration {
	k := observation.Key{Engine: string(engineID(0)), Property: observation.Uptime}
	first := f.All[0]
	first.Node.Store().Observe(first.now(f.Queue), k, observedValue)
	return f.timeUntil(func() bool { return f.Propagated(k, observedValue) == 1 })
}
