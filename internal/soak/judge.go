package soak

import (
	"slices"
	"sort"
	"time"
)

// Tolerances of the checks.
const (
	answerSlack     = 500 * time.Millisecond // for answers after the request's deadline
	clientGoneSlack = 100 * time.Millisecond // for starts of queries after the client is gone
	deadlineSlack   = 150 * time.Millisecond // for the time limit that a compute node is given

	// measurementSlack is the time that may pass between an event and its record on a busy machine.
	measurementSlack = 60 * time.Millisecond
)

// judge checks all rules against the recorded observations and returns the findings in order of time. A
// ticket that was seen only at compute nodes, not at a client, is not judged as a request of its own.
func (o *oracle) judge() []Finding {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.requests {
		if r.class != unknownClass {
			o.judgeAnswer(r)
			o.judgePosts(r)
			o.judgeRetries(r)
		}
	}
	o.judgeOrder()
	if o.hasRetryBudget {
		o.judgeRetryBudget()
	}
	o.judgeSlowStart()
	sort.SliceStable(o.findings, func(i, j int) bool { return o.findings[i].At < o.findings[j].At })
	return o.findings
}

// owedAnswer reports whether the dispatcher must have answered a request.
func (r *observedRequest) owedAnswer() bool {
	if !r.clientGoneAt.IsZero() {
		return false
	}
	forwarded := len(r.posts) > 0
	return r.excused == "" || r.excused == excuseCrossedClose && forwarded
}

// judgeAnswer finds requests without an answer, with a late or a second answer, or with a result that no
// compute node made for it.
func (o *oracle) judgeAnswer(r *observedRequest) {
	if len(r.answers) == 0 {
		if r.owedAnswer() {
			o.addFindingLocked(invariantLost, r.ticket, r.sentAt,
				"class %s at dispatcher %d: no answer in %v; connection ended %s %s",
				r.class, r.dispatcher, r.limit, o.sinceStart(r.connectionEndedAt), r.connectionEndedBy)
		}
		return
	}
	if len(r.answers) > 1 {
		o.addFindingLocked(invariantSecondAnswer, r.ticket, r.answers[1].at, "%d answers", len(r.answers))
	}
	first := r.answers[0]
	late := first.at.Sub(r.sentAt) - r.limit
	if late > answerSlack+measurementSlack && r.clientGoneAt.IsZero() {
		o.addFindingLocked(invariantLate, r.ticket, first.at, "%s %v after its time", first.kind, late)
	}
	if first.kind == answerServed && !slices.Contains(r.results, first.body) {
		o.addFindingLocked(invariantServedOther, r.ticket, first.at, "%q, of %d results made; rows of %s",
			first.body, len(r.results), o.rowOwners(first.body))
	}
}

// judgePosts finds queries that were started after their client was gone, after their answer or after the
// grace period of a drain, or with too long a time limit. The time of a start is that of its first byte.
func (o *oracle) judgePosts(r *observedRequest) {
	for _, post := range r.posts {
		if !r.clientGoneAt.IsZero() {
			late := post.firstByteAt.Sub(r.clientGoneAt)
			if late > clientGoneSlack+measurementSlack {
				o.addFindingLocked(invariantSentAfterGone, r.ticket, post.firstByteAt,
					"%v after its client had gone", late)
			}
		}
		if len(r.answers) > 0 {
			if late := post.firstByteAt.Sub(r.answers[0].at); late > 0 {
				o.addFindingLocked(invariantSentAfterAnswer, r.ticket, post.firstByteAt,
					"%v after its answer", late)
			}
		}
		left := r.limit - post.firstByteAt.Sub(r.sentAt)
		if excess := post.limit - left; excess > deadlineSlack+measurementSlack {
			o.addFindingLocked(invariantDeadline, r.ticket, post.firstByteAt,
				"%v told, %v more than is left", post.limit, excess)
		}
		key := drainNoticeKey{post.dispatcher, post.incarnation, post.generation}
		if noticeAt, ok := o.drainNotices[key]; ok {
			late := post.firstByteAt.Sub(noticeAt)
			if late > drainGrace+measurementSlack {
				o.addFindingLocked(invariantSentToDrained, r.ticket, post.firstByteAt,
					"%s %v after its drain was told", post.generation, late)
			}
		}
	}
}

// judgeRetries finds attempts that the request's class does not allow.
func (o *oracle) judgeRetries(r *observedRequest) {
	class := classNamed(r.class)
	// Only requests of these classes must not have concurrent attempts.
	oneAtATime := class.idempotency != idempotent || class.inOrder
	sort.Slice(r.intervals, func(i, j int) bool { return r.intervals[i].start.Before(r.intervals[j].start) })
	for i := 1; i < len(r.intervals); i++ {
		before, now := r.intervals[i-1], r.intervals[i]
		if class.idempotency == notIdempotent {
			o.addFindingLocked(invariantRepeatedUnsafe, r.ticket, now.start, "at node %d after node %d",
				now.node, before.node)
		}
		if oneAtATime && (before.end.IsZero() || now.start.Before(before.end)) {
			o.addFindingLocked(invariantRepeatedBeside, r.ticket, now.start, "at node %d while at node %d",
				now.node, before.node)
		}
		late := now.start.Sub(r.intervals[0].start) - class.deduplicationWindow
		if class.idempotency == idempotentWithKey && late > measurementSlack {
			o.addFindingLocked(invariantRepeatedLate, r.ticket, now.start, "%v after its window", late)
		}
	}
}

// judgeOrder finds requests with the same ordering key that ran at the same time.
func (o *oracle) judgeOrder() {
	byKey := map[string][]*observedRequest{}
	for _, r := range o.requests {
		if classNamed(r.class).inOrder && r.orderingKey != "" {
			byKey[r.orderingKey] = append(byKey[r.orderingKey], r)
		}
	}
	for _, requests := range byKey {
		for i, r := range requests {
			for _, other := range requests[i+1:] {
				if at, ok := overlap(r, other); ok {
					o.addFindingLocked(invariantOrder, r.ticket, at, "key %s, beside %s",
						r.orderingKey, other.ticket)
				}
			}
		}
	}
}

// overlap returns since when two requests to the same process of a dispatcher ran at the same time; ok is
// false if they never did, or if their processes differ.
func overlap(a, b *observedRequest) (since time.Time, ok bool) {
	if a.dispatcher != b.dispatcher || a.incarnation != b.incarnation {
		return time.Time{}, false
	}
	for _, x := range a.intervals {
		for _, y := range b.intervals {
			if y.endsAfter(x.start) && x.endsAfter(y.start) {
				if x.start.Before(y.start) {
					return y.start, true
				}
				return x.start, true
			}
		}
	}
	return time.Time{}, false
}

// endsAfter reports whether the attempt ended after t or still runs.
func (i interval) endsAfter(t time.Time) bool { return i.end.IsZero() || t.Before(i.end) }
