package rulecheck

import (
	"io"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// replyKind is the type byte of a client message for which an answer is pending.
type replyKind byte

const (
	replyToQuery    replyKind = 'Q'
	replyToParse    replyKind = 'P'
	replyToBind     replyKind = 'B'
	replyToDescribe replyKind = 'D'
	replyToClose    replyKind = 'C'
	replyToExecute  replyKind = 'E'
	replyToSync     replyKind = 'S'
)

// pendingReply is a client message for which an answer is pending.
type pendingReply struct {
	kind    replyKind
	request *Request // the query, on the clients' side; nil: the message runs none that has tags
	attempt *Attempt // the same on the engines' side
}

// portal is a statement with its first parameter.
type portal struct{ text, firstParameter string }

// postgresConn decodes one connection of PostgreSQL's protocol. Two goroutines decode its two directions.
type postgresConn struct {
	recorder   *Recorder
	side       Side
	name, user string // name: as Relay.name; user: on the engines' side the dispatcher's name
	pid        uint32
	statements map[string]string // texts of prepared statements by name

	mu          sync.Mutex
	decoded     *sync.Cond // signalled when a request is decoded, and when all that arrived are
	stopWaiting bool       // no more requests come
	portals     map[string]portal
	pending     []pendingReply // in the order of the messages
	failed      bool           // an error in the extended protocol was answered before its Sync was decoded
}

// decodePostgreSQL decodes both directions of a connection: up has the bytes to the server, down those to the
// client. A request is handled before its answer.
func (rec *Recorder) decodePostgreSQL(side Side, name string, up, down *tap) {
	s := &postgresConn{recorder: rec, side: side, name: name, statements: map[string]string{},
		portals: map[string]portal{}}
	s.decoded = sync.NewCond(&s.mu)
	up.onWait = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.decoded.Broadcast()
	}
	from := pgproto3.NewBackend(up, io.Discard)
	if !s.readStartup(from, up, down) {
		up.discard()
		down.discard()
		return
	}
	to := pgproto3.NewFrontend(down, io.Discard)
	if !s.readStartupAnswer(to, down) {
		up.discard()
		return
	}
	requestsEnded := make(chan struct{})
	go func() {
		defer close(requestsEnded)
		s.readRequests(from, up)
	}()
	s.readAnswers(to, up, down)
	down.discard()
	<-requestsEnded
	s.recordConnectionEnd(down, up)
}

// readStartup reads up to the StartupMessage. It returns false if no statements follow: on a cancel request,
// and if the stream ended.
func (s *postgresConn) readStartup(from *pgproto3.Backend, up, down *tap) bool {
	for {
		m, err := from.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			var answer [1]byte
			_, _ = io.ReadFull(down, answer[:]) // fails only if the stream has ended
			continue
		case *pgproto3.CancelRequest:
			s.recorder.recordCancel(s.side, s.name, m.ProcessID, up.at)
			return false
		case *pgproto3.StartupMessage:
			s.user = m.Parameters["user"]
		}
		return true
	}
}

// readStartupAnswer reads the answer to the StartupMessage. It runs before any request is decoded, because
// the ReadyForQuery of this answer belongs to no request.
func (s *postgresConn) readStartupAnswer(to *pgproto3.Frontend, down *tap) bool {
	for {
		m, err := to.Receive()
		if err != nil {
			return false
		}
		if _, ready := m.(*pgproto3.ReadyForQuery); ready {
			return true
		}
		s.handleAnswer(m, down.at)
	}
}

// readRequests handles the client's messages until the direction ends.
func (s *postgresConn) readRequests(from *pgproto3.Backend, up *tap) {
	for {
		m, err := from.Receive()
		s.mu.Lock()
		if err != nil {
			s.stopWaiting = true
			if !isEndOfStream(err) {
				s.recorder.recordUnreadable(s.side, "requests: "+err.Error(), s.name)
			}
			s.decoded.Broadcast()
			s.mu.Unlock()
			up.discard()
			return
		}
		s.handleRequest(m, up.at)
		s.decoded.Broadcast()
		s.mu.Unlock()
	}
}

