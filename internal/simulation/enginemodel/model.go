package enginemodel

import (
	"math"
	"slices"
	"time"
)

// Kind describes a machine. A zero value turns the effect of a field off, unless its comment says otherwise.
type Kind struct {
	Cores                   float64
	MemoryMB                float64
	ContentionKnee          float64       // threads per core above which throughput falls; 0: defaultKnee
	SpillCost               float64       // extra work, as a multiple, of a query that gets no memory
	CachedDataSets          int           // data sets that the cache holds
	CacheSaving             float64       // share of the work that a cached data set saves
	SlowStartFrom           float64       // share of its capacity right after a start
	SlowStartDuration       time.Duration // until it has its full capacity
	SlowStartOverloadFactor float64       // if sent more than this multiple of its current capacity...
	SlowStartWindow         time.Duration // ...within this time, it collapses
	MaxJobs                 int           // jobs beyond this number are rejected
}

// Lower bounds that keep speeds and durations finite.
const (
	minWork     = 1e-6 // thread seconds
	minThreads  = 0.01
	minSlowdown = 1e-3
)

// minMemoryShare is the share of its need that a query gets even if no memory is free.
const minMemoryShare = 0.1

// Model models one engine. It must not be used by several goroutines at once.
type Model struct {
	kind           Kind
	started        time.Duration
	now            time.Duration
	slowdown       float64
	halted         bool
	collapsed      bool
	jobs           []*Running
	finished       []*Running // not yet returned by Advance
	cachedSets     []string   // most recently used first
	recentArrivals []arrival
	workDone       float64 // thread seconds, of all jobs
}

// New returns the model of an engine whose clock shows now. A cold engine starts now and warms up; otherwise
// the engine started so long ago that it is warm.
func New(kind Kind, now time.Duration, cold bool) *Model {
	m := &Model{kind: kind, started: now, now: now, slowdown: 1}
	if !cold {
		m.started = now - kind.SlowStartDuration
	}
	return m
}

// Jobs returns the jobs in the engine, in the order of their start. The caller must not modify the slice.
func (m *Model) Jobs() []*Running { return m.jobs }

// WorkDone returns the work of all jobs done so far, in thread seconds.
func (m *Model) WorkDone() float64 { return m.workDone }

// Collapsed reports whether the engine collapsed under load while it was warming up. A collapsed model stays
// collapsed.
func (m *Model) Collapsed() bool { return m.collapsed }

// Threads returns the number of threads of all jobs that are not blocked.
func (m *Model) Threads() (sum float64) {
	for _, r := range m.jobs {
		if !r.blocked {
			sum += r.Threads
		}
	}
	return sum
}

// GrantedShare returns the granted memory as a share of the machine's memory; 0 if MemoryMB is 0.
func (m *Model) GrantedShare() float64 {
	if m.kind.MemoryMB <= 0 {
		return 0
	}
	return m.grantedMB() / m.kind.MemoryMB
}

func (m *Model) grantedMB() (sum float64) {
	for _, r := range m.jobs {
		sum += r.NeedMB - r.spillMB
	}
	return sum
}

// SetSlowdown makes the engine slower by a factor, from now on.
func (m *Model) SetSlowdown(now time.Duration, factor float64) {
	m.advance(now)
	m.slowdown = math.Max(factor, minSlowdown)
}

// SetHalted stops all work, or resumes it, from now on.
func (m *Model) SetHalted(now time.Duration, halted bool) {
	m.advance(now)
	m.halted = halted
}

// FlushCache empties the cache of data sets.
func (m *Model) FlushCache() { m.cachedSets = nil }

// Start adds a job. It returns nil if the engine rejects the job or has collapsed. An engine that is warming
// up may collapse under the job; Collapsed reports it.
func (m *Model) Start(now time.Duration, j Job) *Running {
	m.advance(now)
	m.recordArrivedWork(j.Work)
	if m.collapsed || m.kind.MaxJobs > 0 && len(m.jobs) >= m.kind.MaxJobs {
		return nil
	}
	r := &Running{Job: j, StartedAt: m.now, totalWork: math.Max(j.Work, minWork)}
	r.Threads = math.Max(r.Threads, minThreads)
	m.grantMemory(r)
	if j.DataSet != "" && m.accessDataSet(j.DataSet) {
		r.totalWork *= 1 - m.kind.CacheSaving
	}
	r.remainingWork = r.totalWork
	m.jobs = append(m.jobs, r)
	m.updateBlockedJobs()
	return r
}

// grantMemory grants a new job its memory, and adds the work of spilling what it lacks.
func (m *Model) grantMemory(r *Running) {
	if r.NeedMB <= 0 {
		return
	}
	granted := r.NeedMB
	if r.GrantMB > 0 {
		granted = math.Min(granted, r.GrantMB)
	}
	if m.kind.MemoryMB > 0 {
		granted = math.Min(granted, math.Max(minMemoryShare*r.NeedMB, m.kind.MemoryMB-m.grantedMB()))
	}
	r.spillMB = r.NeedMB - granted
	r.totalWork *= 1 + m.kind.SpillCost*r.spillMB/r.NeedMB
}

// accessDataSet makes a data set the most recently used and reports whether it was cached.
func (m *Model) accessDataSet(set string) bool {
	for i, v := range m.cachedSets {
		if v == set {
			copy(m.cachedSets[1:i+1], m.cachedSets[:i])
			m.cachedSets[0] = set
			return true
		}
	}
	m.cachedSets = append([]string{set}, m.cachedSets...)
	m.cachedSets = m.cachedSets[:min(len(m.cachedSets), m.kind.CachedDataSets)]
	return false
}

// End removes a job, finished or not.
func (m *Model) End(now time.Duration, r *Running) {
	m.advance(now)
	m.remove(r)
	m.finished = slices.DeleteFunc(m.finished, func(v *Running) bool { return v == r })
}

func (m *Model) remove(r *Running) {
	for i, v := range m.jobs {
		if v == r {
			m.jobs = append(m.jobs[:i], m.jobs[i+1:]...)
			break
		}
	}
	m.updateBlockedJobs()
}

// updateBlockedJobs marks the blocked jobs: all jobs of a data set that is being loaded, except the first
// load.
func (m *Model) updateBlockedJobs() {
	loads := map[string]*Running{}
	for _, r := range m.jobs {
		if r.IsLoad && r.DataSet != "" && loads[r.DataSet] == nil {
			loads[r.DataSet] = r
		}
	}
	for _, r := range m.jobs {
		load := loads[r.DataSet]
		r.blocked = load != nil && load != r
	}
}
