package rehearsal

import (
	"context"
	"database/sql"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	_ "github.com/apache/arrow-go/v18/arrow/flight/flightsql/driver" // the driver "flightsql" of database/sql
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// flightClient is one connection of Flight SQL's own client, with one session.
type flightClient struct {
	client     *flightsql.Client
	ctx        context.Context // carries the session's token
	tx         *flightsql.Txn  // the open transaction; nil: none
	statements int             // number of statements so far
	closed     atomic.Bool
	busy       sync.Mutex // held during a call, because the library must not be closed meanwhile
	netConn    atomic.Pointer[net.Conn]
}

// newFlightClient connects to a dispatcher by Flight SQL's own client and opens a session.
func newFlightClient(ctx context.Context, addr string) (*flightClient, error) {
	f := &flightClient{}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err == nil {
			f.netConn.Store(&nc)
		}
		return nc, err
	}
	c, err := flightsql.NewClient(addr, nil, nil, grpc.WithContextDialer(dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	sessionCtx, err := c.Client.AuthenticateBasicToken(ctx, "client", "")
	if err != nil {
		_ = c.Close() // the error before it is the result
		return nil, err
	}
	f.client, f.ctx = c, context.WithoutCancel(sessionCtx)
	return f, nil
}

// do runs a statement until the caller's context ends. Statements that begin or end a transaction become
// calls, because Flight SQL has no such statements.
func (f *flightClient) do(ctx context.Context, _ bool, text, _ string) error {
	f.busy.Lock()
	defer f.busy.Unlock()
	callCtx, cancel := context.WithCancel(f.ctx)
	if at, ok := ctx.Deadline(); ok {
		callCtx, cancel = context.WithDeadline(f.ctx, at)
	}
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	err := f.run(callCtx, text)
	if c := status.Code(err); c == codes.Unauthenticated || c == codes.Unavailable {
		f.closed.Store(true)
	}
	return err
}

// run runs a statement. A query outside a transaction is prepared if its number on the connection is even.
func (f *flightClient) run(ctx context.Context, text string) (err error) {
	f.statements++
	switch {
	case strings.HasPrefix(text, "begin"):
		f.tx, err = f.client.BeginTransaction(ctx)
		return err
	case strings.HasPrefix(text, "commit"):
		tx := f.tx
		f.tx = nil
		return tx.Commit(ctx)
	case strings.HasPrefix(text, "rollback"):
		if tx := f.tx; tx != nil {
			f.tx = nil
			return tx.Rollback(ctx)
		}
		return nil
	case strings.HasPrefix(text, "insert") && f.tx != nil:
		_, err = f.tx.ExecuteUpdate(ctx, text)
		return err
	case strings.HasPrefix(text, "insert"):
		_, err = f.client.ExecuteUpdate(ctx, text)
		return err
	}
	var info *flight.FlightInfo
	switch {
	case f.tx != nil:
		info, err = f.tx.Execute(ctx, text)
	case f.statements%2 == 0:
		p, e := f.client.Prepare(ctx, text)
		if e != nil {
			return e
		}
		defer func() { _ = p.Close(ctx) }() // if it fails, the statement ends with the session
		info, err = p.Execute(ctx)
	default:
		info, err = f.client.Execute(ctx, text)
	}
	if err != nil {
		return err
	}
	r, err := f.client.DoGet(ctx, info.Endpoint[0].Ticket)
	if err != nil {
		return err
	}
	defer r.Release()
	for r.Next() {
	}
	return r.Err()
}

func (f *flightClient) close(force bool) {
	f.closed.Store(true)
	if nc := f.netConn.Load(); force && nc != nil {
		(*nc).Close()
	}
	go func() {
		f.busy.Lock()
		defer f.busy.Unlock()
		_ = f.client.Close() // the connection is given up in any case
	}()
}

func (f *flightClient) broken() bool { return f.closed.Load() }

func (f *flightClient) driver() driver { return driverFlight }

// flightSQLClient is one connection of Flight SQL's driver for database/sql.
type flightSQLClient struct {
	db     *sql.DB
	conn   *sql.Conn
	closed atomic.Bool
}

// newFlightSQLClient connects to a dispatcher by Flight SQL's driver for database/sql.
func newFlightSQLClient(ctx context.Context, addr string) (*flightSQLClient, error) {
	db, err := sql.Open("flightsql", "flightsql://client:p@"+addr)
	if err != nil {
		return nil, err
	}
	c, err := db.Conn(ctx)
	if err != nil {
		_ = db.Close() // it holds no connection
		return nil, err
	}
	return &flightSQLClient{db: db, conn: c}, nil
}

func (p *flightSQLClient) do(ctx context.Context, _ bool, text, _ string) error {
	err := p.run(ctx, text)
	if c := status.Code(err); c == codes.Unauthenticated || c == codes.Unavailable {
		p.closed.Store(true)
	}
	return err
}

// run runs a statement and reads its rows.
func (p *flightSQLClient) run(ctx context.Context, text string) error {
	if strings.HasPrefix(text, "insert") {
		_, err := p.conn.ExecContext(ctx, text)
		return err
	}
	rows, err := p.conn.QueryContext(ctx, text)
	if err != nil {
		return err
	}
	defer func() { _ = rows.Close() }() // rows.Err returns the same error
	for rows.Next() {
	}
	return rows.Err()
}

// close closes the connection; it ignores force.
func (p *flightSQLClient) close(bool) {
	p.closed.Store(true)
	_ = p.conn.Close() // the connection is given up in any case
	_ = p.db.Close()
}

func (p *flightSQLClient) broken() bool { return p.closed.Load() }

func (p *flightSQLClient) driver() driver { return driverFlightSQL }

// flightSQLState returns the SQLSTATE in the details of a gRPC status, or else "gRPC " and the status code;
// "": err is no gRPC status.
func flightSQLState(err error) string {
	s, ok := status.FromError(err)
	if !ok {
		return ""
	}
	for _, d := range s.Details() {
		if i, ok := d.(*errdetails.ErrorInfo); ok && i.Metadata["sqlstate"] != "" {
			return i.Metadata["sqlstate"]
		}
	}
	return "gRPC " + s.Code().String()
}

// flightRetryDelay returns the retry delay in the details of a gRPC status; 0: it has none.
func flightRetryDelay(err error) time.Duration {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			return r.RetryDelay.AsDuration().Truncate(time.Millisecond)
		}
	}
	return 0
}
