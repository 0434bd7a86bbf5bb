package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// observedCall is a call of a dispatcher to a compute node about a query: its start, a poll or a cancel.
type observedCall struct {
	call
	node, connection int
}

// String is the call as traces print it.
func (c observedCall) String() string {
	return fmt.Sprintf("%s %s to node %d on connection %d", c.method, c.page, c.node, c.connection)
}

// traceEvent is something that happened to a request.
type traceEvent struct {
	at   time.Time
	text string
}

// trace returns all that was seen of a request, one event a line, by time.
func (o *oracle) trace(ticket string) (lines []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[ticket]
	if r == nil {
		return nil
	}
	lines = append(lines, fmt.Sprintf("request %s of class %s, key %q, at dispatcher %d life %d: sent %s, "+
		"limit %v, client gone %s, connection ended %s %s, excused %q",
		r.ticket, r.class, r.orderingKey, r.dispatcher, r.incarnation, o.sinceStart(r.sentAt), r.limit,
		o.sinceStart(r.clientGoneAt), o.sinceStart(r.connectionEndedAt), r.connectionEndedBy, r.excused))
	lines = append(lines, "the run began at "+o.startedAt.UTC().Format("15:04:05.000"))
	events := append(r.events(), o.machineLags.during(r)...)
	slices.SortStableFunc(events, func(a, b traceEvent) int { return a.at.Compare(b.at) })
	for _, event := range events {
		lines = append(lines, "  "+o.sinceStart(event.at)+" "+event.text)
	}
	return lines
}

// events returns what was seen of a request at the sockets and at the compute nodes.
func (r *observedRequest) events() (events []traceEvent) {
	add := func(at time.Time, format string, args ...any) {
		if !at.IsZero() {
			events = append(events, traceEvent{at, fmt.Sprintf(format, args...)})
		}
	}
	add(r.sentAt, "sent by its client")
	add(r.clientGoneAt, "its client is gone")
	add(r.connectionEndedAt, "its connection ended: %s", r.connectionEndedBy)
	for _, c := range r.calls {
		add(c.firstByteAt, "%v", c)
	}
	for _, post := range r.posts {
		add(post.firstByteAt, "started at node %d (%s), told %v", post.node, post.generation, post.limit)
	}
	for _, attempt := range r.intervals {
		add(attempt.start, "runs at node %d", attempt.node)
		add(attempt.end, "ended at node %d", attempt.node)
	}
	for _, a := range r.answers {
		add(a.at, "%s", a.kind)
	}
	return events
}

// lastSeen is the time of the last event of a request.
func (r *observedRequest) lastSeen() (last time.Time) {
	for _, event := range r.events() {
		if event.at.After(last) {
			last = event.at
		}
	}
	return last
}

// rowOwners says of each row of an answer to which request it belongs. Rows begin with a ticket.
func (o *oracle) rowOwners(body string) string {
	var owners []string
	for row := range strings.Lines(body) {
		ticket, _, _ := strings.Cut(row, "\t")
		owner := ticket + " (no request)"
		if r := o.requests[ticket]; r != nil {
			owner = fmt.Sprintf("%s (class %s, dispatcher %d life %d)", ticket, r.class, r.dispatcher,
				r.incarnation)
		}
		owners = append(owners, owner)
	}
	return strings.Join(owners, ", ")
}

// sinceStart prints a time as the seconds since the start of the run.
func (o *oracle) sinceStart(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3fs", t.Sub(o.startedAt).Seconds())
}
