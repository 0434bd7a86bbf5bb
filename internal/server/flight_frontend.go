package server

import (
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/flightsql"
	"cresspass/internal/frontend/flightsql/bearertoken"
	"cresspass/internal/netlisten"
)

// newFlightFrontend makes the front for Flight SQL, where the settings have one.
func (s *Server) newFlightFrontend() error {
	cfg := s.cfg
	if cfg.Flight.Listen == "" {
		return nil
	}
	if s.flightListener = cfg.FlightListener; s.flightListener == nil {
		ln, err := netlisten.Open(cfg.Flight.Listen)
		if err != nil {
			return err
		}
		s.flightListener = ln
	}
	f := &cfg.Flight
	s.flightFrontend = flightsql.New(
		flightsql.Config{Version: version, Registry: s.affinity, HoldBack: cfg.HoldBack,
			Budget: &response.BufferBudget{MaxBytes: cfg.HoldBackTotal}, ClientBuffer: cfg.ClientBuffer,
			MaxMessage: cfg.MaxMessage, MaxStreams: f.MaxStreams, TicketLifetime: f.TicketLife,
			MaxTickets: f.MaxTickets, SessionLimits: bearertoken.Limits{IdleTimeout: f.SessionRest, MaxSessions: cfg.MaxClients},
			MaxTransactions: f.MaxTransactions, MaxPrepared: f.MaxPrepared, MaxWaiting: f.MaxWaiting,
			KeepAlive: f.KeepAlive, MaxConnectionAge: f.MaxAge,
			AcquireConnection: func() bool { return s.admitConnection(flightsql.Name) },
			ReleaseConnection: func() { s.releaseConnection(flightsql.Name) },
			AdmitUser:         s.admitClient, ReleaseUser: s.releaseClient, CachedDescription: s.describeCache.get,
			Idempotent:        func(who classify.Client, a *enginequery.Query) bool { return s.classify.Load().Idempotent(who, a) },
			StatelessFunction: harmlessFunctions(cfg.HarmlessFunctions)},
		s,
		s.log,
	)
	return nil
}
