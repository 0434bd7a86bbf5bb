//go:build review

package lab2

import (
	"context"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// DialFlight returns a client of Flight SQL. It connects with its first call.
func DialFlight(addr string) (*flightsql.Client, error) {
	return flightsql.NewClient(addr, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// Fetch fetches a ticket and counts its rows.
func Fetch(ctx context.Context, c *flightsql.Client, ticket *flight.Ticket) (rows int64, err error) {
	r, err := c.DoGet(ctx, ticket)
	if err != nil {
		return 0, err
	}
	defer r.Release()
	for r.Next() {
		rows += r.RecordBatch().NumRows()
	}
	return rows, r.Err()
}

// ErrorInfo returns the reason in the ErrorInfo of a call's error, and what it says about whether the
// statement ran; both are "" if there is none.
func ErrorInfo(err error) (reason, ran string) {
	for _, detail := range status.Convert(err).Details() {
		if info, ok := detail.(*errdetails.ErrorInfo); ok {
			return info.Reason, info.Metadata["ran"]
		}
	}
	return "", ""
}
