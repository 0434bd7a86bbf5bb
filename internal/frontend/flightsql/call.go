package flightsql

import (
	"context"
	"encoding/binary"
	"fmt"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/flightsql/grpcstatus"
	"cresspass/internal/frontend/flightsql/statementqueue"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlscan"
)

// ended is the error of a call, with what its client may do.
type ended struct{ *grpcstatus.Status }

func (e *ended) Error() string { return e.Status.Err().Error() }

// GRPCStatus is what the client gets.
func (e *ended) GRPCStatus() *status.Status { return e.Status.Status }

func ruled(v *verdict.Verdict) error { return &ended{grpcstatus.Of(v)} }

func fault(code codes.Code, format string, args ...any) error {
	return &ended{grpcstatus.Fault(code, fmt.Sprintf(format, args...))}
}

// call is one query on its way, and the sink of its answer: an engine's messages are gathered in a buffer,
// which the call's own goroutine takes whole.
type call struct {
	s     *Server
	t     *track
	q     *frontend.Query
	id    statementqueue.ID
	alone bool

	mu     sync.Mutex
	buf    []byte
	done   bool
	failed bool // the last message is an ErrorResponse
	v      *verdict.Verdict
	wake   chan struct{} // of one: there is something new
	room   chan struct{} // of one: the buffer was taken
}

// statement is what is to be run.
type statement struct {
	text, types string
	parsed      []sqlscan.Statement
	bind        []byte
	kind        enginequery.Kind
}

// scan reads a text. Functions that the settings call harmless are in no doubt.
func (s *Server) scan(text string) []sqlscan.Statement {
	all := sqlscan.Statements(text)
	for i := range all {
		if f := all[i].Function; f != "" && s.cfg.Harmless != nil && s.cfg.Harmless(f) {
			all[i].Function = ""
		}
	}
	return all
}

// who is the client of a call. Its time left is what grpc-timeout says; a call that gRPC or its client
// repeats says so by grpc-previous-rpc-attempts ("gRPC Retry Design").
func (v *session) who(ctx context.Context) classify.Client {
	v.mu.Lock()
	w := classify.Client{User: v.user, Database: v.database, Application: v.application}
	v.mu.Unlock()
	if at, ok := ctx.Deadline(); ok {
		w.Timeout = max(time.Until(at), time.Nanosecond)
	}
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		for _, n := range md.Get("grpc-previous-rpc-attempts") {
			if n, err := strconv.Atoi(n); err == nil && n > 0 {
				w.Repeat = true
			}
		}
	}
	return w
}

// start has a statement run in its lane, once its turn has come. The call must be read to its end, or given
// up.
func (s *Server) start(ctx context.Context, t *track, st statement) (*call, error) {
	c := &call{s: s, t: t, wake: make(chan struct{}, 1), room: make(chan struct{}, 1),
		alone: st.kind == enginequery.Execute && alone(st.parsed)}
	id, v := t.enter(ctx, c.alone)
	if v != nil {
		return nil, ruled(v)
	}
	if s.drains.Load() && !t.holds() {
		t.leave(id)
		return nil, ruled(verdict.Stopping(false))
	}
	c.id = id
	k := &enginequery.Ask{Kind: st.kind, Text: st.text, Parsed: st.parsed, Types: st.types, Bind: st.bind,
		Describe: st.kind == enginequery.Execute}
	q := &frontend.Query{Front: Name, Ask: k, Who: t.of.who(ctx), After: func() { t.leave(id) }}
	q.Answer = response.New(c, s.cfg.Budget, s.cfg.HoldBack)
	q.Throttle = c.throttle
	q.Copy = func(*copyin.Pipe) bool { return false } // data comes by other ways than COPY here
	q.Room = func() {}
	q.Settled = func(end pgbackend.End) pgbackend.Stay { return t.settled(c, end) }
	q.Broken = func(sent bool) { t.broken(c, sent) }
	c.q = q
	t.open(c, k)
	if k.Begins && q.Lease.Engine() == "" {
		if why, ok := s.cfg.Book.May(t.of.user); !ok {
			if q.Answer.End(verdict.Limit(why)) {
				q.After()
			}
			return c, nil
		}
	}
	s.taker.Take(q)
	return c, nil
}

// Rows takes messages of the engine.
func (c *call) Rows(b []byte) {
	c.s.bytes.Add(int64(len(b)))
	c.mu.Lock()
	c.buf = append(c.buf, b...)
	c.mu.Unlock()
	poke(c.wake)
}

// Final takes the last of them.
func (c *call) Final(b []byte, failed bool) {
	c.t.closed(c)
	c.s.bytes.Add(int64(len(b)))
	c.mu.Lock()
	c.buf = append(c.buf, b...)
	c.done, c.failed = true, failed
	c.mu.Unlock()
	poke(c.wake)
}

