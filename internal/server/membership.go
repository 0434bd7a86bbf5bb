package server

import (
	"slices"
	"strings"
	"syscall"
	"time"

	"cresspass"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/discovery/eds"
	"cresspass/internal/membership"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/ordinal"
	"cresspass/internal/membership/validation"
)

// This file connects the dispatcher to its peers. The packages below membership decide what is sent to peers
// and which of their reports are trusted; the module decides what follows from them.

// Limits of the agreement on ordinals among peers.
const (
	ordinalSettleTime = 2 * time.Second
	ordinalLossGrace  = 30 * time.Second
	minLeaveGrace     = time.Second
)

// loadReportThreads is the field of engines' load reports with the number of running threads. unknownThreads
// takes its place if there is no report or the report has no such field.
const (
	loadReportThreads = "concurrent"
	unknownThreads    = -1.0
)

// memberName returns the dispatcher's name among its peers.
func (s *Server) memberName() string {
	if s.cfg.Peers.Name != "" {
		return s.cfg.Peers.Name
	}
	return s.incarnationName
}

// joinMembership joins the fleet if the settings name one. A process that takes over joins later, once its
// predecessor has released the address.
func (s *Server) joinMembership() error {
	if s.cfg.Peers.Listen == "" {
		return nil
	}
	p, err := membership.New(s.membershipConfig(), s.observations, s.log)
	// The membership library includes the system's error only as text.
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

// logMembershipError logs why membership was not joined, unless the last error logged has the same text.
func (s *Server) logMembershipError(err error) {
	if err == nil {
		return
	}
	if text := err.Error(); text != s.lastMembershipError {
		s.lastMembershipError = text
		s.log.Error("membership not joined", "error", err)
	}
}

// membershipConfig returns the settings of membership.
func (s *Server) membershipConfig() membership.Config {
	peers, module := &s.cfg.Peers, &s.cfg.Module
	maxThreads := 1.0
	for _, threads := range module.ClassThreads {
		maxThreads = max(maxThreads, threads)
	}
	return membership.Config{
		Config: gossip.Config{
			Name:             peers.Name,
			Incarnation:      s.incarnation,
			OrdinalClaim:     module.Ordinal,
			RandomSeed:       module.Seed,
			BytesPerSecond:   peers.Rate,
			BootstrapTimeout: peers.Wait,
			Validation:       validation.DefaultLimits(maxThreads),
			Ordinals: ordinal.Limits{
				SettleTime: ordinalSettleTime,
				LossGrace:  ordinalLossGrace,
				LeaveGrace: max(module.Rules.SlowStartWindow, minLeaveGrace),
				MinCount:   module.GatewayCount,
			},
		},
		Listen:       peers.Listen,
		Seeds:        peers.Seeds,
		Keys:         peers.Keys,
		Clock:        s.clock,
		HandleAction: s.handleGossip,
	}
}

// handleGossip passes to the module what peers have reported or sent to it.
func (s *Server) handleGossip(action gossip.Action) {
	switch action.Type {
	case gossip.DeliverMessage:
		s.loop.Post(cresspass.Event{
			Type: cresspass.PeerMessageReceived,
			Peer: action.From,
			Data: action.Data,
		})
	case gossip.UpdateView:
		s.log.Info("membership changed", "ordinal", action.View.Ordinal, "count", action.View.Count)
		s.loop.Post(cresspass.Event{
			Type:    cresspass.MembershipChanged,
			Peer:    action.View.Ordinal,
			Value:   float64(action.View.Count),
			Elapsed: action.Clock,
		})
	case gossip.ReportEngineDown:
		s.log.Info("engine reported down by peers", "engine", action.Engine)
		s.loop.Post(cresspass.Event{
			Type:   cresspass.EngineReportedDown,
			Engine: cresspass.EngineID(action.Engine),
		})
	}
}

// publishEngineList stores the last engine list and passes the engines and their cores to membership. An
// engine whose kind the settings do not have counts as one core.
func (s *Server) publishEngineList(l *eds.List) {
	s.engineList.Store(l)
	p := s.membership.Load()
	if p == nil {
		return
	}
	module := &s.cfg.Module
	cores := map[cresspass.EngineID]float64{}
	for _, e := range l.Engines {
		id := cresspass.EngineID(e.Address)
		cores[id] = 1
		if i := slices.Index(module.KindNames, e.Kind); i >= 0 && i < len(module.KindCores) {
			cores[id] = module.KindCores[i]
		}
	}
	p.SetEngines(cores)
}

// observeOutcome reports to membership what an attempt's result shows about its engine.
func (s *Server) observeOutcome(engine cresspass.EngineID, r *pgbackend.Result) {
	p := s.membership.Load()
	if p == nil {
		return
	}
	switch r.Outcome {
	case cresspass.OutcomeOK:
		threads := unknownThreads
		i := slices.Index(s.cfg.Module.LoadReportFields, loadReportThreads)
		if i >= 0 && i < len(r.LoadReport) {
			threads = r.LoadReport[i]
		}
		p.RecordAttempt(engine, true, threads)
	case cresspass.OutcomeConnectFailed, cresspass.OutcomeConnectionReset, cresspass.OutcomeTimedOut:
		p.RecordAttempt(engine, false, unknownThreads)
	}
}
