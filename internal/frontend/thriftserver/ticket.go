package thriftserver

import (
	"strconv"

	"cresspass"
)

// ticketID is a ticket as a number: its hex digits in either case name the same query.
type ticketID uint64

// parseTicket returns the number of a ticket whose format has been checked.
func parseTicket(ticket string) ticketID {
	id, _ := strconv.ParseUint(ticket, 16, 64)
	return ticketID(id)
}

// maxPastTickets is how many tickets of each kind are remembered when their queries are over, in two
// generations. Each takes some 20 bytes.
const maxPastTickets = 8 << 10

// ticketHistory remembers which tickets were sent to compute nodes. A compute node knows a query only by its
// ticket: a second query of that ticket could run the first one again, get its result, or be ended by its
// cancel.
type ticketHistory struct {
	inFlight map[ticketID]int // number of attempts that were sent and are not over
	// Tickets of queries that are over, apart by effect: however many idempotent queries there are, those
	// whose effect must not happen twice are remembered.
	idempotent, exclusive pastTickets
}

func newTicketHistory() ticketHistory { return ticketHistory{inFlight: map[ticketID]int{}} }

// used reports whether an attempt of a ticket was sent that is not over, or that may have run.
func (h *ticketHistory) used(id ticketID) bool {
	return h.inFlight[id] > 0 || h.idempotent.has(id) || h.exclusive.has(id)
}

// begin records that an attempt is sent.
func (h *ticketHistory) begin(id ticketID) { h.inFlight[id]++ }

// end records that an attempt is over. mayHaveRun means that its query may have run.
func (h *ticketHistory) end(id ticketID, effect cresspass.Effect, mayHaveRun bool) {
	if h.inFlight[id]--; h.inFlight[id] <= 0 {
		delete(h.inFlight, id)
	}
	switch {
	case !mayHaveRun:
	case effect == cresspass.Idempotent:
		h.idempotent.add(id)
	default:
		h.exclusive.add(id)
	}
}

// pastTickets holds the last tickets of queries that are over: at least maxPastTickets/2 and at most
// maxPastTickets.
type pastTickets struct{ current, previous map[ticketID]struct{} }

func (p *pastTickets) has(id ticketID) bool {
	_, current := p.current[id]
	_, previous := p.previous[id]
	return current || previous
}

func (p *pastTickets) add(id ticketID) {
	if p.current == nil || len(p.current) >= maxPastTickets/2 {
		p.previous, p.current = p.current, map[ticketID]struct{}{}
	}
	p.current[id] = struct{}{}
}
