//go:build review

// Case: a statement of a transaction gets the rows of the statement before it.
package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
	"cresspass/review/bench"
)

const settings = `
default_class = "lookup"
listen        = %q
roster { eds = %q }
kind "std" { cores = 8 }
class "lookup" {
  aim      = "1.2s"
  deadline = "6s"
  effect   = "safe"
}
`

func main() {
	b := bench.New()
	engine := b.Engine(standin.EngineConfig{Kind: testbed.EngineKind(8, 4096)})
	link := b.Proxy(engine.Addr())
	discovery := b.Discovery(eds.Engine{Address: link.Addr(), State: eds.StateActive, Kind: "std"})
	listen := b.FreePort()
	b.Start("dispatcher", "serve", "-c", b.File("serve.hcl", fmt.Sprintf(settings, listen, discovery.Addr())))
	ctx := context.Background()
	var c *pgconn.PgConn
	for i := 0; ; i++ {
		var err error
		if c, err = pgconn.Connect(ctx, "postgres://u@"+listen+"/d?sslmode=disable"); err == nil {
			break
		}
		if i > 100 {
			b.Must(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if b.Trouble {
		link.CancelDelay.Store(int64(time.Second))
	}
	wrong := 0
	run := func(name, text string) {
		b.Log("client: %s", text)
		results, err := c.Exec(ctx, text).ReadAll()
		for _, r := range results {
			for _, row := range r.Rows {
				b.Log("client: %s: row %q, tag %s", name, row, r.CommandTag)
				if string(row[1]) != name {
					wrong++
				}
			}
			if len(r.Rows) == 0 {
				b.Log("client: %s: tag %s", name, r.CommandTag)
			}
		}
		if err != nil {
			b.Log("client: %s: %v", name, err)
		}
		b.Log("client: transaction status %c", c.TxStatus())
	}
	run("begin", "BEGIN")
	run("first", "SELECT a FROM t /*echo='first',work_ms='1500',wait_ms='1000'*/")
	run("second", "SELECT a FROM u /*echo='second',work_ms='20'*/")
	run("third", "SELECT a FROM u /*echo='third',work_ms='20'*/")
	if wrong > 0 {
		b.Exit(bench.Broken, "%d rows of another statement", wrong)
	}
	b.Exit(bench.Held, "each row was that of its statement")
}