// readAnswers handles the server's messages until the direction ends.
func (s *postgresConn) readAnswers(to *pgproto3.Frontend, up, down *tap) {
	for {
		m, err := to.Receive()
		s.mu.Lock()
		if err != nil {
			if !isEndOfStream(err) {
				s.recorder.recordUnreadable(s.side, "answers: "+err.Error(), s.name)
			}
			s.mu.Unlock()
			return
		}
		if expectsReply(m) {
			s.awaitRequest(up)
		}
		s.handleAnswer(m, down.at)
		s.mu.Unlock()
	}
}

// awaitRequest waits until a request is pending, as the decoder of the requests may lag. The relay records a
// request before its answer. So once the decoder of the requests has handled all bytes that arrived, no
// request for this answer will come. The caller holds s.mu.
func (s *postgresConn) awaitRequest(up *tap) {
	for len(s.pending) == 0 && !s.stopWaiting && !up.drained() {
		s.decoded.Wait()
	}
}

// expectsReply reports whether a message of the server answers a request.
func expectsReply(m pgproto3.BackendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.ErrorResponse:
		return m.Severity == "ERROR" // a FATAL error may concern the connection as a whole
	case *pgproto3.NoticeResponse, *pgproto3.NotificationResponse, *pgproto3.ParameterStatus,
		*pgproto3.BackendKeyData:
		return false
	}
	return true
}

// handleRequest records a message of the client. The server skips the messages between an error and Sync.
// The error may have been decoded before them, so that they are marked as skipped here.
func (s *postgresConn) handleRequest(m pgproto3.FrontendMessage, at time.Time) {
	if _, isSync := m.(*pgproto3.Sync); !s.failed || isSync {
		s.failed = false
		s.addPending(m, at)
		return
	}
	n := len(s.pending)
	s.addPending(m, at)
	for _, p := range s.pending[n:] {
		p.recordSkipped()
	}
	s.pending = s.pending[:n]
}

// addPending appends a message of the client to those for which an answer is pending.
func (s *postgresConn) addPending(m pgproto3.FrontendMessage, at time.Time) {
	switch m := m.(type) {
	case *pgproto3.Query:
		s.addQuery(replyToQuery, portal{text: m.String}, at)
	case *pgproto3.Parse:
		s.statements[m.Name] = m.Query
		s.pending = append(s.pending, pendingReply{kind: replyToParse})
	case *pgproto3.Bind:
		p := portal{text: s.statements[m.PreparedStatement]}
		if len(m.Parameters) > 0 {
			p.firstParameter = string(m.Parameters[0])
		}
		s.portals[m.DestinationPortal] = p
		s.pending = append(s.pending, pendingReply{kind: replyToBind})
	case *pgproto3.Describe:
		s.pending = append(s.pending, pendingReply{kind: replyToDescribe})
	case *pgproto3.Close:
		s.pending = append(s.pending, pendingReply{kind: replyToClose})
	case *pgproto3.Execute:
		s.addQuery(replyToExecute, s.portals[m.Portal], at)
	case *pgproto3.Sync:
		s.pending = append(s.pending, pendingReply{kind: replyToSync})
	}
}

// addQuery records a query as a request or an attempt, if it has the tags id and class.
func (s *postgresConn) addQuery(kind replyKind, p portal, at time.Time) {
	reply := pendingReply{kind: kind}
	tags := statementTags(p.text, p.firstParameter)
	if tags["id"] != "" && tags["class"] != "" {
		if s.side == Clients {
			reply.request = newRequest(tags, s.name, at)
			s.recorder.addRequest(reply.request)
		} else {
			reply.attempt = &Attempt{ID: tags["id"], Class: tags["class"], Key: tags["key"], Engine: s.name,
				Dispatcher: s.user, At: at, PID: s.pid, Work: numericTag(tags["work_ms"]) / 1000,
				Session: tags["session"]}
			s.recorder.addAttempt(reply.attempt)
		}
	}
	s.pending = append(s.pending, reply)
}

