package rulecheck

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/protocol/sqlscan"
)

// Recorder gathers what all relays see. One is shared by the relays of a rehearsal.
type Recorder struct {
	mu      sync.Mutex
	log     Log
	byID    map[string]*Request
	texts   statementCache
	maxLag  time.Duration // longest time from a byte's arrival to its decoding
	broken  []string      // streams that could not be decoded
	pending sync.WaitGroup
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{byID: map[string]*Request{}, texts: statementCache{byKey: map[string]string{}}}
}

// Side says between whom a relay stands.
type Side int

// The sides of a dispatcher.
const (
	Clients Side = iota // from clients to a dispatcher
	Engines             // from dispatchers to an engine
)

// Relay passes bytes on between two sockets and records them.
type Relay struct {
	recorder   *Recorder
	side       Side
	name       string // of the dispatcher, or the engine's listed address
	target     string
	flight     bool // Flight SQL, not PostgreSQL
	listener   net.Listener
	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	closed     bool
	background sync.WaitGroup
}

// NewRelay starts a relay before target. name is the dispatcher's, or "" for an engine, which is named by the
// relay's own address: the one that the list tells.
func (rec *Recorder) NewRelay(side Side, name, target string) (*Relay, error) {
	return rec.newRelay(side, name, target, false)
}

func (rec *Recorder) newRelay(side Side, name, target string, flight bool) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{recorder: rec, flight: flight, side: side, name: name, target: target, listener: ln,
		conns: map[net.Conn]struct{}{}}
	if name == "" {
		r.name = ln.Addr().String()
	}
	r.background.Add(1)
	go r.accept()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.background.Wait()
}

func (r *Relay) accept() {
	defer r.background.Done()
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.background.Add(1)
		go func() {
			defer r.background.Done()
			r.serve(c)
		}()
	}
}

func (r *Relay) trackConn(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

func (r *Relay) serve(c net.Conn) {
	defer c.Close()
	s, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0) // as if the target itself had refused
		}
		return
	}
	defer s.Close()
	if !r.trackConn(c) || !r.trackConn(s) {
		return
	}
	up, down := newTap(r.recorder), newTap(r.recorder)
	r.recorder.pending.Add(1)
	go func() {
		defer r.recorder.pending.Done()
		if r.flight {
			r.recorder.decodeGRPC(r.name, up, down)
			return
		}
		r.recorder.decode(r.side, r.name, up, down)
	}()
	var wg sync.WaitGroup
	wg.Add(2)
	pipe := func(to, from net.Conn, t *tap) {
		defer wg.Done()
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				t.add(buf[:n]) // recorded before it is passed on, so that causes come before effects
				if _, werr := to.Write(buf[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				t.end()
				if errors.Is(err, io.EOF) {
					if t, ok := to.(*net.TCPConn); ok {
						t.CloseWrite()
					}
				} else {
					if t, ok := to.(*net.TCPConn); ok {
						t.SetLinger(0)
					}
					to.Close()
					from.Close()
				}
				return
			}
		}
	}
	go pipe(s, c, up)
	go pipe(c, s, down)
	wg.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, s)
	r.mu.Unlock()
}

// chunk is bytes with the time at which they came.
type chunk struct {
	at   time.Time
	data []byte
}

// tap keeps one direction's bytes until they are decoded. It never blocks who adds to it.
type tap struct {
	recorder *Recorder
	mu       sync.Mutex
	changed  *sync.Cond
	queue    []chunk
	ended    time.Time
	at       time.Time // of the bytes read last
	unread   []byte
}

func newTap(rec *Recorder) *tap {
	t := &tap{recorder: rec}
	t.changed = sync.NewCond(&t.mu)
	return t
}

func (t *tap) add(b []byte) {
	t.mu.Lock()
	t.queue = append(t.queue, chunk{time.Now(), append([]byte(nil), b...)})
	t.mu.Unlock()
	t.changed.Signal()
}

func (t *tap) end() {
	t.mu.Lock()
	t.ended = time.Now()
	t.mu.Unlock()
	t.changed.Signal()
}

