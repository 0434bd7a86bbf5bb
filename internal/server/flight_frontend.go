package server

import (
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/flightsql"
	"cresspass/internal/frontend/flightsql/bearertoken"
	"cresspass/internal/netlisten"
)

// openFlightFrontend opens the Flight SQL frontend if the settings have one.
func (s *Server) openFlightFrontend() error {
	if s.cfg.Flight.Listen == "" {
		return nil
	}
	s.flightListener = s.cfg.FlightListener
	if s.flightListener == nil {
		ln, err := netlisten.Open(s.cfg.Flight.Listen)
		if err != nil {
			return err
		}
		s.flightListener = ln
	}
	s.flightFrontend = flightsql.New(s.flightFrontendConfig(), s, s.log)
	return nil
}

// flightFrontendConfig returns the settings of the Flight SQL frontend.
func (s *Server) flightFrontendConfig() flightsql.Config {
	flight := &s.cfg.Flight
	return flightsql.Config{
		Version:        serverVersion,
		HoldBack:       s.cfg.HoldBack,
		Budget:         &response.BufferBudget{MaxBytes: s.cfg.HoldBackTotal},
		ClientBuffer:   s.cfg.ClientBuffer,
		MaxMessage:     s.cfg.MaxMessage,
		MaxStreams:     flight.MaxStreams,
		TicketLifetime: flight.TicketLifetime,
		MaxTickets:     flight.MaxTickets,
		SessionLimits: bearertoken.Limits{IdleTimeout: flight.SessionIdleTimeout,
			MaxSessions: s.cfg.MaxClients},
		MaxTransactions:  flight.MaxTransactions,
		MaxPrepared:      flight.MaxPrepared,
		MaxWaiting:       flight.MaxWaiting,
		KeepAlive:        flight.KeepAlive,
		MaxConnectionAge: flight.MaxAge,

		Registry:          s.affinity,
		AdmitUser:         s.admitUser,
		ReleaseUser:       s.releaseUser,
		AcquireConnection: func() bool { return s.acquireConnection(flightsql.Name) },
		ReleaseConnection: func() { s.releaseConnection(flightsql.Name) },
		CachedDescription: s.describeCache.get,
		Idempotent: func(client classify.Client, q *enginequery.Query) bool {
			return s.classifier.Load().Idempotent(client, q)
		},
		StatelessFunction: functionMatcher(s.cfg.HarmlessFunctions),
	}
}