// handleAnswer records a message of the server for the request that it answers.
func (s *postgresConn) handleAnswer(m pgproto3.BackendMessage, at time.Time) {
	rec := s.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	switch m := m.(type) {
	case *pgproto3.BackendKeyData:
		s.pid = m.ProcessID
	case *pgproto3.ParseComplete:
		s.pop(replyToParse)
	case *pgproto3.BindComplete:
		s.pop(replyToBind)
	case *pgproto3.CloseComplete:
		s.pop(replyToClose)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		s.pop(replyToDescribe)
	case *pgproto3.DataRow:
		s.handleRow()
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		p := s.nextPending()
		if p == nil {
			rec.log.StrayAnswers++
			return
		}
		p.recordFinal(at, "")
		if p.kind == replyToExecute {
			s.pending = s.pending[1:]
		}
	case *pgproto3.ErrorResponse:
		s.handleError(m.Code, at)
	case *pgproto3.ReadyForQuery:
		s.handleReady()
	}
}

// handleRow counts a row of the query that is being answered.
func (s *postgresConn) handleRow() {
	p := s.nextPending()
	switch {
	case p != nil && p.request != nil:
		p.request.Rows++
		if p.request.FinalCount > 0 {
			p.request.MessagesAfterFinal++
		}
	case p == nil && s.side == Clients:
		s.recorder.log.StrayAnswers++
	}
}

// handleError ends the query that is being answered. In the extended protocol the server skips the messages
// that follow up to Sync, and does not answer them.
func (s *postgresConn) handleError(code string, at time.Time) {
	p := s.nextPending()
	if p == nil {
		return // the error concerns the connection as a whole
	}
	p.recordFinal(at, code)
	if p.kind == replyToQuery {
		return
	}
	for len(s.pending) > 0 && s.pending[0].kind != replyToSync {
		s.pending[0].recordSkipped()
		s.pending = s.pending[1:]
	}
	s.failed = len(s.pending) == 0
}

// handleReady ends the Sync or simple query that is being answered.
func (s *postgresConn) handleReady() {
	if len(s.pending) == 0 || s.pending[0].kind != replyToSync && s.pending[0].kind != replyToQuery {
		return
	}
	if r := s.pending[0].request; r != nil && r.FinalCount == 0 {
		r.MessagesAfterFinal++ // the server is ready again but sent no answer
	}
	s.pending = s.pending[1:]
}

// recordSkipped marks a query that the server skips because a message before it failed.
func (p *pendingReply) recordSkipped() {
	if p.request != nil && p.request.FinalCount == 0 {
		p.request.Skipped = true
	} else if p.attempt != nil && p.attempt.End.IsZero() {
		p.attempt.Skipped = true
	}
}

// nextPending returns the message that the server now answers; nil: there is none.
func (s *postgresConn) nextPending() *pendingReply {
	s.popAll(replyToDescribe) // those that got no RowDescription or NoData
	if len(s.pending) == 0 {
		return nil
	}
	return &s.pending[0]
}

// pop removes the first pending message if it is of a kind.
func (s *postgresConn) pop(kind replyKind) {
	if len(s.pending) > 0 && s.pending[0].kind == kind {
		s.pending = s.pending[1:]
	}
}

// popAll removes the pending messages of a kind that come first.
func (s *postgresConn) popAll(kind replyKind) {
	for len(s.pending) > 0 && s.pending[0].kind == kind {
		s.pending = s.pending[1:]
	}
}

// recordFinal records a final answer for the request or the attempt; code "": it was served.
func (p *pendingReply) recordFinal(at time.Time, code string) {
	if p.request != nil {
		p.request.recordFinal(at, code)
	}
	if a := p.attempt; a != nil && a.End.IsZero() {
		a.End, a.Code = at, code
		a.Done = code == ""
	}
}

// recordConnectionEnd records the end of the connection for the queries that were still pending.
func (s *postgresConn) recordConnectionEnd(down, up *tap) {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	for _, p := range s.pending {
		if p.request != nil && p.request.FinalCount == 0 {
			p.request.recordConnectionEnd(down, up)
		}
		if p.attempt != nil && p.attempt.End.IsZero() {
			p.attempt.End, p.attempt.Lost = down.ended, true
		}
	}
}
