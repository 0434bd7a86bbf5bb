package server_test

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// millionRowsStatement returns a million rows of four columns, about 50 bytes each.
const millionRowsStatement = "select 1 /*columns='int8,float8,text,timestamp',rows='1000000',work_ms='0'*/"

// BenchmarkMillionRows measures a million rows directly from an engine, through the PostgreSQL frontend and
// through the Flight SQL frontend, in one run. One iteration is one query.
func BenchmarkMillionRows(b *testing.B) {
	r, err := testbed.New(standin.EngineConfig{Kind: testbed.EngineKind(64, 4096)})
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	s, err := r.StartDispatcher(`default_class = "lookup"
kind "std" { cores = 64 }
flight { listen = "127.0.0.1:0" }
class "lookup" {
  aim = "30s"
  deadline = "60s"
  effect = "safe"
}`, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	ctx := context.Background()
	report := func(b *testing.B) {
		b.ReportMetric(float64(b.N)*1e6/b.Elapsed().Seconds(), "rows/s")
	}
	for _, way := range []string{"direct", "postgresql"} {
		addr := r.Engines[0].Addr()
		if way == "postgresql" {
			addr = s.Addr()
		}
		b.Run(way, func(b *testing.B) {
			c, err := pgconn.Connect(ctx, "postgres://u@"+addr+"/db?sslmode=disable")
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close(ctx)
			for b.Loop() {
				rd := c.ExecParams(ctx, millionRowsStatement, nil, nil, nil, []int16{1})
				n := 0
				for rd.NextRow() {
					n++
				}
				if _, err := rd.Close(); err != nil || n != 1e6 {
					b.Fatal(n, err)
				}
			}
			report(b)
		})
	}
	b.Run("flight", func(b *testing.B) {
		c := dialFlight(b, s, "u")
		batches := 0
		for b.Loop() {
			fi, err := c.Execute(c.ctx, millionRowsStatement)
			if err != nil {
				b.Fatal(err)
			}
			rd, err := c.DoGet(c.ctx, fi.Endpoint[0].Ticket)
			if err != nil {
				b.Fatal(err)
			}
			n := int64(0)
			for rd.Next() {
				n += rd.RecordBatch().NumRows()
				batches++
			}
			if rd.Release(); rd.Err() != nil || n != 1e6 {
				b.Fatal(n, rd.Err())
			}
		}
		report(b)
		b.ReportMetric(float64(batches)/float64(b.N), "batches")
	})
}