// Read is the decoder's side.
func (t *tap) Read(b []byte) (int, error) {
	if len(t.unread) == 0 {
		t.mu.Lock()
		for len(t.queue) == 0 && t.ended.IsZero() {
			t.changed.Wait()
		}
		if len(t.queue) == 0 {
			t.mu.Unlock()
			return 0, io.EOF
		}
		c := t.queue[0]
		t.queue = t.queue[1:]
		t.mu.Unlock()
		t.at, t.unread = c.at, c.data
		t.recorder.recordLag(time.Since(c.at))
	}
	n := copy(b, t.unread)
	t.unread = t.unread[n:]
	return n, nil
}

func (rec *Recorder) recordLag(d time.Duration) {
	rec.mu.Lock()
	rec.maxLag = max(rec.maxLag, d)
	rec.mu.Unlock()
}

// Stop waits until all that was recorded is decoded, and returns it. The relays must have been closed. Where
// decoding does not end within the limit, the log says that it cannot be judged.
func (rec *Recorder) Stop(limit time.Duration) *Log {
	done := make(chan struct{})
	go func() {
		rec.pending.Wait()
		close(done)
	}()
	late := false
	select {
	case <-done:
	case <-time.After(limit):
		late = true
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := rec.log
	if late {
		out.Unjudged = append(out.Unjudged, "the relays' bytes were not decoded in time")
	}
	if rec.maxLag > 5*time.Second {
		out.Unjudged = append(out.Unjudged, "decoding fell behind by "+rec.maxLag.String())
	}
	out.Unjudged = append(out.Unjudged, rec.broken...)
	return &out
}

// pendingReply is a request on a connection that is owed an answer, in order.
type pendingReply struct {
	kind    byte // as the message's type; 'Q' and 'E' are queries
	request *Request
	attempt *Attempt
}

// stream is one connection's state while it is decoded.
type stream struct {
	recorder   *Recorder
	side       Side
	name, user string
	pid        uint32
	statements map[string]string
	portals    map[string][2]string // text and first parameter
	pending    []pendingReply
	failed     bool // after an error in the extended protocol, until Sync's answer
}

// decode reads both directions of a connection in the order of their bytes' times: a request always comes
// before its answer.
func (rec *Recorder) decode(side Side, name string, up, down *tap) {
	s := &stream{recorder: rec, side: side, name: name, statements: map[string]string{},
		portals: map[string][2]string{}}
	from := pgproto3.NewBackend(up, io.Discard)
	for {
		m, err := from.ReceiveStartupMessage()
		if err != nil {
			io.Copy(io.Discard, up)
			io.Copy(io.Discard, down)
			return
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			var b [1]byte
			io.ReadFull(down, b[:])
			continue
		case *pgproto3.CancelRequest:
			rec.recordCancel(side, name, m.ProcessID, up.at)
			io.Copy(io.Discard, up)
			io.Copy(io.Discard, down)
			return
		case *pgproto3.StartupMessage:
			s.user = m.Parameters["user"]
		}
		break
	}
	// The welcome first: its ReadyForQuery belongs to no request, however far the requests' decoder has got.
	to := pgproto3.NewFrontend(down, io.Discard)
	for welcome := false; !welcome; {
		m, err := to.Receive()
		if err != nil {
			io.Copy(io.Discard, up)
			return
		}
		if _, welcome = m.(*pgproto3.ReadyForQuery); !welcome {
			s.handleAnswer(m, down.at)
		}
	}
	requests := make(chan struct{}) // closed once all requests are decoded
	var wake sync.Mutex
	asked := sync.NewCond(&wake)
	count := 0
	ended := false
	go func() {
		defer close(requests)
		for {
			m, err := from.Receive()
			wake.Lock()
			if err != nil {
				ended = true
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					rec.recordUnreadable(side, "requests: "+err.Error(), name)
				}
				asked.Broadcast()
				wake.Unlock()
				io.Copy(io.Discard, up)
				return
			}
			s.handleRequest(m, up.at)
			count++
			asked.Broadcast()
			wake.Unlock()
		}
	}()
	for {
		m, err := to.Receive()
		wake.Lock()
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				rec.recordUnreadable(side, "answers: "+err.Error(), name)
			}
			wake.Unlock()
			break
		}
		if len(s.pending) == 0 && !ended &&
			expectsReply(m) { // the request's own decoder may be a moment behind
			limit := time.AfterFunc(time.Second, func() {
				wake.Lock()
				ended = true
				wake.Unlock()
				asked.Broadcast()
			})
			for len(s.pending) == 0 && !ended {
				asked.Wait()
			}
			limit.Stop()
			ended = false
		}
		s.handleAnswer(m, down.at)
		wake.Unlock()
	}
	io.Copy(io.Discard, down)
	<-requests
	s.connectionEnded(down, up)
}

