//go:build review

// Case 10: a connection is reset under a query that runs, at a compute node that is at its allowance of
// connections; the query is sent to another compute node while it still runs at the first.
package main

import (
	"net/http"
	"sync"
	"time"

	"cresspass/review/lab2"
)

const settings = `{"classes":[{"name":"index-load","aim-us":5000000,"deadline-us":9000000,"importance":1.0,
"semantics":"keyed","key-scope":"all","window-us":15000000}],"shapes":["k"],"specifics":{"class-threads":[1],
"cpu-of-kind":[8],"kind-memory-mb":[16384.0],"writes-tables":[true]},"limits":{"cancel":true,"may-probe":true,
"may-duplicate":false,"max-attempts":4,"retry-after":true,"max-retry-after-us":2000000,
"connect-timeout-us":250000,"conn-idle-us":15000000},"rules":{"grace-to-answer-us":5000,
"stop-sending-within-us":2000000,"settle-after-doubt-us":500000},"peers-total":1,"ordinal":0,"tick-us":1000,
"tenants":[],"zone":"z","membership-mode":"push"}`

const (
	id     = "00000000000000a1"
	unique = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	runs   = 3 * time.Second
	limit  = 8 * time.Second
	// refusedFor is how long the compute node stays at its allowance of connections.
	refusedFor = 1500 * time.Millisecond
)

func main() {
	l := lab2.New("review/10")
	var nodes []*lab2.Node
	takes := func(string) time.Duration { return runs }
	onQuery := func(n *lab2.Node, q *lab2.Query) {
		for _, other := range nodes {
			if other != n && other.Out(q.ID) {
				l.Break("%s came to %s while an attempt at %s was out", q.ID, n.Name, other.Name)
			}
		}
	}
	var first sync.Once
	onCall := func(n *lab2.Node, w http.ResponseWriter, r *http.Request, of string) (answered bool) {
		if of != id || r.Method != http.MethodGet {
			return false
		}
		first.Do(func() {
			n.RefuseFor(refusedFor)
			if l.Trouble {
				l.Note("%s resets the connection under %s; the query runs on", n.Name, r.URL.Path)
				n.Reset(w)
				answered = true
			}
		})
		return answered
	}
	nodes = append(nodes, l.NewNode("s-1", takes, onQuery, onCall), l.NewNode("s-2", takes, onQuery, onCall))
	board := l.NewBoard(nodes[0].Endpoint("up"), nodes[1].Endpoint("up"))
	_, addr := l.StartNode(board, 128, 512, settings)
	c, err := lab2.DialNode(addr)
	l.Check(err)
	l.Note("the client sends %s", id)
	_, err = c.Send(lab2.Request{ID: id, Class: "index-load", Limit: limit, Cost: runs,
		Body: "insert into sales_3.t values (1)", More: map[string]string{"unique": unique}})
	l.Check(err)
	c.Conn.SetReadDeadline(time.Now().Add(limit + time.Second))
	got := c.Read()
	l.Note("the client received %s %q", got.Kind, got.Text)
	l.Finish()
}
