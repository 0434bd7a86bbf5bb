// Package testbed raises a dispatcher's surroundings in one process: stand-in engines, a stand-in roster and,
// where asked, the dispatcher itself. Tests and the rehearsal kit use it.
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

// EngineKind is a stand-in's machine with the usual figures of engines.
func EngineKind(cores, memoryMB float64) enginemodel.Kind {
	return enginemodel.Kind{Cores: cores, MemoryMB: memoryMB, SpillCost: 2.5, WarmSets: 4, WarmSaves: 0.3,
		SlowStartFrom:     0.31,
		SlowStartDuration: 15 * time.Second, SlowStartOverloadFactor: 3, SlowStartWindow: 3 * time.Second,
		MaxJobs: int(8 * cores)}
}

// FreePort finds an address for a dispatcher over all its lives. Danger: a port that the system hands out
// would be taken by some connection while the dispatcher is dead; so it is one below those.
func FreePort() (string, error) {
	var last error
	for range 50 {
		addr := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))
		ln, err := net.Listen("tcp", addr)
		if last = err; err == nil {
			return addr, ln.Close()
		}
	}
	return "", last
}

// Engine is a stand-in engine and its entry in the list. Listed is the address the list gives: that of a
// relay before it, where there is one.
type Engine struct {
	*standin.Engine
	Entry eds.Engine
}

// Testbed is a set of engines with their list.
type Testbed struct {
	Discovery *standin.DiscoveryServer
	Engines   []*Engine
	Group     *standin.DeduplicationGroup

	mu sync.Mutex
}

// New raises engines, each by its settings, and a roster that lists them. Settings without an address get
// one.
func New(engines ...standin.EngineConfig) (*Testbed, error) {
	r := &Testbed{Group: standin.NewDeduplicationGroup()}
	var err error
	if r.Discovery, err = standin.NewDiscoveryServer("127.0.0.1:0", "engines"); err != nil {
		return nil, err
	}
	for i, cfg := range engines {
		if cfg.Listen == "" {
			cfg.Listen = "127.0.0.1:0"
		}
		if cfg.Group == nil {
			cfg.Group = r.Group
		}
		cfg.Seed += uint64(i)
		e, err := standin.NewEngine(cfg)
		if err != nil {
			r.Close()
			return nil, err
		}
		entry := eds.Engine{Address: e.Addr(), State: eds.StateActive, Kind: "std", Zone: "a"}
		if cfg.Cold {
			entry.Started = e.Started()
		}
		r.Engines = append(r.Engines, &Engine{Engine: e, Entry: entry})
	}
	r.Publish()
	return r, nil
}

// UpdateEngine alters an engine's entry and publishes the list.
func (r *Testbed) UpdateEngine(i int, f func(e *eds.Engine)) {
	r.mu.Lock()
	f(&r.Engines[i].Entry)
	r.mu.Unlock()
	r.Publish()
}

// State is what the list says of an engine; "": nothing.
func (r *Testbed) State(i int) eds.EngineState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Engines[i].Entry.State
}

// Publish gives the present entries to the roster; those without a state are left out.
func (r *Testbed) Publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []eds.Engine
	for _, e := range r.Engines {
		if e.Entry.State != "" {
			list = append(list, e.Entry)
		}
	}
	r.Discovery.Set(list)
}

// StartDispatcher starts a dispatcher with settings in HCL, to which listen address and roster are added.
func (r *Testbed) StartDispatcher(settings string, log *slog.Logger) (*server.Server, error) {
	return r.StartDispatcherWith(settings, log, func(m cresspass.Config) (dispatch.Decider, error) {
		return cresspass.New(m)
	})
}

// StartDispatcherWith does the same around the decider that decide makes.
func (r *Testbed) StartDispatcherWith(settings string, log *slog.Logger,
	decide func(cresspass.Config) (dispatch.Decider, error)) (*server.Server, error) {
	cfg, err := config.Parse("test.hcl", []byte(settings+fmt.Sprintf(`
listen = "127.0.0.1:0"
roster { eds = %q }
`, r.Discovery.Addr())))
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
	s, err := server.StartWithDecider(cfg, log, ln, decide)
	if err != nil {
		ln.Close()
		return nil, err
	}
	select {
	case <-s.ListReady():
		return s, nil
	case <-time.After(10 * time.Second):
		s.Close()
		return nil, fmt.Errorf("rig: no engine list came within 10 s")
	}
}

// Close ends all engines and the roster.
func (r *Testbed) Close() {
	for _, e := range r.Engines {
		e.Close()
	}
	r.Discovery.Close()
}
