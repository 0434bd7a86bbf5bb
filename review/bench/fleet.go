//go:build review

package bench

import (
	"fmt"
	"sort"
	"time"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// Fleet is a small deployment: engines behind a link each, and the discovery service that lists the links.
type Fleet struct {
	Engines   []*standin.Engine
	Links     []*Proxy
	Discovery *standin.DiscoveryServer
}

// window is how long engines drop repeats of a load.
const window = 15 * time.Second

// Fleet starts engines of 8 cores.
func (b *Bench) Fleet(engines int) *Fleet {
	f := &Fleet{}
	group := standin.NewDeduplicationGroup()
	var list []eds.Engine
	for i := range engines {
		e, err := standin.NewEngine(standin.EngineConfig{Listen: "127.0.0.1:0",
			Kind: testbed.EngineKind(8, 4096), Seed: uint64(i), Window: window, Group: group,
			ProgressEvery: 2 * time.Second, ReportEvery: 200 * time.Millisecond})
		b.Must(err)
		link := b.Proxy(fmt.Sprintf("engine %d", i), e.Addr())
		f.Engines, f.Links = append(f.Engines, e), append(f.Links, link)
		list = append(list, eds.Engine{Address: link.Addr(), State: eds.StateActive, Kind: "std",
			Zone: []string{"salle-a", "salle-b"}[i%2]})
	}
	var err error
	f.Discovery, err = standin.NewDiscoveryServer("127.0.0.1:0", "engines")
	b.Must(err)
	f.Discovery.Set(list)
	return f
}

// EngineOf returns the index of the engine that received a statement with an id, or -1.
func (f *Fleet) EngineOf(id string) int {
	for i, e := range f.Engines {
		for _, r := range e.Runs() {
			if r.ID == id {
				return i
			}
		}
	}
	return -1
}

// Runs returns the statements that all engines have received, by their beginning.
func (f *Fleet) Runs() (all []standin.Run) {
	for _, e := range f.Engines {
		all = append(all, e.Runs()...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Begun.Before(all[j].Begun) })
	return all
}

// LogRuns writes what the engines ran.
func (b *Bench) LogRuns(f *Fleet) {
	for i, e := range f.Engines {
		for _, r := range e.Runs() {
			b.LogAt(r.Begun, "engine %d ran %s: %s", i, r.Text, r.Outcome)
		}
	}
}