// recordUnreadable takes down a stream that is no protocol: on the engines' side that is a fault some engine
// was told to have.
func (rec *Recorder) recordUnreadable(side Side, what, name string) {
	if side == Engines {
		return
	}
	rec.mu.Lock()
	rec.broken = append(rec.broken, "dispatcher "+name+": "+what)
	rec.mu.Unlock()
}

// expectsReply reports whether a message answers some request.
func expectsReply(m pgproto3.BackendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.ErrorResponse:
		return m.Severity == "ERROR" // a FATAL one may be of the connection
	case *pgproto3.NoticeResponse, *pgproto3.NotificationResponse, *pgproto3.ParameterStatus,
		*pgproto3.BackendKeyData:
		return false
	}
	return true
}

func (s *stream) handleRequest(m pgproto3.FrontendMessage, at time.Time) {
	if _, ok := m.(*pgproto3.Sync); s.failed && !ok { // its error was decoded before this was
		n := len(s.pending)
		s.failed = false
		s.handleRequest(m, at)
		s.failed = true
		for _, u := range s.pending[n:] {
			s.recordSkipped(u)
		}
		s.pending = s.pending[:n]
		return
	}
	s.failed = false
	switch m := m.(type) {
	case *pgproto3.Query:
		s.recordQuery('Q', m.String, "", at)
	case *pgproto3.Parse:
		s.statements[m.Name] = m.Query
		s.pending = append(s.pending, pendingReply{kind: 'P'})
	case *pgproto3.Bind:
		first := ""
		if len(m.Parameters) > 0 {
			first = string(m.Parameters[0])
		}
		s.portals[m.DestinationPortal] = [2]string{s.statements[m.PreparedStatement], first}
		s.pending = append(s.pending, pendingReply{kind: 'B'})
	case *pgproto3.Describe:
		s.pending = append(s.pending, pendingReply{kind: 'D'})
	case *pgproto3.Close:
		s.pending = append(s.pending, pendingReply{kind: 'C'})
	case *pgproto3.Execute:
		p := s.portals[m.Portal]
		s.recordQuery('E', p[0], p[1], at)
	case *pgproto3.Sync:
		s.pending = append(s.pending, pendingReply{kind: 'S'})
	}
}

// statementTags returns what a statement says of itself: in its comment, or in a first parameter
// "id;name=value;...".
func statementTags(text, first string) map[string]string {
	out := sqlscan.Tags(text)
	if out == nil {
		out = map[string]string{}
	}
	parts := strings.Split(first, ";")
	for _, p := range parts {
		if k, v, ok := strings.Cut(p, "="); ok {
			out[k] = v
		}
	}
	if out["id"] == "" {
		out["id"] = parts[0]
	}
	return out
}

func (s *stream) recordQuery(kind byte, text, first string, at time.Time) {
	u := pendingReply{kind: kind}
	t := statementTags(text, first)
	if t["id"] != "" && t["class"] != "" {
		rec := s.recorder
		rec.mu.Lock()
		if s.side == Clients {
			u.request = &Request{
				ID:         t["id"],
				Class:      t["class"],
				Key:        t["key"],
				Dispatcher: s.name,
				At:         at,
				Tags:       t,
			}
			rec.log.Requests = append(rec.log.Requests, u.request)
			rec.byID[u.request.ID] = u.request
		} else {
			u.attempt = &Attempt{ID: t["id"], Class: t["class"], Key: t["key"], Engine: s.name,
				Dispatcher: s.user,
				At:         at,
				PID:        s.pid, Work: number(t["work_ms"]) / 1000, Session: t["session"]}
			rec.log.Attempts = append(rec.log.Attempts, u.attempt)
		}
		rec.mu.Unlock()
	}
	s.pending = append(s.pending, u)
}

