package server_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// benchSettings admits all clients, so that benchmarks measure the path of statements and no rejections.
const benchSettings = baseSettings + `
max_clients = 20000
`

// BenchmarkStatementPath measures statements through the dispatcher and directly to an engine, with the same
// client and in one run. The engine answers at once. One iteration is one statement.
func BenchmarkStatementPath(b *testing.B) {
	r, err := testbed.New(
		standin.EngineConfig{Kind: testbed.EngineKind(64, 4096)},
		standin.EngineConfig{Kind: testbed.EngineKind(64,
			4096)},
	)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	s, err := r.StartDispatcher(`engines { max_connections = 2000 }
tick = "1ms"
max_clients = 20000
default_class = "lookup"
kind "std" { cores = 100000 }
class "lookup" {
  aim = "10s"
  deadline = "30s"
  effect = "safe"
}`, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	for _, conns := range []int{1, 64, 1000} {
		for _, way := range []string{"direct", "dispatcher"} {
			addr := s.Addr()
			if way == "direct" {
				addr = r.Engines[0].Addr()
			}
			b.Run(
				fmt.Sprintf("%s/%d", way, conns),
				func(b *testing.B) { benchmarkStatements(b, addr, conns) },
			)
		}
	}
}

// benchmarkStatement states a cost of a fiftieth of the latency objective, the least that the module accepts.
// Without it, the benchmark would also measure what the module learns from 30,000 statements a second that
// take a tenth of a millisecond each.
const benchmarkStatement = "select $1::text /*work_ms='0',cost_ms='200'*/"

// benchmarkStatements runs b.N statements over several connections, after a second of warm-up.
func benchmarkStatements(b *testing.B, addr string, conns int) {
	ctx := context.Background()
	var wg sync.WaitGroup
	var remaining, rejected atomic.Int64
	var mu sync.Mutex
	all := hdrhistogram.New(1, 60_000_000, 3)
	startWarmUp, startMeasuring := make(chan struct{}), make(chan struct{})
	var warmUps sync.WaitGroup
	remaining.Store(int64(b.N))
	for range conns {
		c, err := pgx.Connect(ctx, "postgres://u@"+addr+"/db?sslmode=disable")
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close(ctx)
		run := func() bool {
			_, err := c.Exec(ctx, benchmarkStatement, "x")
			var e *pgconn.PgError
			if errors.As(err, &e) && e.Code == "53000" {
				rejected.Add(1)
			} else if err != nil {
				b.Error(err)
			}
			return err == nil
		}
		wg.Add(1)
		warmUps.Add(1)
		go func() {
			defer wg.Done()
			h := hdrhistogram.New(1, 60_000_000, 3)
			<-startWarmUp
			for at := time.Now(); time.Since(at) < time.Second; {
				if !run() {
					time.Sleep(10 * time.Millisecond)
				}
			}
			warmUps.Done()
			<-startMeasuring
			for remaining.Add(-1) >= 0 {
				if at := time.Now(); run() {
					if err := h.RecordValue(time.Since(at).Microseconds()); err != nil {
						b.Error(err)
					}
				}
			}
			mu.Lock()
			all.Merge(h)
			mu.Unlock()
		}()
	}
	close(startWarmUp)
	warmUps.Wait()
	rejected.Store(0)
	b.ResetTimer()
	close(startMeasuring)
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "stmt/s")
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(rejected.Load())/float64(b.N), "refused")
}

// idleClientsEnv is the environment variable that makes the test program the child process of
// BenchmarkIdleClient. Its value is an address and the number of clients to connect.
const idleClientsEnv = "CRESSPASS_IDLE"

// BenchmarkIdleClient measures the dispatcher's memory per idle client, in kB, with 10,000 clients. The
// clients are in a process of their own, as one process may not open enough files for both sides.
func BenchmarkIdleClient(b *testing.B) {
	r, err := testbed.New(standin.EngineConfig{Kind: testbed.EngineKind(8, 4096)})
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	s, err := r.StartDispatcher(benchSettings, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	const n = 10000
	for range b.N {
		memory := func() uint64 {
			runtime.GC()
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return m.HeapInuse + m.StackInuse
		}
		before := memory()
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d", idleClientsEnv, s.Addr(), n))
		child.Stderr = os.Stderr
		in, _ := child.StdinPipe()
		out, _ := child.StdoutPipe()
		if err := child.Start(); err != nil {
			b.Fatal(err)
		}
		if line, err := bufio.NewReader(out).ReadString('\n'); line != "ready\n" {
			b.Fatal(line, err)
		}
		b.ReportMetric(float64(memory()-before)/n/1024, "kB/client")
		in.Close()
		child.Wait()
	}
}

// holdIdleClients is the child process of BenchmarkIdleClient. It connects the clients, reports "ready" and
// keeps them open until its standard input ends.
func holdIdleClients(target string) error {
	var addr string
	var n int
	if _, err := fmt.Sscan(target, &addr, &n); err != nil {
		return err
	}
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: 3 << 16,
		Parameters: map[string]string{"user": "u"}}).Encode(nil)
	if err != nil {
		return err
	}
	query, err := (&pgproto3.Query{String: "select 1 /*work_ms='0'*/"}).Encode(nil)
	if err != nil {
		return err
	}
	buf := make([]byte, 4096)
	for range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return err
		}
		defer c.Close()
		for _, m := range [][]byte{startup, query} { // the client is idle after one query
			if _, err := c.Write(m); err != nil {
				return err
			}
			if _, err := c.Read(buf); err != nil {
				return err
			}
		}
	}
	fmt.Println("ready")
	io.Copy(io.Discard, os.Stdin)
	return nil
}

// BenchmarkCore measures the core alone, with 40 engines and 200 gateways. One iteration is a query that
// arrives, is sent and is answered.
func BenchmarkCore(b *testing.B) {
	cfg := cresspass.Config{Seed: 1, GatewayCount: 200, BatchInterval: 5 * time.Millisecond, MayCancel: true,
		KindNames: []string{"std"},
		KindCores: []float64{16}, Classes: []cresspass.Class{{Name: "q", LatencyObjective: time.Second,
			Deadline: 5 * time.Second, PriorityWeight: 1}}}
	core, err := dispatch.NewCore(cfg, time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	list := cresspass.Event{Type: cresspass.EngineListReceived, ListType: cresspass.ListComplete}
	for i := range 40 {
		list.Engines = append(list.Engines, cresspass.EngineInfo{ID: cresspass.EngineID(fmt.Sprint("e", i)),
			Kind: "std"})
	}
	now := time.Hour
	core.Step(now, []cresspass.Event{list})
	id := cresspass.QueryID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += 100 * time.Microsecond
		arrived := cresspass.Event{
			Type:              cresspass.QueryArrived,
			Query:             id,
			Class:             "q",
			RemainingDeadline: 5 * time.Second,
		}
		for _, o := range core.Step(now, []cresspass.Event{arrived}) {
			if o.Type == dispatch.StartAttempt {
				now += 50 * time.Microsecond
				done := cresspass.Event{
					Type:          cresspass.AttemptDone,
					Query:         o.Query,
					Attempt:       o.Attempt,
					Engine:        o.Engine,
					Outcome:       cresspass.OutcomeOK,
					Elapsed:       100 * time.Millisecond,
					QueryFinished: true,
				}
				core.Step(now, []cresspass.Event{done})
				break
			}
		}
	}
}
