package server

import (
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/flightsql"
	"cresspass/internal/frontend/flightsql/bearertoken"
	"cresspass/internal/netlisten"
)

// flightFront makes the front for Flight SQL, where the settings have one.
func (s *Server) flightFront() error {
	cfg := s.cfg
	if cfg.Flight.Listen == "" {
		return nil
	}
	if s.flightLn = cfg.FlightListener; s.flightLn == nil {
		ln, err := netlisten.Open(cfg.Flight.Listen)
		if err != nil {
			return err
		}
		s.flightLn = ln
	}
	f := &cfg.Flight
	s.flight = flightsql.New(flightsql.Config{Version: version, Book: s.book, HoldBack: cfg.HoldBack,
		Budget: &response.Budget{Most: cfg.HoldBackTotal}, ClientBuffer: cfg.ClientBuffer,
		MaxMessage: cfg.MaxMessage, MaxStreams: f.MaxStreams, TicketLife: f.TicketLife,
		MaxTickets: f.MaxTickets, Sessions: bearertoken.Limits{Rest: f.SessionRest, Most: cfg.MaxClients},
		MaxTransactions: f.MaxTransactions, MaxPrepared: f.MaxPrepared, MaxWaiting: f.MaxWaiting,
		KeepAlive: f.KeepAlive, MaxAge: f.MaxAge,
		Connect:    func() bool { return s.room(flightsql.Name) },
		Disconnect: func() { s.roomAgain(flightsql.Name) },
		Admit:      s.admit, Leave: s.leave, Described: s.shapes.get,
		Safe:     func(who classify.Client, a *enginequery.Ask) bool { return s.classify.Load().Safe(who, a) },
		Harmless: harmless(cfg.Harmless)}, s, s.log)
	return nil
}
