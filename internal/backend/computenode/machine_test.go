package computenode

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cresspass"
	"cresspass/internal/protocol/nodehttp"
)

const ms = time.Millisecond

// fakeNode is a compute node behind a network that loses and corrupts messages, with a simulated clock.
type fakeNode struct {
	t         *rapid.T
	now       time.Duration
	posts     int
	running   bool // the query runs on the compute node
	ended     bool // the query succeeded; its result is stored
	failed    bool // the query fails instead of succeeding
	dead      bool
	reset     bool // the network has reset a connection
	draining  bool // open connections are served, new ones are refused
	connOpen  bool // the last call left an open connection
	pollsLeft int  // polls until the query ends
	pages     int
	lastPoll  time.Duration
	shed      bool // the compute node rejects the query
	faults    int  // calls for which a fault is still drawn
}

func pageRows(n int) []byte { return []byte(fmt.Sprintf("r%d\tx\ty\n", n)) }

func (node *fakeNode) headers(pairs ...string) map[string]string {
	h := map[string]string{}
	for i := 0; i < len(pairs); i += 2 {
		h[pairs[i]] = pairs[i+1]
	}
	return h
}

// handle performs a complete request on the compute node and returns its response.
func (node *fakeNode) handle(s Step) *nodehttp.Response {
	if node.running && node.now-node.lastPoll > abandonAfter {
		node.running = false // dropped, because it was not polled
	}
	node.lastPoll = node.now
	switch {
	case s.Type == Start:
		node.posts++
		if node.shed {
			return &nodehttp.Response{Status: 503, Header: node.headers("x-shed", "1")}
		}
		node.running = true
	case s.Type == Delete:
		node.running, node.ended = false, false
		return &nodehttp.Response{Status: 204}
	case !node.running && !node.ended:
		return &nodehttp.Response{Status: 500}
	}
	if node.running {
		if node.pollsLeft--; node.pollsLeft > 0 {
			node.now += longPollTimeout
			return &nodehttp.Response{Status: 202, Header: node.headers("x-remark", "frac", "figure", "0.5")}
		}
		node.running = false
		if node.failed {
			return &nodehttp.Response{Status: 500}
		}
		node.ended = true
	}
	if s.Page >= node.pages {
		return &nodehttp.Response{Status: 500}
	}
	if s.Type == Start || s.Page == 0 {
		h := node.headers("page-count", strconv.Itoa(node.pages))
		return &nodehttp.Response{Status: 200, Header: h, Body: pageRows(0)}
	}
	return &nodehttp.Response{
		Status: 200,
		Header: node.headers("page-no", strconv.Itoa(s.Page)),
		Body:   pageRows(s.Page),
	}
}

// perform carries out a step, with a randomly drawn fault, and returns the resulting event.
func (node *fakeNode) perform(s Step) Event {
	node.now += s.Delay + ms
	fault := "none"
	if node.faults > 0 {
		fault = rapid.SampledFrom([]string{"none", "none", "request lost", "response lost", "malformed",
			"unreachable", "no descriptor", "dies", "drains", "reset", "other page"}).Draw(node.t, "fault")
		node.faults--
	}
	reused := node.connOpen && !s.FreshConn
	node.connOpen = false
	switch fault {
	case "dies":
		wasDead := node.dead
		node.dead, node.running, node.ended = true, false, false
		if reused && !wasDead {
			return Event{Type: ResponseLost, Reset: true}
		}
	case "drains":
		node.draining = true
	}
	switch {
	case node.draining && !node.dead && !reused && node.reset:
		// After a reset, a ConnRefused would count as the node's death. The caller knows that the node
		// drains, and reports Unreachable instead.
		return Event{Type: Unreachable}
	case node.dead || node.draining && !reused:
		return Event{Type: ConnRefused}
	case fault == "unreachable":
		node.now += maxTransitTimeout
		return Event{Type: Unreachable}
	case fault == "no descriptor":
		return Event{Type: NoDescriptor}
	case fault == "request lost":
		node.now += s.Timeout
		return Event{Type: ResponseLost}
	}
	resp := node.handle(s)
	node.connOpen = fault == "none"
	switch fault {
	case "reset":
		node.reset = true
		return Event{Type: ResponseLost, Reset: true}
	case "response lost":
		node.now += s.Timeout
		return Event{Type: ResponseLost}
	case "malformed":
		return Event{
			Type: ResponseReceived,
			Response: &nodehttp.Response{Status: 200, Header: node.headers("page-count", "1"),
				Body: []byte("no row")},
		}
	case "other page":
		return Event{
			Type: ResponseReceived,
			Response: &nodehttp.Response{Status: 200, Header: node.headers("page-no", "77"),
				Body: pageRows(77)},
		}
	}
	return Event{Type: ResponseReceived, Response: resp}
}

