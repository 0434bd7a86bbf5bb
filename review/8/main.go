//go:build review

// Case 8: one spoilt row in an answer to a Flight SQL client ends the dispatcher, and with it every other
// client's requests.
package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"

	"cresspass/review/lab2"
)

const (
	clients  = 4
	interval = 50 * time.Millisecond // between the lookups of a client
	work     = 20 * time.Millisecond // of a lookup
	length   = 5 * time.Second
	spoilAt  = 2 * time.Second
	rows     = 5 // of an answer
	// A lookup has a final answer by its deadline and the grace of the settings (7.5 s, 250 ms).
	answerWithin = 7750 * time.Millisecond
)

const flightSettings = `
flight {
  listen = "%s"
}
`

// spoiltMark marks the statement whose answer is spoilt.
const spoiltMark = "id='spoilt'"

func main() {
	l := lab2.New("review/8")
	var roster []string
	for range 2 {
		engine := &lab2.PGEngine{Columns: []string{"id", "version"},
			Execute: func(text string) ([][][]byte, string) { return answer(l, text) }}
		roster = append(roster, engine.Listen(l))
	}
	addr, flightAddr := l.FreeAddr(), l.FreeAddr()
	settings := fmt.Sprintf(lab2.ServeSettings, addr, l.StartRoster(roster...)) +
		fmt.Sprintf(flightSettings, flightAddr)
	dispatcher := l.StartServe("dispatcher", l.WriteFile("serve.hcl", settings))
	var all sync.WaitGroup
	begun := time.Now()
	for i := range clients {
		all.Go(func() { usual(l, flightAddr, i, begun) })
	}
	time.Sleep(spoilAt)
	c, err := lab2.DialFlight(flightAddr)
	l.Check(err)
	l.Note("another client asks for the answer that the engine spoils")
	n, err := query(c, spoiltMark)
	l.Note("the other client received %d rows, %v", n, err)
	all.Wait()
	select {
	case <-dispatcher.Ended():
		l.Break("the dispatcher's process ended: %v", dispatcher.Err())
	default:
		l.Note("the dispatcher still runs")
	}
	l.Finish()
}

// query asks for a lookup and reads its rows.
func query(c *flightsql.Client, mark string) (rows int64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerWithin)
	defer cancel()
	info, err := c.Execute(ctx, "select id, version from repo_7.files /*class='lookup',"+mark+"*/")
	if err != nil {
		return 0, err
	}
	return lab2.Fetch(ctx, c, info.Endpoint[0].Ticket)
}

// usual asks for lookups, one after another, and checks that each has a final answer: its rows, or a status
// with the dispatcher's ErrorInfo. An error without one comes from a connection that ended.
func usual(l *lab2.Lab, addr string, client int, begun time.Time) {
	c, err := lab2.DialFlight(addr)
	l.Check(err)
	defer c.Close()
	served, refused := 0, 0
	for n := 0; time.Since(begun) < length; n++ {
		got, err := query(c, fmt.Sprintf("id='c%d-%d'", client, n))
		reason, _ := lab2.ErrorInfo(err)
		switch {
		case err == nil && got == rows:
			served++
		case err == nil:
			l.Fail("request %d of client %d has %d rows", n, client, got)
		case reason == "":
			l.Break("request %d of client %d got no final answer: %v", n, client, err)
			return
		default:
			refused++
			l.Note("request %d of client %d: %v", n, client, err)
		}
		time.Sleep(interval)
	}
	l.Note("client %d: %d requests served, %d answered with an error", client, served, refused)
}

// answer is the engine's answer to a statement: rows of two integers. With the disruption, one value of one
// answer has a length that doesn't fit its column.
func answer(l *lab2.Lab, text string) (out [][][]byte, tag string) {
	time.Sleep(work)
	for i := range rows {
		out = append(out, [][]byte{{0, 0, 0, byte(i)}, {0, 0, 0, 1}})
	}
	if strings.Contains(text, spoiltMark) && l.Trouble {
		out[rows-1][1] = []byte{0, 0, 1}
		l.Note("engine: the second value of the last row is sent with 3 bytes in place of 4")
	}
	return out, fmt.Sprintf("SELECT %d", rows)
}
