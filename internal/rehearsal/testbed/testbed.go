// Package testbed starts stand-in engines and a stand-in discovery service that lists them, and on request a
// dispatcher, all in the calling process. Only tests and rehearsals may use it.
package testbed

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cresspass"
	"cresspass/internal/config"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/dispatch"
	"cresspass/internal/server"
	"cresspass/internal/simulation/enginemodel"
	"cresspass/internal/standin"
)

// listTimeout limits the wait for a dispatcher's first engine list.
const listTimeout = 10 * time.Second

// FreePort draws ports from this range, at most portAttempts of them.
const (
	firstPort    = 15000
	portCount    = 15000
	portAttempts = 50
)

// EngineKind returns the model of a stand-in engine with default costs of spilling and of slow start.
// memoryMB is in megabytes.
func EngineKind(cores, memoryMB float64) enginemodel.Kind {
	return enginemodel.Kind{Cores: cores, MemoryMB: memoryMB, SpillCost: 2.5, CachedDataSets: 4,
		CacheSaving:       0.3,
		SlowStartFrom:     0.31,
		SlowStartDuration: 15 * time.Second, SlowStartOverloadFactor: 3, SlowStartWindow: 3 * time.Second,
		MaxJobs: int(8 * cores)}
}

// FreePort returns an address on which a dispatcher can listen again after each restart. Its port lies below
// the range from which the system takes the ports of outgoing connections: a port of that range could be
// taken by a connection while the dispatcher is down, and the dispatcher could not listen again.
func FreePort() (string, error) {
	var last error
	for range portAttempts {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		ln, err := net.Listen("tcp", addr)
		if last = err; err == nil {
			return addr, ln.Close()
		}
	}
	return "", last
}

// Engine is a stand-in engine with its entry in the engine list. The entry's address is that of the relay
// before the engine, if there is one.
type Engine struct {
	*standin.Engine
	Entry eds.Engine
}

// Testbed is a set of stand-in engines with the discovery service that lists them.
type Testbed struct {
	Discovery *standin.DiscoveryServer
	Engines   []*Engine
	Group     *standin.DeduplicationGroup

	mu sync.Mutex // guards Entry of all engines
}

// New starts one engine for each configuration, and a discovery service that lists them. An engine without a
// listen address gets a free port of 127.0.0.1, and an engine without a deduplication group gets the
// testbed's group. The index of each engine is added to its seed.
func New(engines ...standin.EngineConfig) (*Testbed, error) {
	t := &Testbed{Group: standin.NewDeduplicationGroup()}
	var err error
	if t.Discovery, err = standin.NewDiscoveryServer("127.0.0.1:0", "engines"); err != nil {
		return nil, err
	}
	for i, cfg := range engines {
		if cfg.Listen == "" {
			cfg.Listen = "127.0.0.1:0"
		}
		if cfg.Group == nil {
			cfg.Group = t.Group
		}
		cfg.Seed += uint64(i)
		e, err := standin.NewEngine(cfg)
		if err != nil {
			t.Close()
			return nil, err
		}
		entry := eds.Engine{Address: e.Addr(), State: eds.StateActive, Kind: "std", Zone: "a"}
		if cfg.Cold {
			entry.Started = e.Started()
		}
		t.Engines = append(t.Engines, &Engine{Engine: e, Entry: entry})
	}
	t.Publish()
	return t, nil
}

// UpdateEngine changes the entry of engine i and publishes the list. It may be called by several goroutines.
func (t *Testbed) UpdateEngine(i int, f func(e *eds.Engine)) {
	t.mu.Lock()
	f(&t.Engines[i].Entry)
	t.mu.Unlock()
	t.Publish()
}

// State returns the state of engine i in the list; "": the engine is not listed. It may be called by several
// goroutines.
func (t *Testbed) State(i int) eds.EngineState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Engines[i].Entry.State
}

// Publish sets the list of the discovery service to the current entries, without those that have no state.
func (t *Testbed) Publish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []eds.Engine
	for _, e := range t.Engines {
		if e.Entry.State != "" {
			list = append(list, e.Entry)
		}
	}
	t.Discovery.Set(list)
}

// StartDispatcher starts a dispatcher with settings in HCL, to which it adds a listen address and the
// testbed's discovery service, and waits for the dispatcher's first engine list. With a nil log, what the
// dispatcher logs is dropped.
func (t *Testbed) StartDispatcher(settings string, log *slog.Logger) (*server.Server, error) {
	return t.StartDispatcherWith(settings, log, func(m cresspass.Config) (dispatch.Decider, error) {
		return cresspass.New(m)
	})
}

// StartDispatcherWith does what StartDispatcher does, with the decider that newDecider returns.
func (t *Testbed) StartDispatcherWith(settings string, log *slog.Logger,
	newDecider func(cresspass.Config) (dispatch.Decider, error)) (*server.Server, error) {
	cfg, err := config.Parse("test.hcl", []byte(settings+fmt.Sprintf(`
listen = "127.0.0.1:0"
roster { eds = %q }
`, t.Discovery.Addr())))
	if err != nil {
		return nil, err
	}
	if log == nil {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	s, err := server.StartWithDecider(cfg, log, ln, newDecider)
	if err != nil {
		ln.Close()
		return nil, err
	}
	select {
	case <-s.ListReady():
		return s, nil
	case <-time.After(listTimeout):
		s.Close()
		return nil, fmt.Errorf("testbed: no engine list came within %v", listTimeout)
	}
}

// Close stops all engines and the discovery service.
func (t *Testbed) Close() {
	for _, e := range t.Engines {
		e.Close()
	}
	t.Discovery.Close()
}