// TestAttempt checks that an attempt whose calls meet random faults posts once, ends within 200 calls, does
// not leave its query running, reports that the query never ran only if it did not, and returns exactly the
// query's pages, in order.
func TestAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := &fakeNode{t: t, now: time.Hour, pollsLeft: rapid.IntRange(1, 6).Draw(t, "polls"),
			pages: rapid.IntRange(1, 9).Draw(t, "pages"), failed: rapid.IntRange(0, 5).Draw(t, "failed") == 0,
			shed:   rapid.IntRange(0, 5).Draw(t, "shed") == 0,
			faults: rapid.IntRange(0, 30).Draw(t, "faults")}
		stopAt := rapid.IntRange(-20, 12).Draw(t, "stop")
		m := &Machine{}
		s := m.Next(node.now, Event{Type: Begin})
		for n := 0; s.Type != End; n++ {
			if n > 200 {
				t.Fatal("the attempt has not ended after 200 calls")
			}
			if s.Type == Start && n > 0 {
				t.Fatal("the query was posted twice")
			}
			ev := node.perform(s)
			if n != stopAt || ev.Type == ResponseReceived || ev.Type == ResponseLost {
				s = m.Next(node.now, ev)
			}
			if n == stopAt && s.Type != End {
				s = m.Next(node.now, Event{Type: Stop, Outcome: cresspass.OutcomeCancelled})
			}
		}
		if node.running && node.now-node.lastPoll <= abandonAfter {
			t.Fatalf("the attempt ended with outcome %d while its query still runs", s.Outcome)
		}
		if s.Outcome.NeverRan() && node.posts > 0 && !node.shed {
			t.Fatalf("outcome %d means that the query never ran, but it reached the compute node", s.Outcome)
		}
		if s.Outcome == cresspass.OutcomeOK {
			if len(s.Pages) != node.pages {
				t.Fatalf("got %d pages, want %d", len(s.Pages), node.pages)
			}
			for i, p := range s.Pages {
				if string(p) != string(pageRows(i)) {
					t.Fatalf("page %d: got %q", i, p)
				}
			}
		}
		if stopAt < 0 && node.faults >= 0 && node.posts == 1 && !node.dead && !node.shed && !node.failed &&
			s.Outcome == cresspass.OutcomeFailed {
			t.Fatal("the attempt failed, but its query did not")
		}
	})
}

