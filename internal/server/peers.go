package server

import (
	"slices"
	"strings"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/dispatch"
	"cresspass/internal/membership"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/modelstate"
	"cresspass/internal/membership/observation"
	"cresspass/internal/membership/ordinal"
	"cresspass/internal/membership/validation"
)

// What the dispatcher says to others, hears of them, and has learnt. The decisions are in packages talk and
// knowledge, and in the module.

// name is the dispatcher's among its peers, or of its own.
func (s *Server) name() string {
	if s.cfg.Peers.Name != "" {
		return s.cfg.Peers.Name
	}
	return s.life
}

// join has the dispatcher talk to others, where the settings say so. An heir joins once its former has let
// go of the address.
func (s *Server) join() error {
	c := &s.cfg.Peers
	if c.Listen == "" {
		return nil
	}
	m := &s.cfg.Module
	threads := 1.0
	for _, n := range m.ClassThreads {
		threads = max(threads, n)
	}
	p, err := membership.New(membership.Config{Config: gossip.Config{Name: c.Name, Born: s.born, Claim: m.Ordinal,
		Seed: m.Seed,
		Rate: c.Rate, Wait: c.Wait, Believe: validation.DefaultLimits(threads),
		Ordinals: ordinal.Limits{Still: 2 * time.Second, Grace: 30 * time.Second,
			Left: max(m.Rules.ColdWindow, time.Second), Least: m.Gateways}},
		Listen: c.Listen, Seeds: c.Seeds, Keys: c.Keys, Clock: s.clock, Do: s.heard}, s.known, s.log)
	// The library's error has the system's as text only.
	if s.cfg.Heir && err != nil && strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) {
		return nil
	}
	if err != nil {
		return err
	}
	s.peers.Store(p)
	if l := s.roster.Load(); l != nil {
		s.named(l)
	}
	return nil
}

// heard carries out what the others have to do with this dispatcher's module.
func (s *Server) heard(o gossip.Output) {
	switch o.Type {
	case gossip.Message:
		s.loop.Post(cresspass.Event{Type: cresspass.PeerMessage, Peer: o.From, Data: o.Data})
	case gossip.View:
		s.log.Info("dispatchers", "ordinal", o.View.Ordinal, "count", o.View.Count)
		s.loop.Post(cresspass.Event{Type: cresspass.FleetCount, Peer: o.View.Ordinal,
			Value: float64(o.View.Count),
			Took:  o.Clock})
	case gossip.Down:
		s.log.Info("others tell that an engine does not answer", "engine", o.Engine)
		s.loop.Post(cresspass.Event{Type: cresspass.EngineDown, Engine: cresspass.EngineID(o.Engine)})
	}
}

// with has f look at what is known, or add to it.
func (s *Server) with(f func(now time.Duration, k *observation.Store)) {
	if p := s.peers.Load(); p != nil {
		p.With(f)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.clock(), s.known)
}

// former takes what a former life has learnt, so long ago, for one voice among others.
func (s *Server) former(data []byte, age time.Duration) error {
	var all []observation.Told
	if len(data) > 0 && data[0] == '{' { // kept by a version that kept the module's own form
		list, err := modelstate.Apart(data)
		if err != nil {
			return err
		}
		for name, v := range list {
			all = append(all, observation.Told{Key: observation.Key{Fact: observation.Weight, Class: name},
				Value: v})
		}
	} else {
		var err error
		if all, err = gossip.Decode(data); err != nil {
			return err
		}
	}
	for i := range all {
		all[i].Observer, all[i].Hops = observation.Former, 0
		all[i].Age += age
	}
	s.with(func(now time.Duration, k *observation.Store) { k.Hear(now, observation.Former, all) })
	return nil
}

// begin waits for what others have learnt, within the settings' bound, and has the module begin by it and
// by what a former life had learnt.
func (s *Server) begin(core *dispatch.Core) {
	voices := 0
	if p := s.peers.Load(); p != nil {
		<-p.Begun()
		voices = p.Voices()
	}
	m := &s.cfg.Module
	var names []string
	for _, c := range m.Classes {
		names = append(names, c.Name)
	}
	age := time.Duration(0)
	var data []byte
	s.with(func(now time.Duration, k *observation.Store) {
		data = modelstate.Together(names, m.KindNames, func(name string) (float64, bool) {
			b, ok := k.Begin(now, name)
			age = max(age, b.Age)
			return b.Value, ok
		})
	})
	if data == nil {
		return
	}
	if err := core.Restore(data, age); err != nil {
		s.log.Warn("what was learnt is not used", "error", err)
		return
	}
	s.log.Info("took over what was learnt", "age", age.Round(time.Second), "dispatchers that told", voices)
}

// named tells which engines there are.
func (s *Server) named(l *eds.List) {
	s.roster.Store(l)
	p := s.peers.Load()
	if p == nil {
		return
	}
	m := &s.cfg.Module
	engines := map[cresspass.EngineID]float64{}
	for _, e := range l.Engines {
		cores := 1.0
		if i := slices.Index(m.KindNames, e.Kind); i >= 0 && i < len(m.KindCores) {
			cores = m.KindCores[i]
		}
		engines[cresspass.EngineID(e.Address)] = cores
	}
	p.Roster(engines)
}

// saw keeps what an attempt has shown of its engine.
func (s *Server) saw(engine cresspass.EngineID, r *pgbackend.Result) {
	p := s.peers.Load()
	if p == nil {
		return
	}
	switch r.Outcome {
	case cresspass.OK:
		threads := -1.0
		if i := slices.Index(s.cfg.Module.ReportFields, "concurrent"); i >= 0 && i < len(r.Report) {
			threads = r.Report[i]
		}
		p.Saw(engine, true, threads)
	case cresspass.ConnectFailed, cresspass.Reset, cresspass.TimedOut:
		p.Saw(engine, false, -1)
	}
}

// Peers is the dispatcher's place among others; nil: it has none.
func (s *Server) Peers() *membership.Peers { return s.peers.Load() }
