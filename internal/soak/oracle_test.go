package soak

import (
	"strings"
	"testing"
	"time"
)

// testOracle adds shorthands for observations to an oracle. Their times are in milliseconds since its start.
type testOracle struct{ *oracle }

func (o testOracle) at(ms int) time.Time {
	return o.startedAt.Add(time.Duration(ms) * time.Millisecond)
}

// post records that a dispatcher started a query at a compute node, as a tap sees it.
func (o testOracle) post(ticket string, ms int) {
	p := postedQuery{generation: "n0-0", incarnation: 1}
	p.method = "POST"
	p.firstByteAt, p.lastByteAt, p.limit = o.at(ms), o.at(ms), 100*time.Millisecond
	o.updateRequest(ticket, func(r *observedRequest) {
		p.class = r.class
		r.posts = append(r.posts, p)
	})
}

// attempt records that an attempt ran at a compute node.
func (o testOracle) attempt(ticket string, node, start, end int) {
	o.updateRequest(ticket, func(r *observedRequest) {
		r.intervals = append(r.intervals, interval{node, o.at(start), o.at(end)})
	})
}

// serve records an answer to the request "a" and a compute node's result with the same body.
func (o testOracle) serve(ms int) {
	o.updateRequest("a", func(r *observedRequest) {
		r.answers = append(r.answers, receivedAnswer{answerServed, "r", o.at(ms)})
	})
	o.recordResult("a", "r")
}

// leave records that the client of a request is gone.
func (o testOracle) leave(ticket string, ms int) {
	o.updateRequest(ticket, func(r *observedRequest) { r.clientGoneAt = o.at(ms) })
}

// TestOracle checks that each violation is found as a violation of its invariant and of no other.
func TestOracle(t *testing.T) {
	for name, c := range map[string]struct {
		class   string
		observe func(o testOracle)
		want    string // invariants of the findings, separated by spaces
	}{
		"kept": {"once", func(o testOracle) {
			o.post("a", 1)
			o.attempt("a", 0, 1, 50)
			o.serve(51)
		}, ""},
		"lost": {"quick", func(o testOracle) {}, "lost"},
		"late": {"quick", func(o testOracle) { o.serve(3000) }, "late"},
		"two answers": {"quick", func(o testOracle) {
			o.serve(10)
			o.serve(20)
		}, "second_answer"},
		"another result": {"quick", func(o testOracle) {
			o.serve(10)
			o.updateRequest("a", func(r *observedRequest) { r.results = []string{"s"} })
		}, "served_other"},
		"after its client": {"quick", func(o testOracle) { o.leave("a", 100); o.post("a", 400) },
			"sent_after_gone"},
		"after its answer": {"quick", func(o testOracle) { o.serve(100); o.post("a", 400) },
			"sent_after_answer"},
		"deadline": {"quick", func(o testOracle) {
			o.post("a", 10)
			o.updateRequest("a", func(r *observedRequest) { r.posts[0].limit = 5 * time.Second })
			o.serve(100)
		}, "told_deadline"},
		"drained": {"quick", func(o testOracle) {
			o.recordDrain(0, 1, "n0-0", o.at(-5000))
			o.post("a", 10)
			o.serve(100)
		}, "sent_to_drained"},
		"unsafe again": {"once", func(o testOracle) {
			o.attempt("a", 0, 1, 50)
			o.attempt("a", 1, 60, 90)
			o.serve(91)
		}, "repeated_unsafe"},
		"two out": {"turn", func(o testOracle) {
			o.attempt("a", 0, 1, 50)
			o.attempt("a", 1, 40, 90)
			o.serve(91)
		}, "repeated_beside"},
		"after its window": {"load", func(o testOracle) {
			o.attempt("a", 0, 1, 50)
			o.attempt("a", 1, 3500, 3600)
			o.leave("a", 3700)
		}, "repeated_late"},
		"out of order": {"turn", func(o testOracle) {
			o.attempt("a", 0, 1, 50)
			o.serve(60)
			o.updateRequest("b", func(r *observedRequest) {
				r.class, r.orderingKey, r.incarnation, r.limit = "turn", "k", 1, time.Second
				r.sentAt, r.clientGoneAt = o.at(0), o.at(90)
			})
			o.attempt("b", 1, 40, 80)
		}, "out_of_order"},
		"over budget": {"quick", func(o testOracle) {
			for i := range 4 {
				o.post("a", 10*i)
			}
			o.serve(100)
		}, "over_budget"},
		"cold": {"quick", func(o testOracle) {
			o.slowStarts["n0-0"] = o.at(0)
			for i := range 400 {
				ticket := string(rune('b' + i))
				o.updateRequest(ticket, func(r *observedRequest) {
					r.class, r.incarnation, r.limit = "load", 1, time.Second
					r.sentAt, r.clientGoneAt = o.at(0), o.at(900)
				})
				o.post(ticket, 1+i)
			}
			o.serve(100)
		}, "cold_overload"},
	} {
		o := testOracle{newOracle(true)}
		o.updateRequest("a", func(r *observedRequest) {
			r.class, r.orderingKey, r.incarnation = c.class, "k", 1
			r.sentAt, r.limit = o.startedAt, time.Second
		})
		c.observe(o)
		var found []string
		for _, f := range o.judge() {
			if len(found) == 0 || found[len(found)-1] != string(f.Invariant) {
				found = append(found, string(f.Invariant))
			}
		}
		if got := strings.Join(found, " "); got != c.want {
			t.Errorf("%s: found %q, want %q", name, got, c.want)
		}
	}
}
