package enginemodel

import "math"

// priorityWeights are the weights of a thread's share of the cores, by the priority of its job.
var priorityWeights = [4]float64{1, 4, 8, 16}

// Parameters of the loss of throughput by contention for cores and by paging. Throughput is multiplied by
// a ratio to the power of its exponent.
const (
	defaultKnee        = 1.7  // threads per core above which throughput falls
	contentionExponent = 0.3  // of the knee divided by the threads per core
	pagingExponent     = -2.5 // of the granted memory divided by the machine's memory
)

// speeds returns each job's speed in thread seconds per second, in the order of m.jobs. Cores are shared by
// water-filling: the part of its weighted share that a job cannot use is left to the others.
func (m *Model) speeds() []float64 {
	speeds := make([]float64, len(m.jobs))
	threads := m.Threads()
	if m.halted || threads == 0 {
		return speeds
	}
	capacity := m.capacity(threads)
	threadSpeed := math.Min(1, m.RampFraction()) / m.slowdown // maximum speed of one thread
	open := make([]int, 0, len(m.jobs))
	for i, r := range m.jobs {
		if !r.blocked {
			open = append(open, i)
		}
	}
	for len(open) > 0 {
		totalWeight := 0.0
		for _, i := range open {
			totalWeight += m.weight(i)
		}
		rest, available := open[:0], capacity
		saturated := false
		for _, i := range open {
			if limit := m.jobs[i].Threads * threadSpeed; available*m.weight(i)/totalWeight >= limit {
				speeds[i] = limit
				capacity -= limit
				saturated = true
			} else {
				rest = append(rest, i)
			}
		}
		if !saturated {
			for _, i := range rest {
				speeds[i] = math.Max(0, available) * m.weight(i) / totalWeight
			}
			break
		}
		open = rest
	}
	return speeds
}

// capacity returns the total speed of all jobs, in thread seconds per second, with the given number of
// threads.
func (m *Model) capacity(threads float64) float64 {
	knee := m.kind.ContentionKnee
	if knee <= 0 {
		knee = defaultKnee
	}
	capacity := m.kind.Cores * m.RampFraction() / m.slowdown
	if load := threads / m.kind.Cores; load > knee {
		capacity *= math.Pow(knee/load, contentionExponent)
	}
	if granted := m.GrantedShare(); granted > 1 {
		capacity *= math.Pow(granted, pagingExponent)
	}
	return capacity
}

func (m *Model) weight(i int) float64 {
	r := m.jobs[i]
	return r.Threads * priorityWeights[min(max(r.Priority, 0), len(priorityWeights)-1)]
}
