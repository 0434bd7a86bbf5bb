package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestPlanIsDeterministic: a seed gives the same plan each time, and most troubles overlap another one.
func TestPlanIsDeterministic(t *testing.T) {
	o := Options{Seed: 7, Duration: time.Minute, Dispatchers: 10, Faults: true}
	p := NewPlan(o)
	if p.String() != NewPlan(o).String() {
		t.Error("the same seed gives another plan")
	}
	if o.Seed++; p.String() == NewPlan(o).String() {
		t.Error("another seed gives the same plan")
	}
	overlap := 0
	for i, a := range p.Faults {
		for _, b := range p.Faults[:i] {
			if a.At < b.At+b.Duration {
				overlap++
				break
			}
		}
	}
	if 2*overlap < len(p.Faults) {
		t.Errorf("%d of %d troubles overlap an earlier one", overlap, len(p.Faults))
	}
}

// TestOracle: each invariant is found broken where it is, and kept where it is kept.
func TestOracle(t *testing.T) {
	type world struct {
		*oracle
		at func(ms int) time.Time
	}
	started := func(w *world, ticket string, ms int) {
		p := postedQuery{call: call{firstByteAt: w.at(ms), lastByteAt: w.at(ms), limit: 100 * time.Millisecond},
			generation: "n0-0", incarnation: 1}
		w.updateRequest(ticket, func(a *observedRequest) {
			p.class = a.class
			a.posts = append(a.posts, p)
		})
	}
	out := func(w *world, ticket string, node, from, to int) {
		w.updateRequest(
			ticket,
			func(a *observedRequest) {
				a.intervals = append(a.intervals, interval{node, w.at(from),
					w.at(to)})
			},
		)
	}
	served := func(w *world, ticket string, ms int) {
		w.updateRequest(
			ticket,
			func(a *observedRequest) { a.answers = append(a.answers, receivedAnswer{answerServed, "r", w.at(ms)}) },
		)
		w.recordResult(ticket, "r")
	}
	gone := func(w *world, ticket string, ms int) {
		w.updateRequest(ticket, func(a *observedRequest) { a.clientGoneAt = w.at(ms) })
	}
	for name, c := range map[string]struct {
		class string
		play  func(w *world)
		want  string // invariants
	}{
		"kept": {"once", func(w *world) { started(w, "a", 1); out(w, "a", 0, 1, 50); served(w, "a", 51) },
			""},
		"lost": {"quick", func(w *world) {}, "lost"},
		"late": {"quick", func(w *world) { served(w, "a", 3000) }, "late"},
		"two answers": {"quick", func(w *world) {
			served(w, "a", 10)
			served(w, "a", 20)
		}, "second_answer"},
		"another result": {"quick", func(w *world) {
			served(w, "a", 10)
			w.updateRequest("a", func(a *observedRequest) { a.results = []string{"s"} })
		}, "served_other"},
		"after its client": {"quick", func(w *world) { gone(w, "a", 100); started(w, "a", 400) },
			"sent_after_gone"},
		"after its answer": {"quick", func(w *world) { served(w, "a", 100); started(w, "a", 400) },
			"sent_after_answer"},
		"deadline": {"quick", func(w *world) {
			started(w, "a", 10)
			w.updateRequest("a", func(a *observedRequest) { a.posts[0].limit = 5 * time.Second })
			served(w, "a", 100)
		}, "told_deadline"},
		"drained": {"quick", func(w *world) {
			w.recordDrain(0, 1, "n0-0", w.at(-5000))
			started(w, "a", 10)
			served(w, "a", 100)
		}, "sent_to_drained"},
		"unsafe again": {"once", func(w *world) {
			out(w, "a", 0, 1, 50)
			out(w, "a", 1, 60, 90)
			served(w, "a", 91)
		}, "repeated_unsafe"},
		"two out": {"turn", func(w *world) {
			out(w, "a", 0, 1, 50)
			out(w, "a", 1, 40, 90)
			served(w, "a", 91)
		}, "repeated_beside"},
		"after its window": {"load", func(w *world) {
			out(w, "a", 0, 1, 50)
			out(w, "a", 1, 3500, 3600)
			gone(w, "a", 3700)
		}, "repeated_late"},
		"out of order": {"turn", func(w *world) {
			out(w, "a", 0, 1, 50)
			served(w, "a", 60)
			w.updateRequest("b", func(b *observedRequest) {
				b.class, b.orderingKey, b.incarnation, b.limit, b.sentAt, b.clientGoneAt = "turn", "k", 1, time.Second,
					w.at(0),
					w.at(90)
			})
			out(w, "b", 1, 40, 80)
		}, "out_of_order"},
		"over budget": {"quick", func(w *world) {
			for i := range 4 {
				started(w, "a", 10*i)
			}
			served(w, "a", 100)
		}, "over_budget"},
		"cold": {"quick", func(w *world) {
			w.slowStarts["n0-0"] = w.at(0)
			for i := range 400 {
				ticket := string(rune('b' + i))
				w.updateRequest(ticket, func(b *observedRequest) {
					b.class, b.incarnation, b.limit, b.sentAt, b.clientGoneAt = "load", 1,
						time.Second, w.at(0), w.at(900)
				})
				started(w, ticket, 1+i)
			}
			served(w, "a", 100)
		}, "cold_overload"},
	} {
		o := newOracle(true)
		w := &world{o,
			func(ms int) time.Time { return o.startedAt.Add(time.Duration(ms) * time.Millisecond) }}
		o.updateRequest("a", func(a *observedRequest) {
			a.class, a.orderingKey, a.incarnation, a.sentAt, a.limit = c.class, "k", 1, o.startedAt, time.Second
		})
		c.play(w)
		var found []string
		for _, f := range o.judge() {
			if len(found) == 0 || found[len(found)-1] != f.Invariant {
				found = append(found, f.Invariant)
			}
		}
		if got := strings.Join(found, " "); got != c.want {
			t.Errorf("%s: found %q, want %q", name, got, c.want)
		}
	}
}

