package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"cresspass/internal/simulation/enginemodel"
)

// ReferenceCase is a queue with a known mean response time, to check the engine model and the estimates.
type ReferenceCase struct {
	Name         string
	Cores        int
	Load         float64 // of the cores
	Spread       float64 // sigma of the logarithm of the work; 0: exponential work
	ResponseTime float64 // mean time in the system, in mean works
	Queries      int
}

// MMC is an engine with a number of cores, and queries of one thread and exponential work. Processor sharing
// holds as many of them as first come, first served does, so the mean is that of Erlang's C formula.
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

// MG1PS is an engine of one core, with processor sharing and log-normal work. Its mean does not depend on the
// spread.
func MG1PS(load, spread float64, queries int) ReferenceCase {
	return ReferenceCase{Name: "M/G/1-PS", Cores: 1, Load: load, Spread: spread, ResponseTime: 1 / (1 - load),
		Queries: queries}
}

// Simulate returns the response times of a run, in mean works and without the warm-up, and the number of
// queries in the system at even times.
func (k ReferenceCase) Simulate(seed uint64) (took, waiting []float64) {
	r := rand.New(rand.NewPCG(seed, 7))
	q := &Queue{}
	m := enginemodel.New(enginemodel.Kind{Cores: float64(k.Cores), Knee: 1e9}, 0, false)
	next, begun := time.Duration(math.MaxInt64), map[*enginemodel.Running]time.Duration{}
	warm := k.Queries / 5
	n := 0
	var arm func()
	arm = func() {
		at, ok := m.Next()
		if !ok || at >= next && next > q.Now() {
			return
		}
		next = at
		q.At(at, func() {
			if next != at {
				return
			}
			next = math.MaxInt64
			for _, j := range m.Advance(q.Now()) {
				if n++; n > warm && len(took) < k.Queries {
					took = append(took, (q.Now() - begun[j]).Seconds())
				}
				delete(begun, j)
			}
			arm()
		})
	}
	work := func() float64 {
		if k.Spread == 0 {
			return r.ExpFloat64()
		}
		return math.Exp(k.Spread*r.NormFloat64() - k.Spread*k.Spread/2)
	}
	var arrive func()
	arrive = func() {
		j := m.Start(q.Now(), enginemodel.Job{Work: work(), Threads: 1})
		begun[j] = q.Now()
		arm()
		if len(took) < k.Queries {
			q.In(time.Duration(r.ExpFloat64()/(k.Load*float64(k.Cores))*1e9), arrive)
		}
	}
	q.At(0, arrive)
	length := time.Duration(float64(k.Queries) / (k.Load * float64(k.Cores)) * 1e9)
	for at := time.Duration(0); len(took) < k.Queries && at < 4*length; at += length / 200 {
		q.Run(at)
		if at < length {
			waiting = append(waiting, float64(len(m.Jobs())))
		}
	}
	return took, waiting
}

// Coverage is the share of runs in which the interval of BatchMeans holds the known mean.
func (k ReferenceCase) Coverage(runs, batches int) (share float64, err error) {
	held, err := Parallel(runs, func(i int) (float64, error) {
		took, _ := k.Simulate(uint64(i + 1))
		if b := BatchMeans(took, batches); math.Abs(b.Mean-k.ResponseTime) <= b.HalfWidth {
			return 1, nil
		}
		return 0, nil
	})
	for _, v := range held {
		share += v / float64(runs)
	}
	return share, err
}
