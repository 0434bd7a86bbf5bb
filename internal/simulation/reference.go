package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"cresspass/internal/simulation/enginemodel"
)

// ReferenceCase is a queueing system with a known mean response time, used to check the engine model and the
// confidence intervals.
type ReferenceCase struct {
	Name         string
	Cores        int
	Load         float64 // utilization of the cores
	Spread       float64 // sigma of the logarithm of the work; 0: exponential work
	ResponseTime float64 // known mean time in the system, as a multiple of the mean work
	Queries      int
}

// MMC returns an M/M/c case: an engine with c cores, and single-threaded queries with exponential work. The
// number of queries in the system has the same distribution under processor sharing as under first come,
// first served, so the mean response time follows from Erlang's C formula.
func MMC(cores int, load float64, queries int) ReferenceCase {
	c, a := float64(cores), load*float64(cores)
	sum, term := 0.0, 1.0
	for k := range cores {
		sum += term
		term *= a / float64(k+1)
	}
	last := term / (1 - load)
	wait := last / (sum + last) / (c * (1 - load))
	return ReferenceCase{Name: "M/M/c", Cores: cores, Load: load, ResponseTime: 1 + wait, Queries: queries}
}

// MG1PS returns an M/G/1 case with processor sharing: an engine with one core, and log-normal work. Its mean
// response time does not depend on the spread.
func MG1PS(load, spread float64, queries int) ReferenceCase {
	return ReferenceCase{Name: "M/G/1-PS", Cores: 1, Load: load, Spread: spread, ResponseTime: 1 / (1 - load),
		Queries: queries}
}

// Settings of the run of a reference case.
const (
	referenceStream     = 7   // random number stream
	referenceWarmUpPart = 5   // the first 1/referenceWarmUpPart of the queries is left out
	referenceSamples    = 200 // samples of the number of open queries
	referenceMaxLengths = 4   // a run ends at the latest after this multiple of its expected length
)

// referenceRun is a run of a reference case.
type referenceRun struct {
	ReferenceCase
	random        *rand.Rand
	queue         Queue
	engine        *enginemodel.Model
	nextEvent     time.Duration // time of the engine's scheduled event
	startedAt     map[*enginemodel.Running]time.Duration
	finished      int
	responseTimes []float64
}

// Simulate runs the case and returns the response times as multiples of the mean work, without the warm-up,
// and the number of queries in the system at regular intervals.
func (c ReferenceCase) Simulate(seed uint64) (responseTimes, openQueries []float64) {
	kind := enginemodel.Kind{Cores: float64(c.Cores), ContentionKnee: 1e9} // without contention
	r := &referenceRun{
		ReferenceCase: c,
		random:        rand.New(rand.NewPCG(seed, referenceStream)),
		engine:        enginemodel.New(kind, 0, false),
		nextEvent:     math.MaxInt64,
		startedAt:     map[*enginemodel.Running]time.Duration{},
	}
	r.queue.At(0, r.arrive)
	length := time.Duration(float64(c.Queries) / (c.Load * float64(c.Cores)) * 1e9)
	end := referenceMaxLengths * length
	for at := time.Duration(0); !r.done() && at < end; at += length / referenceSamples {
		r.queue.Run(at)
		if at < length {
			openQueries = append(openQueries, float64(len(r.engine.Jobs())))
		}
	}
	return r.responseTimes, openQueries
}

func (r *referenceRun) done() bool { return len(r.responseTimes) >= r.Queries }

// arrive starts a query and, unless the run is done, schedules the next arrival.
func (r *referenceRun) arrive() {
	j := r.engine.Start(r.queue.Now(), enginemodel.Job{Work: r.drawWork(), Threads: 1})
	r.startedAt[j] = r.queue.Now()
	r.scheduleEngine()
	if !r.done() {
		r.queue.In(time.Duration(r.random.ExpFloat64()/(r.Load*float64(r.Cores))*1e9), r.arrive)
	}
}

func (r *referenceRun) drawWork() float64 {
	if r.Spread == 0 {
		return r.random.ExpFloat64()
	}
	return math.Exp(r.Spread*r.random.NormFloat64() - r.Spread*r.Spread/2)
}

// scheduleEngine schedules the engine's next event, unless an earlier one is scheduled.
func (r *referenceRun) scheduleEngine() {
	at, ok := r.engine.NextEvent()
	if !ok || at >= r.nextEvent && r.nextEvent > r.queue.Now() {
		return
	}
	r.nextEvent = at
	r.queue.At(at, func() {
		if r.nextEvent != at {
			return // an earlier event was scheduled since
		}
		r.nextEvent = math.MaxInt64
		r.finish(r.engine.Advance(r.queue.Now()))
		r.scheduleEngine()
	})
}

// finish records the response times of queries, after the warm-up.
func (r *referenceRun) finish(jobs []*enginemodel.Running) {
	for _, j := range jobs {
		if r.finished++; r.finished > r.Queries/referenceWarmUpPart && !r.done() {
			r.responseTimes = append(r.responseTimes, (r.queue.Now() - r.startedAt[j]).Seconds())
		}
		delete(r.startedAt, j)
	}
}

// Coverage returns the share of runs in which the interval of BatchMeans contains the known mean. The runs
// have the seeds 1 to runs.
func (c ReferenceCase) Coverage(runs, batches int) (share float64, err error) {
	held, err := Parallel(runs, func(i int) (float64, error) {
		responseTimes, _ := c.Simulate(uint64(i + 1))
		if e := BatchMeans(responseTimes, batches); math.Abs(e.Mean-c.ResponseTime) <= e.HalfWidth {
			return 1, nil
		}
		return 0, nil
	})
	for _, v := range held {
		share += v / float64(runs)
	}
	return share, err
}
