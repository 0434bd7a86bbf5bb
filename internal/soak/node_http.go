package soak

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers and timing of the compute node's side of the platform's protocol.
const (
	headerTicket    = "X-Ticket"
	headerClass     = "X-Queue"
	headerLimitMS   = "X-Max-Ms"
	headerShed      = "X-Shed"
	headerPageCount = "Page-Count"
	headerPage      = "Page-No"

	longPollTimeout   = 250 * time.Millisecond // until a call for an unfinished query is answered
	minDuplicateDelay = 2 * time.Millisecond   // from an answer to its copy, at least
	maxDuplicateDelay = 120 * time.Millisecond // from an answer to its copy, below this
	duplicateLinger   = 100 * time.Millisecond // from the copy to the close of the connection

	// silentDropBelowMS is the time limit in milliseconds below which a call is dropped without an answer.
	silentDropBelowMS = 40
)

// ServeHTTP answers a call of a dispatcher: POST starts a query, GET polls for a page of its result, DELETE
// cancels it, and anything else is a health check.
func (n *computeNode) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.ReadAll(q.Body) // a truncated body also ends the request's context
	hung, full, failing := n.drawCallFaults()
	ticket := q.Header.Get(headerTicket)
	limit, err := strconv.Atoi(q.Header.Get(headerLimitMS))
	if err == nil && limit < silentDropBelowMS {
		<-q.Context().Done()
		return
	}
	var r *queryRun
	if q.Method == http.MethodPost && !full { // the query runs from here on, even while the node hangs
		r = n.register(ticket, q.Header.Get(headerClass))
	}
	if hung != nil {
		select {
		case <-hung:
		case <-q.Context().Done():
			return
		}
	}
	path := strings.Split(strings.Trim(q.URL.Path, "/"), "/")
	switch {
	case q.Method == http.MethodPost && full:
		n.write(w, nodeAnswer{status: http.StatusServiceUnavailable, header: headerShed, value: "1"})
	case q.Method == http.MethodPost && failing:
		n.endRun(ticket, r, false)
		n.write(w, nodeAnswer{status: http.StatusInternalServerError})
	case q.Method == http.MethodPost:
		n.writeResult(w, q, ticket, r)
	case q.Method == http.MethodDelete && len(path) == 2:
		if r := n.find(path[1]); r != nil {
			n.endRun(path[1], r, false)
		}
		n.write(w, nodeAnswer{status: http.StatusNoContent})
	case q.Method == http.MethodGet && len(path) == 3:
		n.answerPoll(w, q, path[1], path[2])
	default:
		n.write(w, nodeAnswer{status: http.StatusOK})
	}
}

// drawCallFaults returns which faults affect a call. hung, if not nil, is closed at the end of the hang that
// delays its answer; full means that a query is shed, failing that it fails.
func (n *computeNode) drawCallFaults() (hung chan struct{}, full, failing bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	full, failing = n.full, n.errors
	if n.behavior.ShedShare > 0 {
		full = full || n.random.Float64() < n.behavior.ShedShare
	}
	if n.behavior.FailShare > 0 {
		failing = failing || n.random.Float64() < n.behavior.FailShare
	}
	return n.hanging, full, failing
}

// answerPoll answers a poll for a page of a result.
func (n *computeNode) answerPoll(w http.ResponseWriter, q *http.Request, ticket, number string) {
	n.mu.Lock()
	r := n.runs[ticket]
	if r != nil {
		r.polledAt = time.Now()
	}
	n.mu.Unlock()
	page, _ := strconv.Atoi(number) // an invalid number polls for the first page
	switch {
	case r == nil || page < 0 || page >= len(r.pages):
		n.write(w, nodeAnswer{status: http.StatusInternalServerError})
	case page == 0:
		n.writeResult(w, q, ticket, r)
	default:
		n.writePage(w, r, page)
	}
}

// writeResult answers with the first page of a result when the query ends. If it still runs after
// longPollTimeout, the answer is 202 without a result.
func (n *computeNode) writeResult(w http.ResponseWriter, q *http.Request, ticket string, r *queryRun) {
	stillRuns := time.NewTimer(longPollTimeout)
	defer stillRuns.Stop()
	done := time.NewTimer(time.Until(r.endsAt))
	defer done.Stop()
	select {
	case <-done.C:
		n.endRun(ticket, r, true)
	case <-r.over:
	case <-stillRuns.C:
		n.write(w, nodeAnswer{status: http.StatusAccepted})
		return
	case <-q.Context().Done():
		return
	}
	n.writePage(w, r, 0)
}

// writePage writes a page of a result, or status 500 if the query failed.
func (n *computeNode) writePage(w http.ResponseWriter, r *queryRun, page int) {
	n.mu.Lock()
	twice, succeeded := n.answersTwice, r.succeeded
	n.mu.Unlock()
	if !succeeded {
		n.write(w, nodeAnswer{status: http.StatusInternalServerError})
		return
	}
	answer := nodeAnswer{status: http.StatusOK, header: headerPageCount, value: fmt.Sprint(len(r.pages)),
		body: r.pages[page]}
	if page > 0 { // the first page has no number, as on the platform
		answer.header, answer.value = headerPage, fmt.Sprint(page)
	}
	if twice {
		n.writeTwice(w, answer)
	} else {
		n.write(w, answer)
	}
}