// TestConnRefusedIsNoProofOfDeath checks that a refused connection ends an attempt at once only after a
// reset, and only if Start was answered or was itself the call that was reset. Otherwise the attempt stays in
// flight until the compute node has dropped the query for lack of polls.
func TestConnRefusedIsNoProofOfDeath(t *testing.T) {
	running := Event{Type: ResponseReceived, Response: &nodehttp.Response{Status: 202}}
	lost, reset := Event{Type: ResponseLost}, Event{Type: ResponseLost, Reset: true}
	refused := Event{Type: ConnRefused}
	stop := Event{Type: Stop, Outcome: cresspass.OutcomeCancelled}
	for name, c := range map[string]struct {
		events []Event
		atOnce bool
	}{
		"node dies":                             {[]Event{running, reset}, true},
		"node dies during start":                {[]Event{reset}, true},
		"node dies during cancel":               {[]Event{running, reset, stop}, true},
		"node drains":                           {[]Event{running, lost}, false},
		"cancelled while node drains":           {[]Event{running, lost, stop}, false},
		"start lost, then node dies":            {[]Event{lost, running, reset}, false},
		"start reset, answered, node dies":      {[]Event{reset, running, reset}, false},
		"start lost, cancelled, then node dies": {[]Event{lost, running, reset, stop}, false},
	} {
		m, now := &Machine{}, time.Hour
		m.Next(now, Event{Type: Begin})
		for _, ev := range c.events {
			now += 10 * ms
			m.Next(now, ev)
		}
		refusedAt, s := now, m.Next(now, refused)
		for n := 0; s.Type != End && n < 200; n++ {
			if s.FreshConn {
				t.Errorf("%s: a new connection is required after a refusal, want any open one", name)
			}
			now += s.Delay + ms
			s = m.Next(now, refused)
		}
		if took := now - refusedAt; s.Type != End || c.atOnce != (took == 0) ||
			!c.atOnce && took <= abandonAfter || took > 2*abandonAfter {
			t.Errorf("%s: ended %v after %v, want an end at once: %v", name, s.Type == End, took, c.atOnce)
		}
	}
}

// TestQuickPollsArePaced checks that a compute node that always answers at once that the query runs is not
// polled without a pause.
func TestQuickPollsArePaced(t *testing.T) {
	m, now := &Machine{}, time.Hour
	s := m.Next(now, Event{Type: Begin})
	for range 100 {
		now += s.Delay + ms/10
		s = m.Next(now, Event{Type: ResponseReceived, Response: &nodehttp.Response{Status: 202}})
	}
	if now-time.Hour < 90*minPollInterval {
		t.Errorf("100 polls took %v, want at least 90 times minPollInterval", now-time.Hour)
	}
}

// TestDeleteOvertakesStart checks that an exclusive attempt whose Start was not answered ends only after a
// Delete that was sent when the Start can no longer be in transit. Before that time, the Start may arrive
// after a Delete on another connection was answered.
func TestDeleteOvertakesStart(t *testing.T) {
	deleted := Event{Type: ResponseReceived, Response: &nodehttp.Response{Status: 204}}
	stop := Event{Type: Stop, Outcome: cresspass.OutcomeCancelled}
	for name, c := range map[string]struct {
		first     Event
		exclusive bool
		waits     bool
	}{
		"start lost":  {Event{Type: ResponseLost}, true, true},
		"start reset": {Event{Type: ResponseLost, Reset: true}, true, true},
		"start answered": {Event{Type: ResponseReceived, Response: &nodehttp.Response{Status: 202}}, true,
			false},
		"not exclusive": {Event{Type: ResponseLost}, false, false},
	} {
		m, now := &Machine{Exclusive: c.exclusive}, time.Hour
		m.Next(now, Event{Type: Begin})
		now += 50 * ms
		m.Next(now, c.first)
		stoppedAt := now
		s := m.Next(now, stop)
		deletes := 0
		for ; s.Type == Delete && deletes < 10; deletes++ {
			now += s.Delay + ms
			s = m.Next(now, deleted)
		}
		if took := now - stoppedAt; s.Type != End || s.Outcome != cresspass.OutcomeCancelled ||
			c.waits != (took >= maxTransitTimeout) ||
			took > abandonAfter {
			t.Errorf("%s: ended %v after %v and %d deletes", name, s.Type == End, took, deletes)
		}
	}
}

