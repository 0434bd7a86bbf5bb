// Package enginemodel models an analytic engine: queries that share its cores by their priorities, memory
// grants with spills and paging, data sets kept warm, loads that hold their tables, a cold start that can be
// pushed over. It is driven by a clock that is handed in, does no I/O and draws no random numbers.
package enginemodel

import (
	"math"
	"slices"
	"time"
)

// Kind describes a machine. Zero figures switch their effect off.
type Kind struct {
	Cores    float64
	MemoryMB float64
	Knee     float64 // threads a core from which total work falls; 0: 1.7
	// a query without any of its memory does so many times its work more
	SpillCost               float64
	WarmSets                int           // data sets kept warm
	WarmSaves               float64       // part of the work that a warm set saves
	SlowStartFrom           float64       // share of its capacity at a start
	SlowStartDuration       time.Duration // until it is warm
	SlowStartOverloadFactor float64       // sent more than this multiple of its present capacity...
	SlowStartWindow         time.Duration // ...over this long, it falls over
	MaxJobs                 int           // more are turned away
}

// Job is a query as the engine sees it.
type Job struct {
	Work     float64 // thread seconds
	Threads  float64
	NeedMB   float64
	GrantMB  float64 // 0: the engine gives what it needs
	Priority int     // 0 to 3
	Tables   string  // data set it reads; "": none
	Loads    bool    // holds its data set: others of the set stand still
}

// Running is a job in the engine.
type Running struct {
	Job
	Begun         time.Duration
	totalWork     float64 // work with spills, in thread seconds
	remainingWork float64
	spillMB       float64
	waiting       bool
}

// Done is the share of the work that is done.
func (r *Running) Done() float64 { return 1 - r.remainingWork/r.totalWork }

// SpillMB is the memory it lacks, in MB.
func (r *Running) SpillMB() float64 { return r.spillMB }

// Waits reports whether it stands still for a load.
func (r *Running) Waits() bool { return r.waiting }

// Model is one engine. It is for one goroutine at a time.
type Model struct {
	kind           Kind
	started        time.Duration
	now            time.Duration
	slowdown       float64
	halted         bool
	fallen         bool
	jobs           []*Running
	finished       []*Running // ended, and not yet told of
	cachedSets     []string   // the last used in front
	recentArrivals []arrival
	workDone       float64 // thread seconds of work done, all jobs
}

type arrival struct {
	at   time.Duration
	work float64
}

// New returns an engine that starts now. cold false: it started long ago.
func New(kind Kind, now time.Duration, cold bool) *Model {
	m := &Model{kind: kind, started: now, now: now, slowdown: 1}
	if !cold {
		m.started = now - kind.SlowStartDuration
	}
	return m
}

// Jobs are those that run, in the order of their beginning.
func (m *Model) Jobs() []*Running { return m.jobs }

// WorkDone is the work done so far, in thread seconds.
func (m *Model) WorkDone() float64 { return m.workDone }

// Fallen reports whether the engine was pushed over. It stays down.
func (m *Model) Fallen() bool { return m.fallen }

// Threads is the number of threads that run or want to.
func (m *Model) Threads() (sum float64) {
	for _, r := range m.jobs {
		if !r.waiting {
			sum += r.Threads
		}
	}
	return sum
}

// Granted is the memory granted over what there is, 0 where that is not known.
func (m *Model) Granted() float64 {
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

// RampFraction is the share of its capacity that it has now.
func (m *Model) RampFraction() float64 {
	k := &m.kind
	age := m.now - m.started
	if k.SlowStartDuration <= 0 || age >= k.SlowStartDuration || k.SlowStartFrom <= 0 {
		return 1
	}
	return k.SlowStartFrom + (1-k.SlowStartFrom)*age.Seconds()/k.SlowStartDuration.Seconds()
}

// Slow sets how many times slower than itself it is.
func (m *Model) Slow(now time.Duration, factor float64) {
	m.advance(now)
	m.slowdown = math.Max(factor, 1e-3)
}

// Halt stops all work, or lets it go on.
func (m *Model) Halt(now time.Duration, halted bool) {
	m.advance(now)
	m.halted = halted
}

// Flush makes the engine forget what it kept warm.
func (m *Model) Flush() { m.cachedSets = nil }

// Start takes a job; nil: it is turned away unseen. The engine may fall over by it.
func (m *Model) Start(now time.Duration, j Job) *Running {
	m.advance(now)
	m.recordArrivedWork(j.Work)
	if m.fallen || m.kind.MaxJobs > 0 && len(m.jobs) >= m.kind.MaxJobs {
		return nil
	}
	r := &Running{Job: j, Begun: m.now, totalWork: math.Max(j.Work, 1e-6)}
	r.Threads = math.Max(r.Threads, 0.01)
	if r.NeedMB > 0 {
		got := r.NeedMB
		if r.GrantMB > 0 {
			got = math.Min(got, r.GrantMB)
		}
		if m.kind.MemoryMB > 0 {
			got = math.Min(got, math.Max(0.1*r.NeedMB, m.kind.MemoryMB-m.grantedMB()))
		}
		r.spillMB = r.NeedMB - got
		r.totalWork *= 1 + m.kind.SpillCost*r.spillMB/r.NeedMB
	}
	if j.Tables != "" {
		if m.accessDataSet(j.Tables) {
			r.totalWork *= 1 - m.kind.WarmSaves
		}
	}
	r.remainingWork = r.totalWork
	m.jobs = append(m.jobs, r)
	m.blockWaitingJobs()
	return r
}

// accessDataSet makes a data set the last used and reports whether it was warm.
func (m *Model) accessDataSet(set string) bool {
	for i, v := range m.cachedSets {
		if v == set {
			copy(m.cachedSets[1:i+1], m.cachedSets[:i])
			m.cachedSets[0] = set
			return true
		}
	}
	m.cachedSets = append([]string{set}, m.cachedSets...)
	m.cachedSets = m.cachedSets[:min(len(m.cachedSets), m.kind.WarmSets)]
	return false
}

// recordArrivedWork counts work that was sent, also what is turned away. A cold engine falls over under too
// much of it.
func (m *Model) recordArrivedWork(work float64) {
	k := &m.kind
	if k.SlowStartOverloadFactor <= 0 || k.SlowStartWindow <= 0 || m.RampFraction() >= 1 {
		m.recentArrivals = m.recentArrivals[:0]
		return
	}
	m.recentArrivals = append(m.recentArrivals, arrival{m.now, work})
	sum := 0.0
	for i := len(m.recentArrivals) - 1; i >= 0; i-- {
		if m.now-m.recentArrivals[i].at > k.SlowStartWindow {
			m.recentArrivals = m.recentArrivals[i+1:]
			break
		}
		sum += m.recentArrivals[i].work
	}
	if sum > k.SlowStartOverloadFactor*k.Cores*m.RampFraction()*k.SlowStartWindow.Seconds() {
		m.fallen, m.jobs = true, nil
	}
}

// End takes a job out, done or not.
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
	m.blockWaitingJobs()
}