// Ruled takes a verdict. What came before it and was not taken does not matter any more: the client is told
// at once.
func (c *call) Ruled(v *verdict.Verdict) {
	c.t.closed(c)
	c.mu.Lock()
	c.s.bytes.Add(-int64(len(c.buf)))
	c.buf, c.done, c.v = nil, true, v
	c.mu.Unlock()
	poke(c.wake)
}

func poke(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// throttle waits until the client has taken what was read for it.
func (c *call) throttle() {
	for {
		c.mu.Lock()
		full := len(c.buf) > c.s.cfg.ClientBuffer && !c.done
		c.mu.Unlock()
		if !full {
			return
		}
		select {
		case <-c.room:
		case <-c.q.Answer.Ended():
			return
		}
	}
}

// take waits for more of the answer and returns it in a buffer in exchange for a spare one. It waits no
// longer than within, 0: as long as it takes. more is false at the end.
func (c *call) take(ctx context.Context, spare []byte, within time.Duration) (b []byte, more bool,
	err error) {
	var late <-chan time.Time
	if within > 0 {
		t := time.NewTimer(within)
		defer t.Stop()
		late = t.C
	}
	for {
		c.mu.Lock()
		if len(c.buf) > 0 || c.done {
			if c.v != nil {
				c.mu.Unlock()
				return nil, false, ruled(c.v)
			}
			b, c.buf = c.buf, spare[:0]
			done := c.done
			c.mu.Unlock()
			c.s.bytes.Add(-int64(len(b)))
			poke(c.room)
			return b, !done, nil
		}
		c.mu.Unlock()
		select {
		case <-c.wake:
		case <-late:
			return spare[:0], true, nil
		case <-ctx.Done():
			c.giveUp()
			return nil, false, status.FromContextError(ctx.Err()).Err()
		}
	}
}

// giveUp tells that the client is gone. Nothing more goes out. A statement that has its lane alone takes what
// is kept with it: what it left there nobody would know.
func (c *call) giveUp() {
	ours := c.q.Answer.Abandon()
	c.mu.Lock()
	// Danger: of an answer that was complete and is not taken, these bytes would be counted for ever.
	c.s.bytes.Add(-int64(len(c.buf)))
	c.buf = nil
	c.mu.Unlock()
	if !ours {
		return
	}
	c.t.mu.Lock()
	kept := c.t.cur == c && c.t.pin.Bound()
	if c.t.cur == c {
		c.t.cur = nil
	}
	c.t.mu.Unlock()
	c.s.taker.Gone(c.q, kept)
	if kept {
		c.t.end(&verdict.Verdict{Kind: verdict.Cancelled, Code: "57014",
			Message: "a statement in it was taken back", Detail: "What was not committed was rolled back."})
	}
	c.q.After()
}

// cancel ends the query by a verdict, whatever it does.
func (c *call) cancel(v *verdict.Verdict) bool {
	if !c.q.Answer.End(v) {
		return false
	}
	c.s.taker.Gone(c.q, true)
	c.q.After()
	return true
}

// messages calls f for each of an engine's messages in b.
func messages(b []byte, f func(kind byte, body []byte) error) error {
	for len(b) > 0 {
		if len(b) < 5 {
			return fmt.Errorf("message is cut")
		}
		n := int(binary.BigEndian.Uint32(b[1:])) + 1
		if n < 5 || n > len(b) {
			return fmt.Errorf("message of %d bytes in %d", n, len(b))
		}
		if err := f(b[0], b[5:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// engineError is an ErrorResponse as the call's error.
func engineError(body []byte) error {
	f, err := pgwire.ParseFields(body)
	if err != nil {
		return err
	}
	return &ended{grpcstatus.OfEngine(&f)}
}

// drain reads an answer to its end without its rows. It returns the tag and, of a description, its messages.
func (c *call) drain(ctx context.Context) (tag string, shape []byte, err error) {
	var spare []byte
	for more := true; more; {
		var b []byte
		if b, more, err = c.take(ctx, spare, 0); err != nil {
			return "", nil, err
		}
		err = messages(b, func(kind byte, body []byte) error {
			switch kind {
			case 'E':
				return engineError(body)
			case 'C':
				v, err := pgwire.ParseTag(body)
				tag = string(v)
				return err
			case 't', 'T', 'n':
				shape = pgwire.Append(shape, kind, body)
			}
			return nil
		})
		if err != nil && more {
			c.giveUp()
		}
		if err != nil {
			return "", nil, err
		}
		spare = b
	}
	return tag, shape, nil
}