// TestDeleteConfirmedByItsOwnResponse checks that a status that is no answer to a Delete, such as that of a
// duplicate of an earlier response, does not count as a confirmation that the query was cancelled.
func TestDeleteConfirmedByItsOwnResponse(t *testing.T) {
	for status, over := range map[int]bool{200: false, 202: false, 204: true, 500: true, 503: false} {
		m := Machine{Exclusive: true}
		m.Next(0, Event{Type: Begin})
		m.Next(ms, Event{Type: ResponseReceived, Response: &nodehttp.Response{Status: 202}})
		step := m.Next(2*ms, Event{Type: Stop, Outcome: cresspass.OutcomeCancelled})
		if step.Type != Delete {
			t.Fatalf("step after Stop: %+v, want a Delete", step)
		}
		step = m.Next(3*ms, Event{Type: ResponseReceived, Response: &nodehttp.Response{Status: status}})
		if got := step.Type == End; got != over {
			t.Errorf("after status %d: attempt ended: %v, want %v", status, got, over)
		}
	}
}

// TestPollOvertakesStart guards against an ordered query that runs concurrently with its own next attempt. A
// poll on a new connection reached the compute node before the Start did, and the answer "no such query"
// counted as the end of the attempt.
func TestPollOvertakesStart(t *testing.T) {
	unknown := Event{Type: ResponseReceived, Response: &nodehttp.Response{Status: 500}}
	lost := Event{Type: ResponseLost}
	invalid := Event{Type: ResponseReceived, Response: &nodehttp.Response{Status: 204}}
	begin := func(exclusive bool, toStart Event) (m *Machine, now time.Duration) {
		m = &Machine{Exclusive: exclusive}
		m.Next(0, Event{Type: Begin})
		if step := m.Next(ms, toStart); step.Type != Poll {
			t.Fatalf("after the response to Start: %+v, want a Poll", step)
		}
		return m, 2 * ms
	}
	for name, toStart := range map[string]Event{"lost": lost, "duplicate of another": invalid} {
		m, now := begin(true, toStart)
		for now < ms+maxTransitTimeout {
			step := m.Next(now, unknown)
			if step.Type != Poll {
				t.Fatalf("%s, query unknown after %v: %+v, want a Poll", name, now, step)
			}
			now += step.Delay + ms
		}
		if step := m.Next(now, unknown); step.Type != End || step.Outcome != cresspass.OutcomeTimedOut {
			t.Errorf("%s, query unknown after %v: %+v, want an End with OutcomeTimedOut", name, now, step)
		}
	}
	m, now := begin(true, lost)
	m.Next(now, unknown)
	m.Next(now+ms, Event{Type: ResponseReceived, Response: &nodehttp.Response{Status: 202}})
	if step := m.Next(now+2*ms, unknown); step.Type != End {
		t.Errorf("query unknown after it was confirmed: %+v, want an End", step)
	}
	m, now = begin(false, lost)
	if step := m.Next(now, unknown); step.Type != End || step.Outcome != cresspass.OutcomeTimedOut {
		t.Errorf("non-exclusive query unknown: %+v, want an End with OutcomeTimedOut", step)
	}
}

// TestNodeReplacedEndsAttempt checks that an attempt ends at once if another compute node has the address:
// with the outcome of its stop, or else as timed out, and as not started if nothing was written.
func TestNodeReplacedEndsAttempt(t *testing.T) {
	running := Event{Type: ResponseReceived, Response: &nodehttp.Response{Status: 202}}
	for name, c := range map[string]struct {
		events  []Event
		outcome cresspass.Outcome
	}{
		"before the start": {nil, cresspass.OutcomeConnectFailed},
		"while it runs":    {[]Event{running, {Type: ResponseLost}}, cresspass.OutcomeTimedOut},
		"while cancelled": {[]Event{running, {Type: Stop, Outcome: cresspass.OutcomeCancelled}},
			cresspass.OutcomeCancelled},
	} {
		m, now := &Machine{}, time.Hour
		m.Next(now, Event{Type: Begin})
		for _, ev := range c.events {
			now += 10 * ms
			m.Next(now, ev)
		}
		if s := m.Next(now, Event{Type: NodeReplaced}); s.Type != End || s.Outcome != c.outcome {
			t.Errorf("%s: step %d with outcome %d, want the end with %d", name, s.Type, s.Outcome, c.outcome)
		}
	}
}