// TestCallParser: calls are cut out of what a dispatcher writes wherever it is split.
func TestCallParser(t *testing.T) {
	text := "POST /x HTTP/1.1\r\nX-Ticket: t1\r\nX-Queue: once\r\nX-Max-Ms: 1500\r\n" +
		"Content-Length: 8\r\n\r\nSELECT 1" +
		"GET /x/t1/0 HTTP/1.1\r\n\r\n" + "DELETE /x/t1 HTTP/1.1\r\n\r\n"
	for cut := range len(text) {
		p, now := &callParser{}, time.Now()
		calls := append(p.feed(now, []byte(text[:cut])), p.feed(now, []byte(text[cut:]))...)
		if len(calls) != 3 || calls[0].ticket != "t1" || calls[0].class != "once" ||
			calls[0].limit != 1500*time.Millisecond || calls[1].page != "0" || calls[2].method != "DELETE" {
			t.Fatalf("cut at %d: %+v", cut, calls)
		}
	}
}

// TestShort plays a short plan through real dispatchers of the build with faults: none breaks a rule, and
// with a guard taken out the rule that it keeps is found broken.
func TestShort(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cresspass")
	build := exec.Command("go", "build", "-tags", "faults", "-o", program, "cresspass/cmd/cresspass")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	const busy = 40 // requests a second for each dispatcher: some of one key come together for certain
	for mutant, want := range map[string]string{"": "", "second-answer": "second_answer",
		"full-deadline": "told_deadline", "no-order": "out_of_order"} {
		t.Run("mutant "+mutant, func(t *testing.T) {
			t.Parallel()
			plan := NewPlan(Options{Seed: 1, Duration: 8 * time.Second, Dispatchers: 3, Faults: true})
			if mutant == "no-order" {
				plan.Rate = busy
			}
			report, err := Run(context.Background(), Config{Plan: plan, Program: program, Dir: t.TempDir(),
				Mutant: mutant})
			if err != nil {
				t.Fatal(err)
			}
			if report.Counts[string(answerServed)] < 50 {
				t.Errorf("only %v", report.Counts)
			}
			found := want == "" && !report.Broken()
			for _, f := range report.Findings {
				found = found || f.Invariant == want
			}
			if !found {
				var b strings.Builder
				report.Write(&b)
				t.Errorf("want %q\n%s", want, b.String())
			}
		})
	}
}
