package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// String returns the call as traces print it.
func (c observedCall) String() string {
	what := strings.TrimSpace(c.method + " " + c.page)
	return fmt.Sprintf("%s to node %d on connection %d", what, c.node, c.connection)
}

// traceEvent is one line of a trace, with its time.
type traceEvent struct {
	at   time.Time
	text string
}

// trace returns a line that describes a request, followed by one line for each event and machine lag, in
// order of time. It returns nil for an unknown ticket.
func (o *oracle) trace(ticket string) (lines []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[ticket]
	if r == nil {
		return nil
	}
	lines = append(lines, fmt.Sprintf("request %s of class %s, key %q, at dispatcher %d life %d: limit %v, "+
		"excused %q; the run began at %s", r.ticket, r.class, r.orderingKey, r.dispatcher, r.incarnation,
		r.limit, r.excused, o.startedAt.UTC().Format("15:04:05.000")))
	byTime := func(a, b traceEvent) int { return a.at.Compare(b.at) }
	events := r.events()
	if len(events) > 0 {
		first, last := slices.MinFunc(events, byTime), slices.MaxFunc(events, byTime)
		events = append(events, o.machineLags.between(first.at, last.at)...)
	}
	slices.SortStableFunc(events, byTime)
	for _, event := range events {
		lines = append(lines, "  "+o.sinceStart(event.at)+" "+event.text)
	}
	return lines
}

// events returns the observations of a request on the links, at its client and at the compute nodes.
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
		add(post.firstByteAt, "%v (%s), told %v, last byte %v later", post, post.generation, post.limit,
			post.lastByteAt.Sub(post.firstByteAt))
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

// rowOwners describes for each row of an answer the request that it belongs to. Rows begin with a ticket. The
// caller holds mu.
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

// sinceStart formats a time as the seconds since the start of the run, or "never" for the zero time.
func (o *oracle) sinceStart(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3fs", t.Sub(o.startedAt).Seconds())
}
