package rehearsal

import (
	"context"
	"database/sql"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	_ "github.com/apache/arrow-go/v18/arrow/flight/flightsql/driver" // the driver "flightsql" of database/sql
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// Clients of Flight SQL: the raw one, and the driver for database/sql.

// flightClient is a connection of the raw client, with a session of its own.
type flightClient struct {
	c          *flightsql.Client
	ctx        context.Context // with the session's token
	tx         *flightsql.Txn
	statements int
	gone       atomic.Bool
	busy       sync.Mutex // the library does not bear its close while a call is under way
	nc         atomic.Pointer[net.Conn]
}

func newFlight(ctx context.Context, addr string) (*flightClient, error) {
	f := &flightClient{}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err == nil {
			f.nc.Store(&nc)
		}
		return nc, err
	}
	c, err := flightsql.NewClient(addr, nil, nil, grpc.WithContextDialer(dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	with, err := c.Client.AuthenticateBasicToken(ctx, "client", "")
	if err != nil {
		c.Close()
		return nil, err
	}
	f.c, f.ctx = c, context.WithoutCancel(with)
	return f, nil
}

// do runs a statement in the call's time. Statements about transactions are calls of their own here.
func (f *flightClient) do(ctx context.Context, _ bool, text, _ string) error {
	f.busy.Lock()
	defer f.busy.Unlock()
	in, cancel := context.WithCancel(f.ctx)
	if at, ok := ctx.Deadline(); ok {
		in, cancel = context.WithDeadline(f.ctx, at)
	}
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	err := f.run(in, text)
	if c := status.Code(err); c == codes.Unauthenticated || c == codes.Unavailable {
		f.gone.Store(true)
	}
	return err
}

func (f *flightClient) run(ctx context.Context, text string) (err error) {
	f.statements++
	switch {
	case strings.HasPrefix(text, "begin"):
		f.tx, err = f.c.BeginTransaction(ctx)
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
		_, err = f.c.ExecuteUpdate(ctx, text)
		return err
	}
	var info *flight.FlightInfo
	switch {
	case f.tx != nil:
		info, err = f.tx.Execute(ctx, text)
	case f.statements%2 == 0:
		p, e := f.c.Prepare(ctx, text)
		if e != nil {
			return e
		}
		defer p.Close(ctx)
		info, err = p.Execute(ctx)
	default:
		info, err = f.c.Execute(ctx, text)
	}
	if err != nil {
		return err
	}
	r, err := f.c.DoGet(ctx, info.Endpoint[0].Ticket)
	if err != nil {
		return err
	}
	defer r.Release()
	for r.Next() {
	}
	return r.Err()
}

func (f *flightClient) close(hard bool) {
	f.gone.Store(true)
	if nc := f.nc.Load(); hard && nc != nil {
		(*nc).Close()
	}
	go func() {
		f.busy.Lock()
		defer f.busy.Unlock()
		f.c.Close()
	}()
}

func (f *flightClient) broken() bool { return f.gone.Load() }

// sqlClient is one connection of the driver for database/sql.
type sqlClient struct {
	db   *sql.DB
	c    *sql.Conn
	gone atomic.Bool
}

func newSQL(ctx context.Context, addr string) (*sqlClient, error) {
	db, err := sql.Open("flightsql", "flightsql://client:p@"+addr)
	if err != nil {
		return nil, err
	}
	c, err := db.Conn(ctx)
	if err != nil {
		db.Close()
		return nil, err
	}
	return &sqlClient{db: db, c: c}, nil
}

func (p *sqlClient) do(ctx context.Context, _ bool, text, _ string) error {
	err := p.run(ctx, text)
	if c := status.Code(err); c == codes.Unauthenticated || c == codes.Unavailable {
		p.gone.Store(true)
	}
	return err
}

func (p *sqlClient) run(ctx context.Context, text string) error {
	if strings.HasPrefix(text, "insert") {
		_, err := p.c.ExecContext(ctx, text)
		return err
	}
	rows, err := p.c.QueryContext(ctx, text)
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
	}
	return rows.Err()
}

func (p *sqlClient) close(bool) {
	p.gone.Store(true)
	p.c.Close()
	p.db.Close()
}

func (p *sqlClient) broken() bool { return p.gone.Load() }

// flightCode is what a status says in PostgreSQL's terms; "": err is no status of the dispatcher's.
func flightCode(err error) string {
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

// flightWait is the come-back time of a status, in milliseconds; 0: it has none.
func flightWait(err error) int64 {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			return r.RetryDelay.AsDuration().Milliseconds()
		}
	}
	return 0
}
