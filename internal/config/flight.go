package config

import "time"

// FlightBlock holds the settings of the front for Flight SQL.
type FlightBlock struct {
	Listen          string `hcl:"listen"`
	TicketLife      string `hcl:"ticket_life,optional"`
	SessionRest     string `hcl:"session_rest,optional"`
	KeepAlive       string `hcl:"keep_alive,optional"`
	MaxAge          string `hcl:"max_connection_age,optional"`
	MaxTickets      int    `hcl:"max_tickets,optional"`
	MaxStreams      int    `hcl:"max_streams,optional"`
	MaxTransactions int    `hcl:"max_transactions,optional"`
	MaxPrepared     int    `hcl:"max_prepared,optional"`
	MaxWaiting      int    `hcl:"max_waiting,optional"`
}

// FlightSettings are those of the front for Flight SQL. Without Listen it is not served.
type FlightSettings struct {
	Listen          string
	TicketLife      time.Duration
	SessionRest     time.Duration
	KeepAlive       time.Duration
	MaxAge          time.Duration // of a connection; 0: no limit
	MaxTickets      int
	MaxStreams      int // calls at a time on a connection
	MaxTransactions int // of a session, as are the next two
	MaxPrepared     int
	MaxWaiting      int
}

// SharesBlock holds the parts of each limit (connections, open queries, bytes of answers) that are reserved
// for a front.
type SharesBlock struct {
	PostgreSQL float64 `hcl:"postgresql,optional"`
	Flight     float64 `hcl:"flight,optional"`
}

// FrontQuotas are the parts of limits that are reserved for each front.
type FrontQuotas struct{ PostgreSQL, Flight float64 }

const (
	defaultTicketLife      = time.Minute
	defaultSessionRest     = 30 * time.Minute
	defaultKeepAlive       = 2 * time.Minute
	defaultMaxTickets      = 100000
	defaultMaxStreams      = 2000
	defaultMaxTransactions = 100
	defaultFlightPrepared  = 1000
	defaultMaxWaiting      = 1000
	defaultFrontQuota      = 0.25
)

// applyFlight reads the block. Without it the defaults are in force for a front that the command line asks
// for.
func (v *validator) applyFlight(cfg *Config, f *File) {
	in, b := inBlock("flight"), f.Flight
	if b == nil {
		b = &FlightBlock{}
	} else {
		v.loopback(in, "listen", b.Listen)
	}
	v.applyShares(cfg, f.Shares)
	limit := func(attribute string, value, defaultValue int) int {
		if value < 0 {
			v.errorf(in, attribute, "%d is negative", value)
		}
		return orDefault(value, defaultValue)
	}
	cfg.Flight = FlightSettings{
		Listen:          b.Listen,
		TicketLife:      v.duration(in, "ticket_life", b.TicketLife, defaultTicketLife),
		SessionRest:     v.duration(in, "session_rest", b.SessionRest, defaultSessionRest),
		KeepAlive:       v.duration(in, "keep_alive", b.KeepAlive, defaultKeepAlive),
		MaxAge:          v.duration(in, "max_connection_age", b.MaxAge, 0),
		MaxTickets:      limit("max_tickets", b.MaxTickets, defaultMaxTickets),
		MaxStreams:      limit("max_streams", b.MaxStreams, defaultMaxStreams),
		MaxTransactions: limit("max_transactions", b.MaxTransactions, defaultMaxTransactions),
		MaxPrepared:     limit("max_prepared", b.MaxPrepared, defaultFlightPrepared),
		MaxWaiting:      limit("max_waiting", b.MaxWaiting, defaultMaxWaiting),
	}
}

func (v *validator) applyShares(cfg *Config, b *SharesBlock) {
	if b == nil {
		cfg.FrontQuotas = FrontQuotas{defaultFrontQuota, defaultFrontQuota}
		return
	}
	if b.PostgreSQL < 0 || b.Flight < 0 || b.PostgreSQL+b.Flight > 1 {
		v.errorf(inBlock("shares"), "postgresql", "shares are from 0 to 1, and together 1 at most")
	}
	cfg.FrontQuotas = FrontQuotas{b.PostgreSQL, b.Flight}
}