// handleAnswer takes a message of the server against the request that it belongs to.
func (s *stream) handleAnswer(m pgproto3.BackendMessage, at time.Time) {
	rec := s.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	switch m := m.(type) {
	case *pgproto3.BackendKeyData:
		s.pid = m.ProcessID
	case *pgproto3.ParseComplete:
		s.pop('P')
	case *pgproto3.BindComplete:
		s.pop('B')
	case *pgproto3.CloseComplete:
		s.pop('C')
	case *pgproto3.RowDescription, *pgproto3.NoData:
		if len(s.pending) > 0 && s.pending[0].kind == 'D' {
			s.pending = s.pending[1:]
		}
	case *pgproto3.DataRow:
		if u := s.nextPending(); u != nil && u.request != nil {
			u.request.Rows++
			if u.request.Finals > 0 {
				u.request.After++
			}
		} else if s.side == Clients && u == nil {
			rec.log.Stray++
		}
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		u := s.nextPending()
		if u == nil {
			rec.log.Stray++
			return
		}
		u.recordFinal(at, "")
		if u.kind == 'E' {
			s.pending = s.pending[1:]
		}
	case *pgproto3.ErrorResponse:
		u := s.nextPending()
		if u == nil {
			return // of the connection as a whole
		}
		u.recordFinal(at, m.Code)
		if u.kind != 'Q' {
			for len(s.pending) > 0 && s.pending[0].kind != 'S' { // the rest up to Sync is skipped, unanswered
				s.recordSkipped(s.pending[0])
				s.pending = s.pending[1:]
			}
			s.failed = len(s.pending) == 0
		}
	case *pgproto3.ReadyForQuery:
		if len(s.pending) > 0 && (s.pending[0].kind == 'S' || s.pending[0].kind == 'Q') {
			if u := &s.pending[0]; u.request != nil && u.request.Finals == 0 {
				u.request.After++ // ready again, and no answer came
			}
			s.pending = s.pending[1:]
		}
	}
}

// recordSkipped marks a request behind an error.
func (s *stream) recordSkipped(u pendingReply) {
	if u.request != nil && u.request.Finals == 0 {
		u.request.Skipped = true
	} else if u.attempt != nil && u.attempt.End.IsZero() {
		u.attempt.Skipped = true
	}
}

// nextPending is the query that messages now belong to; nil: there is none.
func (s *stream) nextPending() *pendingReply {
	for len(s.pending) > 0 && s.pending[0].kind == 'D' { // described by ParameterDescription alone
		s.pending = s.pending[1:]
	}
	if len(s.pending) == 0 {
		return nil
	}
	return &s.pending[0]
}

func (s *stream) pop(kind byte) {
	if len(s.pending) > 0 && s.pending[0].kind == kind {
		s.pending = s.pending[1:]
	}
}

func (u *pendingReply) recordFinal(at time.Time, code string) {
	if a := u.request; a != nil {
		if a.Finals++; a.Finals == 1 {
			a.Final, a.Code = at, code
		}
	}
	if v := u.attempt; v != nil && v.End.IsZero() {
		v.End, v.Code = at, code
		v.Done = code == ""
	}
}

// connectionEnded tells the requests that were out what became of them when the connection ended.
func (s *stream) connectionEnded(down, up *tap) {
	rec := s.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, u := range s.pending {
		if u.request != nil && u.request.Finals == 0 {
			u.request.Gone = up.ended
			if down.ended.Before(up.ended) {
				u.request.Gone, u.request.ServerGone = down.ended, true
			}
		}
		if u.attempt != nil && u.attempt.End.IsZero() {
			u.attempt.End, u.attempt.Lost = down.ended, true
		}
	}
}

func (rec *Recorder) recordCancel(side Side, name string, pid uint32, at time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if side == Engines {
		for i := len(rec.log.Attempts) - 1; i >= 0; i-- {
			if v := rec.log.Attempts[i]; v.Engine == name && v.PID == pid && v.End.IsZero() {
				v.Cancel = at
				return
			}
		}
	}
}
