//go:build review

// Case 1: after a statement of a transaction was ended by its client's time, while its engine was silent, the
// next statements get each the rows of the one before, and so do other clients.
package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"cresspass/review/bench"
)

const settings = `
default_class = "lookup"
write_class   = "index-load"
listen        = %q
zone          = "salle-a"
roster { eds = %q }
engines {
  takes_grants    = true
  max_grant_share = 0.5
  when_short      = "shrink"
  progress_every  = "2s"
  report_fields   = ["concurrent", "x0"]
  may_probe       = true
}
rules {
  drain_grace   = "2s"
  cold_from     = 0.31
  cold_for      = "15s"
  cold_multiple = 2.5
  cold_window   = "2s"
}
limits { max_attempts = 4 }
kind "std" {
  cores     = 8
  memory_mb = 4096
}
class "lookup" {
  aim         = "1.5s"
  aim_stretch = 2
  deadline    = "7.5s"
  effect      = "safe"
}
class "index-load" {
  aim         = "3s"
  aim_stretch = 3
  deadline    = "20s"
  worth       = 8
  threads     = 2
  effect      = "unsafe"
  loads       = true
}
`

const (
	engines    = 6
	silence    = 7 * time.Second // of one engine
	clientTime = 6 * time.Second // for each statement of the transaction
	readers    = 20
	readFor    = 4 * time.Second
	pause      = 100 * time.Millisecond // of a client after an error
)

// clients plays the clients and counts what they are answered.
type clients struct {
	bench               *bench.Bench
	fleet               *bench.Fleet
	listen              string
	own, wrong, foreign atomic.Int64
}

func main() {
	b := bench.New()
	p := &clients{bench: b, fleet: b.Fleet(engines), listen: b.FreePort()}
	b.WaitReady(b.Start("dispatcher", "serve", "-c",
		b.File("serve.hcl", fmt.Sprintf(settings, p.listen, p.fleet.Discovery.Addr()))))
	answering := make(chan struct{}) // closed once the engine of the transaction answers again
	var all sync.WaitGroup
	for i := range readers {
		all.Go(func() {
			c := b.Connect(p.listen)
			<-answering
			p.read(c, i)
		})
	}
	all.Go(func() { p.transaction(answering) })
	all.Wait()
	wrong, foreign := p.wrong.Load(), p.foreign.Load()
	switch {
	case wrong+foreign > 0:
		b.Exit(bench.Broken, "%d rows of another statement of the client, %d of another client; %d own",
			wrong, foreign, p.own.Load())
	case p.own.Load() == 0:
		b.Exit(bench.CouldNot, "no statement was answered")
	}
	b.Exit(bench.Held, "%d statements were answered with their own row, none with another", p.own.Load())
}

// run sends a statement whose row is name, and counts the row that it gets. It returns false after an error.
func (p *clients) run(c *pgconn.PgConn, client, name string, workMS int) bool {
	return p.send(c, client, name, fmt.Sprintf("SELECT a FROM t /*id='%[1]s',echo='%[1]s',work_ms='%[2]d'*/",
		client+" "+name, workMS), client == "transaction")
}

func (p *clients) send(c *pgconn.PgConn, client, name, text string, logged bool) bool {
	if logged {
		p.bench.Log("client %s: sends %s", client, text)
	}
	results, err := c.Exec(context.Background(), text).ReadAll()
	for _, result := range results {
		for _, row := range result.Rows {
			p.count(client, name, string(row[1]))
		}
		if logged {
			p.bench.Log("client %s: %s is answered %q %s, status %c", client, name, result.Rows,
				result.CommandTag, c.TxStatus())
		}
	}
	var e *pgconn.PgError
	if errors.As(err, &e) {
		p.bench.Log("client %s: %s is told %s %s", client, name, e.Code, e.Message)
	} else if err != nil {
		p.bench.Log("client %s: %s: %v", client, name, err)
	}
	return err == nil
}

func (p *clients) count(client, name, row string) {
	switch {
	case row == client+" "+name:
		p.own.Add(1)
		return
	case len(row) > len(client) && row[:len(client)+1] == client+" ":
		p.wrong.Add(1)
	default:
		p.foreign.Add(1)
	}
	p.bench.Log("client %s: %s is answered with the row %q", client, name, row)
}

// read plays a client that reads, without a transaction.
func (p *clients) read(c *pgconn.PgConn, number int) {
	defer c.Conn().Close()
	client := fmt.Sprintf("reader-%d", number)
	begin := time.Now()
	for n := 0; time.Since(begin) < readFor; n++ {
		if !p.run(c, client, fmt.Sprintf("row-%d", n), 20) {
			time.Sleep(pause)
		}
		time.Sleep(pause / 10)
	}
}

// transaction plays a client that reads in a transaction, then outside it, each statement after the answer to
// the one before. During its second statement the engine of the transaction is silent.
func (p *clients) transaction(answering chan struct{}) {
	const client = "transaction"
	c := p.bench.Connect(p.listen)
	defer c.Conn().Close()
	p.send(c, client, "set", fmt.Sprintf("SET statement_timeout = %d", clientTime.Milliseconds()), true)
	p.send(c, client, "begin", "BEGIN", true)
	p.run(c, client, "row-1", 20)
	if p.bench.Trouble {
		engine := p.fleet.EngineOf("transaction row-1")
		if engine < 0 {
			p.bench.Exit(bench.CouldNot, "no engine ran the first statement")
		}
		link := p.fleet.Links[engine]
		link.SetSilent(true)
		time.AfterFunc(silence, func() {
			link.SetSilent(false)
			close(answering)
		})
	}
	if !p.run(c, client, "row-2", 20) {
		time.Sleep(pause)
	}
	if !p.bench.Trouble {
		close(answering)
	}
	p.run(c, client, "row-3", 2500)
	p.send(c, client, "commit", "COMMIT /*state_ms='5'*/", true) // an engine takes 5 ms for it
	p.run(c, client, "row-4", 1000)
}
