package config

import "time"

// FlightBlock is the block of the Flight SQL frontend.
type FlightBlock struct {
	Listen             string `hcl:"listen"`
	TicketLifetime     string `hcl:"ticket_life,optional"`
	SessionIdleTimeout string `hcl:"session_rest,optional"`
	KeepAlive          string `hcl:"keep_alive,optional"`
	MaxAge             string `hcl:"max_connection_age,optional"`
	MaxTickets         int    `hcl:"max_tickets,optional"`
	MaxStreams         int    `hcl:"max_streams,optional"`
	MaxTransactions    int    `hcl:"max_transactions,optional"`
	MaxPrepared        int    `hcl:"max_prepared,optional"`
	MaxWaiting         int    `hcl:"max_waiting,optional"`
}

// FlightSettings holds the settings of the Flight SQL frontend. If Listen is empty, Flight SQL is not served.
type FlightSettings struct {
	Listen             string
	TicketLifetime     time.Duration
	SessionIdleTimeout time.Duration
	KeepAlive          time.Duration // an idle connection is pinged after this time
	MaxAge             time.Duration // of a connection; 0: no limit
	MaxTickets         int
	MaxStreams         int // concurrent calls on a connection
	MaxTransactions    int // open transactions of a session; the next two limits are also per session
	MaxPrepared        int
	MaxWaiting         int
}

// SharesBlock is the block of the parts of each limit (connections, open queries, bytes of answers) that are
// reserved for each frontend.
type SharesBlock struct {
	PostgreSQL float64 `hcl:"postgresql,optional"`
	Flight     float64 `hcl:"flight,optional"`
}

// FrontQuotas holds the parts of the limits that are reserved for each frontend, from 0 to 1.
type FrontQuotas struct{ PostgreSQL, Flight float64 }

const (
	defaultTicketLifetime     = time.Minute
	defaultSessionIdleTimeout = 30 * time.Minute
	defaultKeepAlive          = 2 * time.Minute
	defaultMaxTickets         = 100000
	defaultMaxStreams         = 2000
	defaultMaxTransactions    = 100
	defaultFlightPrepared     = 1000
	defaultMaxWaiting         = 1000
	defaultFrontQuota         = 0.25
)

// applyFlight checks the block. Without the block, the defaults apply to a frontend that the command line
// enables.
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
		Listen:             b.Listen,
		TicketLifetime:     v.duration(in, "ticket_life", b.TicketLifetime, defaultTicketLifetime),
		SessionIdleTimeout: v.duration(in, "session_rest", b.SessionIdleTimeout, defaultSessionIdleTimeout),
		KeepAlive:          v.duration(in, "keep_alive", b.KeepAlive, defaultKeepAlive),
		MaxAge:             v.duration(in, "max_connection_age", b.MaxAge, 0),
		MaxTickets:         limit("max_tickets", b.MaxTickets, defaultMaxTickets),
		MaxStreams:         limit("max_streams", b.MaxStreams, defaultMaxStreams),
		MaxTransactions:    limit("max_transactions", b.MaxTransactions, defaultMaxTransactions),
		MaxPrepared:        limit("max_prepared", b.MaxPrepared, defaultFlightPrepared),
		MaxWaiting:         limit("max_waiting", b.MaxWaiting, defaultMaxWaiting),
	}
}

func (v *validator) applyShares(cfg *Config, b *SharesBlock) {
	if b == nil {
		cfg.FrontQuotas = FrontQuotas{defaultFrontQuota, defaultFrontQuota}
		return
	}
	if b.PostgreSQL < 0 || b.Flight < 0 || b.PostgreSQL+b.Flight > 1 {
		v.errorf(inBlock("shares"), "postgresql", "shares must be within 0 and 1, and their sum at most 1")
	}
	cfg.FrontQuotas = FrontQuotas{b.PostgreSQL, b.Flight}
}
