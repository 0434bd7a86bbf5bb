package rehearsal

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"cresspass/internal/simulation"
)

// returnArm is an arm of the comparison: a way in which the dispatchers gossip.
type returnArm struct{ name, gossip string }

// returnArms are the arms that CompareReturns compares.
var returnArms = []returnArm{{"no talk", gossipOff}, {"cold", gossipCold}, {"newcomers", gossipAsk}}

// CompareReturns plays a day on which dispatchers are killed and return, for each arm and seed, and sums up
// what the clients of those dispatchers got in the time after the return. At most jobs days are played at
// once. A broken rule on any of the days is an error.
func CompareReturns(ctx context.Context, d *Day, program []string, first, seeds, jobs int) (
	*simulation.Comparison, error) {
	i := slices.IndexFunc(d.Faults, func(f Fault) bool { return f.Kind == faultReturn })
	if i < 0 || seeds < 1 {
		return nil, fmt.Errorf("%s: a day with a return, and seeds, are wanted", d.Name)
	}
	back := d.Faults[i].At + d.Faults[i].For
	out := &simulation.Comparison{
		Windows: []time.Duration{10 * time.Second, 30 * time.Second, 60 * time.Second},
	}
	for _, arm := range returnArms {
		out.Arms = append(out.Arms, simulation.Arm{Name: arm.name})
		out.Summaries = append(out.Summaries, make([][]simulation.WindowSummary, seeds))
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(jobs, 1))
	errs := make(chan error, len(returnArms)*seeds)
	for seed := range seeds { // the arms of one seed run together, so that a busy machine affects all of them
		for a, arm := range returnArms {
			slots <- struct{}{}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer func() { <-slots }()
				r, err := playReturn(ctx, d, program, uint64(first+seed), arm)
				if err != nil {
					errs <- err
					return
				}
				for _, w := range out.Windows {
					out.Summaries[a][seed] = append(out.Summaries[a][seed], r.requestsBetween(back, back+w))
				}
			}()
		}
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		return nil, err
	}
	return out, nil
}

// playReturn plays a day for one arm. A broken rule is an error.
func playReturn(ctx context.Context, d *Day, program []string, seed uint64, arm returnArm) (*Result, error) {
	dir, err := os.MkdirTemp("", "cresspass-rehearse-*")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder that stays harms no result
	r, err := Play(ctx, d, Options{Seed: seed, Program: program, Dir: dir, Gossip: arm.gossip})
	if err != nil {
		return nil, err
	}
	if !r.Kept() {
		return nil, fmt.Errorf("%s, %s, seed %d: a rule broke", d.Name, arm.name, seed)
	}
	return r, nil
}

// simulationOutcomes maps outcomes to those of the simulation.
var simulationOutcomes = map[Outcome]simulation.Outcome{
	Served:    simulation.Served,
	Rejected:  simulation.Rejected,
	Failed:    simulation.Failed,
	Abandoned: simulation.Abandoned,
}

// AllRequests returns a day's requests in the simulation's form, each retry as a request of its own. The
// classes of the requests are numbered in the order of the settings; sessions, which are counted under no
// class of the settings, have -1.
func (r *Result) AllRequests() (out []simulation.Request) {
	numbers, objectives := map[string]int{}, map[string]time.Duration{}
	for i, c := range r.Day.Module.Classes {
		numbers[c.Name], objectives[c.Name] = i, c.LatencyObjective
	}
	for _, v := range r.Samples {
		number, known := numbers[v.Class]
		if !known {
			number = -1
		}
		objective := objectives[v.Class]
		out = append(out, simulation.Request{
			Class:      number,
			Dispatcher: v.Dispatcher,
			At:         v.At - v.Took,
			Elapsed:    v.Took,
			Outcome:    simulationOutcomes[v.Outcome],
			Late:       objective > 0 && v.Took > objective,
		})
	}
	return out
}

// requestsBetween sums up the requests that began between two times, for the clients of the dispatchers with
// odd indexes: those that the fault "return" kills.
func (r *Result) requestsBetween(from, to time.Duration) simulation.WindowSummary {
	all := simulation.Result{Requests: r.AllRequests()}
	for _, w := range r.EngineSamples {
		l := simulation.LoadSample{At: w.At}
		for i, threads := range w.Threads {
			l.Threads = append(l.Threads, threads/r.Day.cores(i))
		}
		all.Loads = append(all.Loads, l)
	}
	var returned []int
	for i := 1; i < r.Day.Dispatchers; i += 2 {
		returned = append(returned, i)
	}
	return all.Between(from, to, returned)
}
