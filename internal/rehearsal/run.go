package rehearsal

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"cresspass/internal/rehearsal/rulecheck"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// The values of Options.Gossip and Day.Gossip.
const (
	gossipOff  = "no"
	gossipCold = "cold" // a dispatcher that starts does not wait for what the others have learnt
	gossipAsk  = "ask"  // a dispatcher that starts asks the others for what they have learnt
)

// validGossip reports whether v is a value of Options.Gossip or Day.Gossip, or "".
func validGossip(v string) bool {
	return slices.Contains([]string{"", gossipOff, gossipCold, gossipAsk}, v)
}

// Options configures how a day is played.
type Options struct {
	Seed    uint64
	Program []string // the command of a dispatcher, to which a sub-command and flags are added
	Policy  string   // a baseline policy that replaces the decision module; "": the module
	NoState bool     // dispatchers store nothing but their cached engine lists
	// Gossip replaces the day's value. "no": dispatchers do not gossip. "cold": they gossip, but a dispatcher
	// that starts does not wait for what the others have learnt. "ask": a dispatcher that starts asks the
	// others for what they have learnt. "": the day's value, which defaults to "no".
	Gossip  string
	Mutate  int          // the rule whose guard is removed from the decision module; 0: none
	Dir     string       // for settings, cached lists, stored state and the dispatchers' logs
	Log     *slog.Logger // may be nil
	Observe func(Status) // called every 500 ms (sampleInterval); may be nil
}

// Status is the state of a day while it is played.
type Status struct {
	Day     *Day
	At      time.Duration // since the day's start
	Engines []EngineStatus
	Up      []bool                       // of each dispatcher
	Counts  map[string][outcomeCount]int // requests by class and outcome
	Faults  []Fault                      // those that are active
}

// EngineStatus is the state of an engine while a day is played.
type EngineStatus struct {
	Threads, Cores float64 // Threads: in use
	Up, Fallen     bool    // Fallen: the engine went down from overload
	State          string  // as the discovery service lists it
}

// run is a day that is being played.
type run struct {
	day           *Day
	options       Options
	testbed       *testbed.Testbed
	recorder      *rulecheck.Recorder
	relays        []*rulecheck.Relay // before the engines
	dispatchers   []*dispatcher
	load          *workload
	faultsWork    sync.WaitGroup // faults that are scheduled or active
	engineSamples []EngineSample
	dedupWindow   time.Duration // the longest of any class

	mu           sync.Mutex
	engineFaults []standin.Faults // the current faults of each engine
	failures     []error          // errors that make the result unusable
}

const (
	sampleInterval = 500 * time.Millisecond
	startTimeout   = 10 * time.Second // for a dispatcher to listen, and for its first engine list
)

// Play plays a day and checks the rules. A broken rule is no error: the result reports it. An error means
// that the day could not be played to its end.
func Play(ctx context.Context, d *Day, o Options) (*Result, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	r := &run{
		day:          d,
		options:      o,
		recorder:     rulecheck.NewRecorder(),
		engineFaults: make([]standin.Faults, d.Engines),
	}
	defer r.tearDown()
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	start := time.Now()
	dayCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.scheduleFaults(dayCtx, start)
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		for sleep(dayCtx, sampleInterval) {
			r.sample(time.Since(start))
		}
	}()
	r.load.start = start
	r.load.run(ctx, start)
	cancel()
	<-sampled
	r.faultsWork.Wait()
	if err := errors.Join(append(r.failures, ctx.Err())...); err != nil {
		return nil, err
	}
	return r.evaluate(), nil
}

// scheduleFaults injects each fault at its time.
func (r *run) scheduleFaults(ctx context.Context, start time.Time) {
	for _, f := range r.day.Faults {
		r.faultsWork.Add(1)
		go func() {
			defer r.faultsWork.Done()
			if sleep(ctx, time.Until(start.Add(f.At))) {
				r.inject(ctx, f)
			}
		}()
	}
}

// sample records the load of the engines, and passes the state of the day to the observer.
func (r *run) sample(at time.Duration) {
	status := Status{Day: r.day, At: at, Counts: map[string][outcomeCount]int{}}
	sample := EngineSample{At: at}
	for i, e := range r.testbed.Engines {
		up, fallen := e.Up()
		engine := EngineStatus{Cores: r.day.cores(i), Up: up, Fallen: fallen,
			State: string(r.testbed.State(i))}
		if up {
			engine.Threads = e.Threads()
		}
		status.Engines = append(status.Engines, engine)
		sample.Threads = append(sample.Threads, engine.Threads)
	}
	r.engineSamples = append(r.engineSamples, sample)
	if r.options.Observe == nil {
		return
	}
	for _, d := range r.dispatchers {
		status.Up = append(status.Up, d.up.Load())
	}
	r.load.mu.Lock()
	for name, c := range r.load.counts {
		status.Counts[name] = c.Requests
	}
	r.load.mu.Unlock()
	for _, f := range r.day.Faults {
		if f.At <= at && at <= f.At+f.For {
			status.Faults = append(status.Faults, f)
		}
	}
	r.options.Observe(status)
}

// sleep waits for a time. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// tearDown stops the dispatchers, relays and stand-ins.
func (r *run) tearDown() {
	for _, d := range r.dispatchers {
		d.stop()
		_ = d.log.Close() // the dispatcher writes through a descriptor of its own
	}
	for _, d := range r.dispatchers {
		d.closeRelays()
	}
	for _, relay := range r.relays {
		relay.Close()
	}
	if r.testbed != nil {
		r.testbed.Close()
	}
}

// fail records an error that makes the day's result unusable. A nil error is ignored.
func (r *run) fail(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	r.failures = append(r.failures, err)
	r.mu.Unlock()
}
