package server_test

import (
	"context"
	"strings"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"cresspass/internal/frontend/flightsql/arrowbatch"
	"cresspass/internal/server"
)

// flightSettings are baseSettings with a Flight SQL frontend whose tickets expire after 2 s.
const flightSettings = baseSettings + "flight {\n  listen = \"127.0.0.1:0\"\n  ticket_life = \"2s\"\n}\n"

// flightClient is a client of the Flight SQL protocol. Its context carries the session's token.
type flightClient struct {
	*flightsql.Client
	ctx context.Context
}

// dialFlight connects a client and, if a user is named, starts a session.
func dialFlight(t testing.TB, s *server.Server, user string, opts ...grpc.DialOption) *flightClient {
	t.Helper()
	c, err := flightsql.NewClient(s.FlightAddr(), nil, nil, append(opts,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20)))...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	ctx := context.Background()
	if user != "" {
		if ctx, err = c.Client.AuthenticateBasicToken(ctx, user, "p"); err != nil {
			t.Fatal(err)
		}
	}
	return &flightClient{c, ctx}
}

// rows fetches all rows of a FlightInfo. Values are in PostgreSQL's text format, null is `\N`.
func (c *flightClient) rows(ctx context.Context, info *flight.FlightInfo) (out [][]string, err error) {
	r, err := c.DoGet(ctx, info.Endpoint[0].Ticket)
	if err != nil {
		return nil, err
	}
	defer r.Release()
	for r.Next() {
		rec := r.RecordBatch()
		for i := range int(rec.NumRows()) {
			var row []string
			for _, col := range rec.Columns() {
				v, null, err := arrowbatch.PostgresText(col, i)
				if err != nil {
					return nil, err
				}
				if null {
					v = `\N`
				}
				row = append(row, v)
			}
			out = append(out, row)
		}
	}
	return out, r.Err()
}

// query executes a statement and fetches its rows.
func (c *flightClient) query(text string) error {
	info, err := c.Execute(c.ctx, text)
	if err != nil {
		return err
	}
	_, err = c.rows(c.ctx, info)
	return err
}

// errorInfo returns the ErrorInfo of a call's error, or nil.
func errorInfo(err error) *errdetails.ErrorInfo {
	for _, d := range status.Convert(err).Details() {
		if i, ok := d.(*errdetails.ErrorInfo); ok {
			return i
		}
	}
	return nil
}

// flightSQLState returns the SQLSTATE of a call's error, "aborted" if a commit rolled back, "" for no error,
// or else the error's text.
func flightSQLState(err error) string {
	if err == nil {
		return ""
	}
	if i := errorInfo(err); i != nil && i.Metadata["sqlstate"] != "" {
		return i.Metadata["sqlstate"]
	}
	if strings.Contains(err.Error(), "it was rolled back") {
		return "aborted"
	}
	return err.Error()
}