// blockWaitingJobs marks who stands still: of a data set that a load holds, all but the first load.
func (m *Model) blockWaitingJobs() {
	holders := map[string]*Running{}
	for _, r := range m.jobs {
		if r.Loads && r.Tables != "" && holders[r.Tables] == nil {
			holders[r.Tables] = r
		}
	}
	for _, r := range m.jobs {
		h := holders[r.Tables]
		r.waiting = h != nil && h != r
	}
}

// priorityWeights of shares by priority.
var priorityWeights = [4]float64{1, 4, 8, 16}

// speeds returns each job's speed in thread seconds a second, in the order of jobs.
func (m *Model) speeds() []float64 {
	out := make([]float64, len(m.jobs))
	threads := m.Threads()
	if m.halted || threads == 0 {
		return out
	}
	knee := m.kind.Knee
	if knee <= 0 {
		knee = 1.7
	}
	capacity := m.kind.Cores * m.RampFraction() / m.slowdown
	if load := threads / m.kind.Cores; load > knee { // crowding: total work falls
		capacity *= math.Pow(knee/load, 0.3)
	}
	if g := m.Granted(); g > 1 {
		capacity *= math.Pow(g, -2.5)
	}
	single := math.Min(1, m.RampFraction()) / m.slowdown // what one thread can do at most
	// Water-filling: who cannot use its share leaves it to the others.
	open := make([]int, 0, len(m.jobs))
	for i, r := range m.jobs {
		if !r.waiting {
			open = append(open, i)
		}
	}
	for len(open) > 0 {
		total := 0.0
		for _, i := range open {
			total += m.weight(i)
		}
		rest, kept := open[:0], capacity
		full := false
		for _, i := range open {
			if most := m.jobs[i].Threads * single; kept*m.weight(i)/total >= most {
				out[i] = most
				capacity -= most
				full = true
			} else {
				rest = append(rest, i)
			}
		}
		if !full {
			for _, i := range rest {
				out[i] = math.Max(0, kept) * m.weight(i) / total
			}
			break
		}
		open = rest
	}
	return out
}

func (m *Model) weight(i int) float64 {
	r := m.jobs[i]
	return r.Threads * priorityWeights[min(max(r.Priority, 0), 3)]
}

// warmupStep is how long speeds may be taken as they are while an engine warms up.
const warmupStep = 100 * time.Millisecond

// Advance lets time pass and returns the jobs that ended, in order.
func (m *Model) Advance(now time.Duration) (ended []*Running) {
	m.advance(now)
	ended, m.finished = m.finished, nil
	return ended
}

// advance keeps the jobs that end for the next Advance. Danger: time passes by every call, and a job that
// ended by one that returns no ends would be waited for without end.
func (m *Model) advance(now time.Duration) {
	for m.now < now {
		until := now
		if m.RampFraction() < 1 {
			until = min(until, m.now+warmupStep)
		}
		speeds := m.speeds()
		for i, r := range m.jobs {
			if speeds[i] > 0 {
				until = min(until, m.now+toDuration(r.remainingWork/speeds[i]))
			}
		}
		passed := (until - m.now).Seconds()
		m.now = until
		var over []*Running
		for i, r := range m.jobs {
			did := math.Min(speeds[i]*passed, r.remainingWork)
			m.workDone += did
			if r.remainingWork -= did; r.remainingWork <= 1e-9 {
				over = append(over, r)
			}
		}
		for _, r := range over {
			m.remove(r)
		}
		m.finished = append(m.finished, over...)
	}
}

func toDuration(seconds float64) time.Duration {
	return max(time.Duration(math.Ceil(math.Min(seconds, 1e6)*1e9)), 1)
}

// Next is when Advance should be called next, and whether anything is to be expected.
func (m *Model) Next() (time.Duration, bool) {
	if len(m.finished) > 0 {
		return m.now, true
	}
	next, ok := time.Duration(math.MaxInt64), false
	speeds := m.speeds()
	for i, r := range m.jobs {
		if speeds[i] > 0 {
			next, ok = min(next, m.now+toDuration(r.remainingWork/speeds[i])), true
		}
	}
	if ok && m.RampFraction() < 1 {
		next = min(next, m.now+warmupStep)
	}
	return next, ok
}
