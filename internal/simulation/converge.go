package simulation

import (
	"slices"
	"time"

	"cresspass"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/observation"
)

// Agreed reports whether all members that are up have the same count of members, distinct ordinals below the
// count (or minCount, if that is more), and fleet clocks that differ by less than a tolerance.
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

// Propagated is the share of members that know a value that one of them observed.
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

// Convergence is how fast a fleet that starts at once agrees. A time of notReached was not reached within
// convergenceTimeout.
type Convergence struct {
	Members     int
	Agreed      time.Duration // on ordinals, count and clock
	Propagated  time.Duration // from one member's observation of an engine until all know it
	Reconverged time.Duration // from the return of a tenth of the members until all agree again
	// BytesSecond is what a member sends a second when nothing happens, without the module's messages: the
	// mean and the maximum.
	BytesSecond, MaxBytesSecond float64
	Events                      uint64
}

const (
	convergenceTimeout = 2 * time.Minute
	notReached         = time.Duration(-1)
	startSpread        = 2 * time.Second // within which the members start
	trafficWarmup      = 10 * time.Second
	trafficWindow      = 20 * time.Second // over which BytesSecond is measured
	returnDelay        = 3 * time.Second  // of the tenth that stops
	observedValue      = 77
)

// Converge starts a fleet at once and measures how fast it agrees.
func Converge(seed uint64, n, engines int, w NetworkConditions) Convergence {
	q := &Queue{}
	cores := map[cresspass.EngineID]float64{}
	for i := range engines {
		cores[engineID(i)] = 16
	}
	f := NewMembers(q, seed, n, w, DefaultDetection(), GossipConfig(1, 4),
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

// timeUntil lets time pass until a condition holds, and returns how long it took, or notReached.
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

// observeEngines makes all members observe all engines now and then, as in service: this is what digests
// carry.
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

// measureTraffic returns how many bytes a second members send: the mean and the maximum.
func (f *Members) measureTraffic() (mean, most float64) {
	f.Queue.Run(f.Queue.Now() + trafficWarmup)
	before := slices.Clone(f.Net.Bytes)
	f.Queue.Run(f.Queue.Now() + trafficWindow)
	for i := range f.All {
		b := float64(f.Net.Bytes[i]-before[i]) / trafficWindow.Seconds()
		mean += b / float64(len(f.All))
		most = max(most, b)
	}
	return mean, most
}

// measurePropagation returns the time from one member's observation until all know it.
func (f *Members) measurePropagation() time.Duration {
	k := observation.Key{Engine: string(engineID(0)), Property: observation.Uptime}
	first := f.All[0]
	first.Node.Store().Observe(first.now(f.Queue), k, observedValue)
	return f.timeUntil(func() bool { return f.Propagated(k, observedValue) == 1 })
}
