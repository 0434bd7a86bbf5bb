package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The compute node's side of the platform's protocol.
const (
	headerTicket    = "X-Ticket"
	headerClass     = "X-Queue"
	headerLimitMS   = "X-Max-Ms"
	headerShed      = "X-Shed"
	headerPageCount = "Page-Count"
	headerPage      = "Page-No"

	longPollTimeout   = 250 * time.Millisecond // after which a poll is answered without a result
	minDuplicateDelay = 2 * time.Millisecond   // after which an answer comes a second time
	maxDuplicateDelay = 120 * time.Millisecond
	duplicateLinger   = 100 * time.Millisecond // from then to the connection's close

	// silentDropBelowMS is the time below which a query is dropped without an answer, in milliseconds.
	silentDropBelowMS = 40
)

// ServeHTTP answers a call of a dispatcher: POST starts a query, GET polls for a page of its result, DELETE
// cancels it, and anything else is a health check.
func (n *computeNode) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.ReadAll(q.Body) // a body that breaks off ends the request's context too
	n.mu.Lock()
	hung, full, failing := n.hanging, n.full, n.errors
	n.mu.Unlock()
	ticket := q.Header.Get(headerTicket)
	limit, err := strconv.Atoi(q.Header.Get(headerLimitMS))
	if err == nil && limit < silentDropBelowMS {
		<-q.Context().Done()
		return
	}
	var r *queryRun
	if q.Method == http.MethodPost && !full { // it runs from here on, also while the node hangs
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
		w.Header().Set(headerShed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case q.Method == http.MethodPost && failing:
		n.endRun(ticket, r, false)
		w.WriteHeader(http.StatusInternalServerError)
	case q.Method == http.MethodPost:
		n.writeResult(w, q, ticket, r)
	case q.Method == http.MethodDelete && len(path) == 2:
		if r := n.find(path[1]); r != nil {
			n.endRun(path[1], r, false)
		}
		w.WriteHeader(http.StatusNoContent)
	case q.Method == http.MethodGet && len(path) == 3:
		n.answerPoll(w, q, path[1], path[2])
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// answerPoll answers a poll for a page of a result.
func (n *computeNode) answerPoll(w http.ResponseWriter, q *http.Request, ticket, number string) {
	n.mu.Lock()
	r := n.runs[ticket]
	if r != nil {
		r.polledAt = time.Now()
	}
	n.mu.Unlock()
	page, _ := strconv.Atoi(number) // what is no number polls for the first page
	switch {
	case r == nil || page < 0 || page >= len(r.pages):
		w.WriteHeader(http.StatusInternalServerError)
	case page == 0:
		n.writeResult(w, q, ticket, r)
	default:
		n.writePage(w, r, page)
	}
}

// writeResult answers with the first page of a result at the query's end, or after a while that it still
// runs.
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
		w.WriteHeader(http.StatusAccepted)
		return
	case <-q.Context().Done():
		return
	}
	n.writePage(w, r, 0)
}

// writePage writes a page of a result, or that the query failed.
func (n *computeNode) writePage(w http.ResponseWriter, r *queryRun, page int) {
	n.mu.Lock()
	twice, succeeded := n.answersTwice, r.succeeded
	n.mu.Unlock()
	switch {
	case !succeeded:
		w.WriteHeader(http.StatusInternalServerError)
	case twice:
		n.writePageTwice(w, r, page)
	default:
		if page == 0 {
			w.Header().Set(headerPageCount, fmt.Sprint(len(r.pages)))
		} else {
			w.Header().Set(headerPage, fmt.Sprint(page))
		}
		writeBestEffort(w, []byte(r.pages[page]))
	}
}

// writePageTwice writes a page and, some time later, a copy of the whole answer on the same connection.
func (n *computeNode) writePageTwice(w http.ResponseWriter, r *queryRun, page int) {
	conn, ok := hijack(w)
	if !ok {
		return
	}
	defer conn.Close()
	number := "" // the first page has none, as on the platform
	if page > 0 {
		number = fmt.Sprintf("%s: %d\r\n", headerPage, page)
	}
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		headerPageCount, len(r.pages), number, len(r.pages[page]), r.pages[page]))
	n.mu.Lock()
	delay := minDuplicateDelay + time.Duration(n.random.Int64N(int64(maxDuplicateDelay-minDuplicateDelay)))
	n.mu.Unlock()
	writeBestEffort(conn, answer)
	time.Sleep(delay)
	writeBestEffort(conn, answer)
	time.Sleep(duplicateLinger)
}

// hijack takes a connection from its server; ok is false where the server has ended.
func hijack(w http.ResponseWriter) (conn net.Conn, ok bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	return conn, err == nil
}
