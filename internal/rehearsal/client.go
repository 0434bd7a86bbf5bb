package rehearsal

import (
	"context"
	"database/sql"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/lib/pq"
)

// connectTimeout limits the time in which a client connects.
const connectTimeout = 3 * time.Second

// driver is the client library with which a client connects.
type driver int

const (
	driverPgx       driver = iota
	driverPq               // lib/pq
	driverFlight           // Flight SQL's own client
	driverFlightSQL        // Flight SQL's driver for database/sql
)

// client is one connection of a client library.
type client interface {
	// do runs a statement, and cancels it when the context ends. simple selects PostgreSQL's simple protocol;
	// parameter is the only parameter of a prepared statement. Clients of Flight SQL ignore both.
	do(ctx context.Context, simple bool, text, parameter string) error
	// close closes the connection. With force it closes the socket at once, even during a query;
	// flightSQLClient ignores force.
	close(force bool)
	// broken reports whether the connection can no longer be used.
	broken() bool
	driver() driver
}

// pool holds the idle clients of one dispatcher.
type pool struct {
	mu   sync.Mutex
	free []client
}

// client returns an idle connection to the arrival's dispatcher by the arrival's driver, or a new one.
func (l *workload) client(ctx context.Context, a arrival) (client, error) {
	if c := l.idle[a.dispatcher].take(a.driver); c != nil {
		return c, nil
	}
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	switch a.driver {
	case driverFlight:
		return newFlightClient(connectCtx, l.flight[a.dispatcher])
	case driverFlightSQL:
		return newFlightSQLClient(connectCtx, l.flight[a.dispatcher])
	}
	url := "postgres://client@" + l.addrs[a.dispatcher] + "/search?sslmode=disable"
	if a.driver == driverPq {
		return newPqClient(connectCtx, url)
	}
	c, err := pgx.Connect(connectCtx, url)
	if err != nil {
		return nil, err
	}
	return &pgxClient{c}, nil
}

// take removes and returns the client of driver d that was put back most recently; nil: there is none.
func (p *pool) take(d driver) client {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.free) - 1; i >= 0; i-- {
		if c := p.free[i]; c.driver() == d {
			p.free = append(p.free[:i], p.free[i+1:]...)
			return c
		}
	}
	return nil
}

// returnClient puts a client back into the pool of the arrival's dispatcher.
func (l *workload) returnClient(a arrival, c client) {
	p := l.idle[a.dispatcher]
	p.mu.Lock()
	p.free = append(p.free, c)
	p.mu.Unlock()
}

// pgxClient is one connection of pgx.
type pgxClient struct{ conn *pgx.Conn }

func (p *pgxClient) do(ctx context.Context, simple bool, text, parameter string) error {
	var args []any
	if simple {
		args = append(args, pgx.QueryExecModeSimpleProtocol)
	} else {
		args = append(args, parameter)
	}
	_, err := p.conn.Exec(ctx, text, args...)
	return err
}

func (p *pgxClient) close(force bool) {
	if force {
		p.conn.PgConn().Conn().Close()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = p.conn.Close(ctx) // the connection is given up in any case
}

func (p *pgxClient) broken() bool { return p.conn.IsClosed() }

func (p *pgxClient) driver() driver { return driverPgx }

// pqClient is one connection of lib/pq, used through database/sql as applications use it.
type pqClient struct {
	db      *sql.DB
	conn    *sql.Conn
	netConn net.Conn
	closed  atomic.Bool
}

// DialContext dials and keeps the network connection, so that close can end it during a query.
func (p *pqClient) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
	p.netConn = nc
	return nc, err
}

// Dial dials without a time limit. With DialTimeout it makes pqClient a pq.Dialer.
func (p *pqClient) Dial(network, address string) (net.Conn, error) {
	return p.DialContext(context.Background(), network, address)
}

// DialTimeout dials with a time limit.
func (p *pqClient) DialTimeout(network, address string, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return p.DialContext(ctx, network, address)
}

// newPqClient connects to a dispatcher by lib/pq.
func newPqClient(ctx context.Context, url string) (*pqClient, error) {
	connector, err := pq.NewConnector(url)
	if err != nil {
		return nil, err
	}
	p := &pqClient{}
	connector.Dialer(p)
	p.db = sql.OpenDB(connector)
	if p.conn, err = p.db.Conn(ctx); err != nil {
		_ = p.db.Close() // it holds no connection
		return nil, err
	}
	return p, nil
}

func (p *pqClient) do(ctx context.Context, simple bool, text, parameter string) error {
	var args []any
	if !simple {
		args = append(args, parameter)
	}
	_, err := p.conn.ExecContext(ctx, text, args...)
	if err != nil && sqlState(err) == stateConnection {
		p.closed.Store(true)
	}
	return err
}

func (p *pqClient) close(force bool) {
	p.closed.Store(true)
	if force {
		p.netConn.Close()
	}
	_ = p.conn.Close() // the connection is given up in any case
	_ = p.db.Close()
}

func (p *pqClient) broken() bool { return p.closed.Load() }

func (p *pqClient) driver() driver { return driverPq }
