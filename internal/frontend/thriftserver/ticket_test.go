package thriftserver

import (
	"testing"

	"cresspass"
)

// TestPastTickets checks that past tickets are limited in number, that the last ones are remembered, and that
// any number of idempotent queries leaves those of other queries remembered.
func TestPastTickets(t *testing.T) {
	const exclusive, queries = ticketID(1), 10 * maxPastTickets
	h := newTicketHistory()
	h.begin(exclusive)
	h.end(exclusive, cresspass.NotIdempotent, true)
	for id := exclusive + 1; id <= queries; id++ {
		h.begin(id)
		if !h.used(id) {
			t.Fatalf("ticket %d is not used while it is in flight", id)
		}
		h.end(id, cresspass.Idempotent, true)
		oldest := exclusive
		if id > maxPastTickets/2 {
			oldest = id - maxPastTickets/2 + 1
		}
		if !h.used(oldest) {
			t.Fatalf("ticket %d is forgotten after ticket %d", oldest, id)
		}
		if n := len(h.idempotent.current) + len(h.idempotent.previous); n > maxPastTickets {
			t.Fatalf("%d tickets are remembered, want at most %d", n, maxPastTickets)
		}
	}
	if !h.used(exclusive) {
		t.Error("the ticket of a query that is not idempotent is forgotten")
	}
	if h.used(queries+1) || len(h.inFlight) != 0 {
		t.Errorf("a ticket that was never sent is used, or one of %d is in flight", len(h.inFlight))
	}
}

// TestTicketInFlight checks that a ticket stays used until all its attempts are over, and after that only if
// one of them may have run.
func TestTicketInFlight(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		r := New(&cfg)
		r.AddConn(startOfTest, 1)
		frame := dispatchFrame(1, "txn", "00000000000000aB", "verb", "quick", "limit", "100")
		again := dispatchFrame(2, "txn", "00000000000000Ab", "verb", "quick", "limit", "100")
		request := r.HandleMessage(startOfTest, 1, r.Decode(frame)).Accepted
		if request == nil || !r.BeginAttempt(request) || !r.BeginAttempt(request) {
			t.Fatal("the attempts of an open request may not begin")
		}
		r.RemoveConn(1)
		if r.BeginAttempt(request) {
			t.Error("an attempt begins for a request that has ended")
		}
		r.AddConn(startOfTest, 2)
		accepted := func() bool { return r.HandleMessage(startOfTest, 2, r.Decode(again)).Accepted != nil }
		r.EndAttempt(request, false)
		if accepted() {
			t.Error("the ticket is accepted while an attempt is in flight")
		}
		r.EndAttempt(request, mayHaveRun)
		if accepted() == mayHaveRun {
			t.Errorf("an attempt may have run: %v; the ticket is accepted: %v", mayHaveRun, !mayHaveRun)
		}
	}
}
