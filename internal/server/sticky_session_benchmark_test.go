package server_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5"

	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// BenchmarkStickyStatement compares a statement of a session in a transaction with one of a free session. The
// client is the same.
func BenchmarkStickyStatement(b *testing.B) {
	r, err := testbed.New(
		standin.EngineConfig{Kind: testbed.EngineKind(64, 4096)},
		standin.EngineConfig{Kind: testbed.EngineKind(64,
			4096)},
	)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	s, err := r.StartDispatcher(benchSettings, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	ctx := context.Background()
	for _, sticky := range []bool{false, true} {
		b.Run(fmt.Sprintf("sticky=%v", sticky), func(b *testing.B) {
			c, err := pgx.Connect(ctx, "postgres://u@"+s.Addr()+"/db?sslmode=disable")
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close(ctx)
			if sticky {
				if _, err := c.Exec(ctx, "begin"); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				if _, err := c.Exec(ctx, benchmarkStatement, "x"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkIdleStickySession measures the memory per idle session in a transaction, in kB. The client, the
// dispatcher and the stand-in engine share the process, so the figure includes all three.
func BenchmarkIdleStickySession(b *testing.B) {
	r, err := testbed.New(standin.EngineConfig{Kind: testbed.EngineKind(64, 4096)})
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	s, err := r.StartDispatcher("engines { max_connections = 5000 }\n"+`default_class = "lookup"
kind "std" { cores = 1000 }
class "lookup" {
  aim = "5s"
  deadline = "10s"
  effect = "safe"
}`, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	const n = 1000
	ctx := context.Background()
	memory := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	for range b.N {
		var all []*pgx.Conn
		for range n {
			c, err := pgx.Connect(ctx,
				"postgres://u@"+s.Addr()+"/db?sslmode=disable&default_query_exec_mode=simple_protocol")
			if err != nil {
				b.Fatal(err)
			}
			all = append(all, c)
			if _, err := c.Exec(ctx, "select 1 /*work_ms='0'*/"); err != nil {
				b.Fatal(err)
			}
		}
		before := memory()
		for _, c := range all {
			if _, err := c.Exec(ctx, "begin"); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memory()-before)/n/1024, "kB/session")
		for _, c := range all {
			c.Close(ctx)
		}
	}
}
