package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"cresspass"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/simulation/enginemodel"
)

// Random number streams of one seed. Each concern draws from a stream of its own, so that a change to one
// does not change the draws of the others.
const (
	fleetStream   = 1
	policyStream  = 3
	networkStream = 77
	membersStream = 78
	trafficStream = 100 // plus the index in Config.Traffic
)

// incarnationSeedStep is added to a dispatcher's seed at each start.
const incarnationSeedStep = 1000

// Fleet is a simulated fleet. It is created by NewFleet and must not be used by several goroutines at once.
type Fleet struct {
	cfg           Config
	queue         *Queue
	members       *Members
	engines       []*engine
	dispatchers   []*dispatcher
	random        *rand.Rand
	lastRequestID uint64
	result        Result
	err           error
	byID          map[cresspass.EngineID]*engine
	openRequests  int  // requests without an answer
	independent   bool // dispatchers decide independently: their steps may run in parallel
	disturbance   disturbance
}

// NewFleet returns a fleet at the beginning of its day, with all its events scheduled. It returns an error
// if the configuration is invalid or a dispatcher's decider can't be created.
func NewFleet(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, queue: &Queue{}, random: rand.New(rand.NewPCG(cfg.Seed, fleetStream)),
		byID: map[cresspass.EngineID]*engine{}, disturbance: noDisturbance}
	if cfg.Dispatchers < 1 || len(cfg.Engines) == 0 {
		return nil, fmt.Errorf("model: %d dispatchers and %d engines, want at least one of each",
			cfg.Dispatchers, len(cfg.Engines))
	}
	// The oracle reads the state of the whole fleet, and all instances of a binary share one process: their
	// steps can't run in parallel.
	f.independent = cfg.Policy == "" && cfg.Decide == nil
	f.queue.Workers(cfg.Workers)
	for _, t := range cfg.Traffic {
		if f.cfg.class(t.Class) == nil {
			return nil, fmt.Errorf("model: traffic of %q: there is no such class", t.Class)
		}
	}
	if err := f.addEngines(); err != nil {
		return nil, err
	}
	if err := f.startDispatchers(); err != nil {
		return nil, err
	}
	if err := f.scheduleClients(); err != nil {
		return nil, err
	}
	for _, r := range cfg.Restarts {
		f.queue.At(r.At, func() { f.restartDispatchers(r) })
	}
	for _, t := range cfg.Faults {
		if err := f.scheduleFault(t); err != nil {
			return nil, err
		}
	}
	for i := range cfg.Byzantine {
		f.scheduleForgedMessages(f.dispatchers[i])
	}
	f.sampleLoads()
	return f, nil
}

func (f *Fleet) addEngines() error {
	for i, spec := range f.cfg.Engines {
		if !slices.Contains(f.cfg.Module.KindNames, spec.Kind) {
			return fmt.Errorf("model: engine %d: there is no kind %q", i, spec.Kind)
		}
		e := &engine{Engine: spec, number: i, id: engineID(i), up: true,
			model: enginemodel.New(spec.Machine, 0, false),
			jobs:  map[*enginemodel.Running]*job{}, nextEvent: math.MaxInt64}
		f.engines, f.byID[e.id] = append(f.engines, e), e
	}
	return nil
}

func (f *Fleet) startDispatchers() error {
	cores := map[cresspass.EngineID]float64{}
	for _, e := range f.engines {
		cores[e.id] = e.Machine.Cores
	}
	maxThreads := 1.0
	for _, n := range f.cfg.Module.ClassThreads {
		maxThreads = max(maxThreads, n)
	}
	n := f.cfg.Dispatchers
	f.members = NewMembers(f.queue, f.cfg.Seed, n, f.cfg.Network, DefaultDetection(),
		GossipConfig(n, maxThreads), func(t *gossip.Node) { t.SetEngines(cores) })
	for i := range n {
		zone := f.cfg.Engines[i%len(f.cfg.Engines)].Zone
		d := &dispatcher{fleet: f, number: i, zone: zone}
		f.dispatchers = append(f.dispatchers, d)
		if err := d.start(0, true); err != nil {
			return err
		}
	}
	return nil
}

// Run simulates the day to its end and returns the result. It must be called once.
func (f *Fleet) Run() *Result {
	f.queue.Run(f.cfg.Length)
	f.result.Events = f.queue.Executed()
	for _, d := range f.dispatchers {
		if d.member != nil {
			f.result.Stats = append(f.result.Stats, d.member.Node.Stats())
		}
	}
	return &f.result
}

// Err returns the first error of creating a decider when a dispatcher restarted. The result of a run with an
// error is meaningless.
func (f *Fleet) Err() error { return f.err }

// sampleLoads records the engines' load and the open requests, and schedules the next sample.
func (f *Fleet) sampleLoads() {
	f.result.OpenRequests = append(f.result.OpenRequests, float64(f.openRequests))
	if !f.cfg.OmitLoads {
		l := LoadSample{At: f.queue.Now()}
		for _, e := range f.engines {
			l.Threads = append(l.Threads, e.model.Threads()/e.Machine.Cores)
		}
		f.result.Loads = append(f.result.Loads, l)
	}
	f.queue.In(sampleInterval, f.sampleLoads)
}

// restartDispatchers stops dispatchers, and starts them again after r.After.
func (f *Fleet) restartDispatchers(r Restart) {
	var stopped []*dispatcher
	for _, i := range r.Dispatchers {
		if d := f.dispatchers[i]; d.up { // another fault may have stopped it
			d.stop()
			stopped = append(stopped, d)
		}
	}
	f.queue.In(r.After, func() {
		for _, d := range stopped {
			if d.up {
				continue
			}
			if r.WithoutState {
				d.snapshot = nil
			}
			if err := d.start(f.queue.Now(), false); err != nil && f.err == nil {
				f.err = err
			}
		}
	})
}
