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

// memberName is the dispatcher's among its peers, or of its own.
func (s *Server) memberName() string {
	if s.cfg.Peers.Name != "" {
		return s.cfg.Peers.Name
	}
	return s.incarnationName
}

// joinMembership has the dispatcher talk to others, where the settings say so. An heir joins once its former
// has let go of the address.
func (s *Server) joinMembership() error {
	c := &s.cfg.Peers
	if c.Listen == "" {
		return nil
	}
	m := &s.cfg.Module
	threads := 1.0
	for _, n := range m.ClassThreads {
		threads = max(threads, n)
	}
	p, err := membership.New(
		membership.Config{
			Config: gossip.Config{Name: c.Name, Incarnation: s.incarnation, OrdinalClaim: m.Ordinal,
				RandomSeed:     m.Seed,
				BytesPerSecond: c.Rate, BootstrapTimeout: c.Wait, Validation: validation.DefaultLimits(threads),
				Ordinals: ordinal.Limits{SettleTime: 2 * time.Second, LossGrace: 30 * time.Second,
					LeaveGrace: max(m.Rules.SlowStartWindow, time.Second), MinCount: m.GatewayCount}},
			Listen:       c.Listen,
			Seeds:        c.Seeds,
			Keys:         c.Keys,
			Clock:        s.clock,
			HandleAction: s.handleGossip,
		},
		s.observations,
		s.log,
	)
	// The library's error has the system's as text only.
	if s.cfg.TakingOver && err != nil && strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) {
		return nil
	}
	if err != nil {
		return err
	}
	s.membership.Store(p)
	if l := s.engineList.Load(); l != nil {
		s.publishEngineList(l)
	}
	return nil
}

// handleGossip carries out what the others have to do with this dispatcher's module.
func (s *Server) handleGossip(o gossip.Action) {
	switch o.Type {
	case gossip.DeliverMessage:
		s.loop.Post(cresspass.Event{Type: cresspass.PeerMessageReceived, Peer: o.From, Data: o.Data})
	case gossip.UpdateView:
		s.log.Info("dispatchers", "ordinal", o.View.Ordinal, "count", o.View.Count)
		s.loop.Post(cresspass.Event{Type: cresspass.MembershipChanged, Peer: o.View.Ordinal,
			Value:   float64(o.View.Count),
			Elapsed: o.Clock})
	case gossip.ReportEngineDown:
		s.log.Info("others tell that an engine does not answer", "engine", o.Engine)
		s.loop.Post(cresspass.Event{Type: cresspass.EngineReportedDown, Engine: cresspass.EngineID(o.Engine)})
	}
}

// withObservations has f look at what is known, or add to it.
func (s *Server) withObservations(f func(now time.Duration, k *observation.Store)) {
	if p := s.membership.Load(); p != nil {
		p.WithStore(f)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.clock(), s.observations)
}

// restoreLearned takes what a former life has learnt, so long ago, for one voice among others.
func (s *Server) restoreLearned(data []byte, age time.Duration) error {
	var all []observation.Observation
	if len(data) > 0 && data[0] == '{' { // kept by a version that kept the module's own form
		list, err := modelstate.Flatten(data)
		if err != nil {
			return err
		}
		for name, v := range list {
			all = append(
				all,
				observation.Observation{
					Key:   observation.Key{Property: observation.ModelParameter, Parameter: name},
					Value: v,
				},
			)
		}
	} else {
		var err error
		if all, err = gossip.DecodeObservations(data); err != nil {
			return err
		}
	}
	for i := range all {
		all[i].Observer, all[i].Hops = observation.PreviousIncarnation, 0
		all[i].Age += age
	}
	s.withObservations(
		func(now time.Duration, k *observation.Store) { k.Receive(now, observation.PreviousIncarnation, all) },
	)
	return nil
}

// initializeEstimates waits for what others have learnt, within the settings' bound, and has the module
// begin by it and by what a former life had learnt.
func (s *Server) initializeEstimates(core *dispatch.Core) {
	reporters := 0
	if p := s.membership.Load(); p != nil {
		<-p.Bootstrapped()
		reporters = p.ReportingPeers()
	}
	m := &s.cfg.Module
	var names []string
	for _, c := range m.Classes {
		names = append(names, c.Name)
	}
	age := time.Duration(0)
	var data []byte
	s.withObservations(func(now time.Duration, k *observation.Store) {
		data = modelstate.Assemble(names, m.KindNames, func(name string) (float64, bool) {
			b, ok := k.InitialParameter(now, name)
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
	s.log.Info("took over what was learnt", "age", age.Round(time.Second), "dispatchers that told", reporters)
}

// publishEngineList tells which engines there are.
func (s *Server) publishEngineList(l *eds.List) {
	s.engineList.Store(l)
	p := s.membership.Load()
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
	p.SetEngines(engines)
}

// observeOutcome keeps what an attempt has shown of its engine.
func (s *Server) observeOutcome(engine cresspass.EngineID, r *pgbackend.Result) {
	p := s.membership.Load()
	if p == nil {
		return
	}
	switch r.Outcome {
	case cresspass.OutcomeOK:
		threads := -1.0
		if i := slices.Index(s.cfg.Module.LoadReportFields, "concurrent"); i >= 0 && i < len(r.LoadReport) {
			threads = r.LoadReport[i]
		}
		p.RecordAttempt(engine, true, threads)
	case cresspass.OutcomeConnectFailed, cresspass.OutcomeConnectionReset, cresspass.OutcomeTimedOut:
		p.RecordAttempt(engine, false, -1)
	}
}

// Membership is the dispatcher's place among others; nil: it has none.
func (s *Server) Membership() *membership.Service { return s.membership.Load() }
