//go:build review

// Case 7: after a spoilt row a Flight SQL client is told that nothing ran, and its ticket runs again.
package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"cresspass/review/lab2"
)

const (
	loads      = 4
	spoilt     = "L2"                   // the load whose first answer is spoilt
	fetchPause = 300 * time.Millisecond // before a client fetches a ticket again
	maxFetches = 3
	work       = 200 * time.Millisecond // of a load
)

// settings are the front for Flight SQL and the class of the loads: they must never run twice.
const settings = `
flight {
  listen = "%s"
}

class "index-load" {
  aim      = "3s"
  deadline = "20s"
  worth    = 8
  threads  = 2
  effect   = "unsafe"
  loads    = true
}
`

func main() {
	l := lab2.New("review/7")
	r := &runner{lab: l, runs: map[string]int{}}
	engine := &lab2.PGEngine{Columns: []string{"version"}, Execute: r.run}
	addr, flightAddr := l.FreeAddr(), l.FreeAddr()
	text := fmt.Sprintf(lab2.ServeSettings, addr, l.StartRoster(engine.Listen(l))) +
		fmt.Sprintf(settings, flightAddr)
	l.StartServe("dispatcher", l.WriteFile("serve.hcl", text))
	for i := range loads {
		load(l, flightAddr, fmt.Sprintf("L%d", i+1))
	}
	r.judge()
	l.Finish()
}

// load asks for one load as a Flight SQL client does: it gets a ticket and fetches it. Where the answer says
// that nothing ran, it fetches the ticket again.
func load(l *lab2.Lab, addr, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c, err := lab2.DialFlight(addr)
	l.Check(err)
	defer c.Close()
	info, err := c.Execute(ctx, "insert into repo_7.files values (1) returning version "+
		"/*class='index-load',id='"+id+"'*/")
	l.Check(err)
	for range maxFetches {
		l.Note("%s: its client fetches the ticket", id)
		rows, err := lab2.Fetch(ctx, c, info.Endpoint[0].Ticket)
		if err == nil {
			l.Note("%s served: %d rows", id, rows)
			return
		}
		reason, ran := lab2.ErrorInfo(err)
		l.Note("%s answered: %v; ErrorInfo %s, ran=%s", id, err, reason, ran)
		if ran != "false" {
			return // it may have run: the client doesn't try again
		}
		time.Sleep(fetchPause)
	}
}

// runner runs loads at the engine. Each takes some time and returns one row with one integer. With the
// disruption, the first answer to one of the loads is spoilt: the length of its value doesn't fit the column.
type runner struct {
	lab *lab2.Lab

	mu   sync.Mutex
	runs map[string]int // executions that came to their end, by load
}

func (r *runner) run(text string) (rows [][][]byte, tag string) {
	_, id, _ := strings.Cut(text, "id='")
	id, _, _ = strings.Cut(id, "'")
	r.lab.Note("engine: %s begins", id)
	time.Sleep(work)
	r.mu.Lock()
	r.runs[id]++
	n := r.runs[id]
	r.mu.Unlock()
	value := []byte{0, 0, 0, 1}
	if r.lab.Trouble && id == spoilt && n == 1 {
		value = value[:3]
	}
	r.lab.Note("engine: %s has run %d times; answered by a row with a value of %d bytes", id, n, len(value))
	return [][][]byte{{value}}, "INSERT 0 1"
}

// judge checks that each load ran once.
func (r *runner) judge() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range loads {
		id := fmt.Sprintf("L%d", i+1)
		if n := r.runs[id]; n > 1 {
			r.lab.Break("%s must never run twice, and ran %d times", id, n)
		} else if n == 0 {
			r.lab.Fail("%s has not run", id)
		}
	}
}
