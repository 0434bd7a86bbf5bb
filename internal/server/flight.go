package server

import (
	"cresspass/internal/answer"
	"cresspass/internal/ask"
	"cresspass/internal/bearer"
	"cresspass/internal/classify"
	"cresspass/internal/flightfront"
	"cresspass/internal/listen"
)

// flightFront makes the front for Flight SQL, where the settings have one.
func (s *Server) flightFront() error {
	cfg := s.cfg
	if cfg.Flight.Listen == "" {
		return nil
	}
	if s.flightLn = cfg.FlightListener; s.flightLn == nil {
		ln, err := listen.Open(cfg.Flight.Listen)
		if err != nil {
			return err
		}
		s.flightLn = ln
	}
	f := &cfg.Flight
	s.flight = flightfront.New(flightfront.Config{Version: version, Book: s.book, HoldBack: cfg.HoldBack,
		Budget: &answer.Budget{Most: cfg.HoldBackTotal}, ClientBuffer: cfg.ClientBuffer,
		MaxMessage: cfg.MaxMessage, MaxStreams: f.MaxStreams, TicketLife: f.TicketLife,
		MaxTickets: f.MaxTickets, Sessions: bearer.Limits{Rest: f.SessionRest, Most: cfg.MaxClients},
		MaxTransactions: f.MaxTransactions, MaxPrepared: f.MaxPrepared, MaxWaiting: f.MaxWaiting,
		KeepAlive: f.KeepAlive, MaxAge: f.MaxAge,
		Connect:    func() bool { return s.room(flightfront.Name) },
		Disconnect: func() { s.roomAgain(flightfront.Name) },
		Admit:      s.admit, Leave: s.leave, Described: s.shapes.get,
		Safe:     func(who classify.Client, a *ask.Ask) bool { return s.classify.Load().Safe(who, a) },
		Harmless: harmless(cfg.Harmless)}, s, s.log)
	return nil
}
