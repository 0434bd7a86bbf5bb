package pgbackend

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cresspass"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/oserr"
	"cresspass/internal/protocol/pgwire"
)

// smallWrite is the size up to which a request is written at once: an idle connection's send buffer holds it,
// so that the write cannot block.
const smallWrite = 16 << 10

// conn is one connection to an engine. Its reading goroutine owns what is not under mu.
type conn struct {
	pool      *Pool
	engine    *engine
	nc        net.Conn
	pid       uint32
	secret    []byte
	idleSince time.Time // under the pool's lock

	reader pgwire.Reader
	batch  []byte // messages for the answer, gathered from one read

	in                 *copying              // the copy-in that runs; nil: none
	syncOwed           bool                  // no Sync was sent behind the request
	copied, copyFailed bool                  // the attempt had a copy-in; the client had it fail
	lease              atomic.Pointer[Lease] // of the session that is kept here; nil: none
	tags               []string              // of the attempt that runs

	cur atomic.Pointer[Attempt] // set last by begin; cleared by the reading goroutine

	mu      sync.Mutex
	cancels int  // cancel requests on the way, not known to have been taken
	parked  bool // ready for use but for a cancel on the way
	dead    bool

	// Of the attempt that runs. begin sets skip and preparing before cur; all else is the reading
	// goroutine's.
	skip      int  // ReadyForQuery messages of settings before the query's own
	failed    bool // an ErrorResponse came
	fault     pgwire.Fields
	preparing string
	shape     []byte // what Describe is answered with
	report    []float64

	have  *sessionparams.Set // settings in force, of those that are replayed
	gated []byte             // the request, held until the engine has taken the settings before it
	told  bool               // the engine told of a setting while the attempt's query ran
	foul  bool               // the connection is to be closed at the attempt's end

	names    map[string]*list.Element // of prepared statements by key
	recent   *list.List               // of *prepared, the last used in front
	nameless int
	memory   float64
	priority int
}

type prepared struct{ key, name string }

// connect opens a connection and goes through its startup.
func connect(p *Pool, e *engine) (*conn, Result) {
	failed := func(err error) (*conn, Result) {
		return nil, Result{Outcome: cresspass.ConnectFailed, Message: err.Error()}
	}
	nc, err := p.dialPatiently(string(e.id))
	switch {
	case oserr.OwnMachine(err): // danger: it tells nothing of the engine
		return nil, Result{Outcome: cresspass.Full, Message: err.Error()}
	case err != nil:
		return failed(err)
	}
	c := &conn{pool: p, engine: e, nc: nc, names: map[string]*list.Element{}, recent: list.New(),
		priority: -1}
	c.reader.Known, c.reader.Max = pgwire.BackendType, p.cfg.MaxMessage
	nc.SetDeadline(time.Now().Add(p.cfg.ConnectTimeout))
	if _, err := nc.Write(pgwire.AppendStartup(nil, pgwire.Version30, "user", p.cfg.User, "database",
		p.cfg.Database,
		"application_name", p.cfg.Application)); err != nil {
		nc.Close()
		return failed(err)
	}
	buf := make([]byte, 4096)
	for {
		n, err := nc.Read(buf)
		if err != nil {
			nc.Close()
			return failed(err)
		}
		c.reader.Push(buf[:n])
		for {
			m, ok, err := c.reader.Next()
			if err != nil {
				nc.Close()
				return failed(err)
			}
			if !ok {
				break
			}
			switch m.Type {
			case 'Z':
				c.reader.Rest()
				nc.SetDeadline(time.Time{})
				return c, Result{}
			case 'K':
				c.pid, c.secret, err = pgwire.ParseKey(m.Body)
			case 'R':
				if string(m.Body) != "\x00\x00\x00\x00" {
					err = fmt.Errorf("engine %s asks for authentication, which is not served", e.id)
				}
			case 'E':
				f, _ := pgwire.ParseFields(m.Body)
				nc.Close()
				r := Result{Outcome: cresspass.ConnectFailed, Code: f.Code, Message: f.Message}
				if neverRan(f.Code) {
					r.Outcome = cresspass.Full
				}
				return nil, r
			}
			if err != nil {
				nc.Close()
				return failed(err)
			}
		}
		c.reader.Rest()
	}
}

// begin sends an attempt's request. The connection is this attempt's until its ReadyForQuery. It returns
// false where the connection has closed, so that nothing was sent.
func (c *conn) begin(a *Attempt) bool {
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return false
	}
	if a.done.Load() { // withdrawn before it was sent
		c.mu.Unlock()
		c.release(a)
		return true
	}
	// Danger: since the module decided, the attempt may have waited for this connection, and its client, its
	// engine or its time may have gone meanwhile.
	if outcome, ok := a.mayBegin(); !ok {
		c.mu.Unlock()
		c.release(a)
		a.end(notBegun(outcome))
		return true
	}
	c.skip, c.preparing, c.syncOwed, c.copied, c.copyFailed = 0, "", false, false, false
	c.gated, c.told, c.foul, c.tags = nil, false, false, nil
	request := c.request(a)
	c.cur.Store(a)
	c.mu.Unlock()
	a.conn.Store(c)
	c.write(request)
	if a.done.Load() { // Danger: it was withdrawn between the check and here, and nobody has cancelled it
		c.cancel(a)
	}
	return true
}

// mayBegin asks once more whether an attempt may begin whose request was held back. Where not, the attempt
// ends and the connection, on which nothing of it was sent, is free.
func (c *conn) mayBegin(a *Attempt) bool {
	outcome, ok := a.mayBegin()
	if ok {
		return true
	}
	kept := a.Lease != nil && a.Lease.held() == c // by its session
	c.mu.Lock()
	c.cur.Store(nil)
	c.parked = !kept && c.cancels > 0
	free := !c.parked && !kept
	c.mu.Unlock()
	if free {
		c.pool.give(c)
	}
	a.end(notBegun(outcome))
	return false
}

// notBegun is the result of an attempt of which nothing was sent.
func notBegun(outcome cresspass.Outcome) Result {
	return Result{Outcome: outcome, Message: "not begun: what was decided no longer held"}
}

// release gives back a connection on which nothing was sent; that of a session stays with it.
func (c *conn) release(a *Attempt) {
	if a.Lease == nil || a.Lease.held() != c {
		c.pool.give(c)
	}
}

func (c *conn) write(request []byte) {
	if len(request) > smallWrite {
		go c.nc.Write(request) // a failure shows in the reading goroutine
	} else {
		c.nc.Write(request)
	}
}

// request builds what goes to the engine: settings that differ, then the query. Where the session's own
// settings differ, the query waits until the engine has taken them. Danger: run without them, it would give
// other answers without a word.
func (c *conn) request(a *Attempt) []byte {
	if a.Answer == nil {
		return pgwire.AppendText(nil, 'Q', "")
	}
	var out []byte
	var set []string
	if a.MemoryMB != c.memory {
		set = append(set, "RESET work_mem")
		if a.MemoryMB > 0 {
			set[0] = "SET work_mem = '" + strconv.Itoa(max(1, int(a.MemoryMB))) + "MB'"
		}
		c.memory = a.MemoryMB
	}
	if a.Priority >= 0 && a.Priority != c.priority {
		set = append(set, "SET cresspass.priority = "+strconv.Itoa(a.Priority))
		c.priority = a.Priority
	}
	if len(set) > 0 {
		out = pgwire.AppendText(out, 'Q', strings.Join(set, "; "))
		c.skip++
	}
	k := a.Ask
	if k.Rest && k.Settings != c.have {
		diff := sessionparams.Diff(c.have, k.Settings)
		if c.have = k.Settings; len(diff) > 0 {
			out = pgwire.AppendText(out, 'Q', strings.Join(diff, "; "))
			c.skip++
			c.gated = c.query(nil, k)
			return out
		}
	}
	return c.query(out, k)
}

// query builds the messages of the query itself.
func (c *conn) query(out []byte, k *enginequery.Ask) []byte {
	if k.Kind == enginequery.Simple {
		return pgwire.AppendText(out, 'Q', k.Text)
	}
	if k.More { // its portal stands on this connection
		return pgwire.AppendSync(pgwire.AppendExecute(out, k.Portal, k.Rows))
	}
	name := ""
	out, name = c.prepare(out, k)
	if k.Portal != "" { // one of that name may be left; to close none is no error
		out = pgwire.AppendTarget(out, 'C', 'P', k.Portal)
	}
	switch k.Kind {
	case enginequery.DescribeStatement:
		out = pgwire.AppendTarget(out, 'D', 'S', name)
	case enginequery.DescribePortal:
		out = pgwire.AppendBind(out, k.Portal, name, k.Bind)
		out = pgwire.AppendTarget(out, 'D', 'P', k.Portal)
	default:
		out = pgwire.AppendBind(out, k.Portal, name, k.Bind)
		if k.Describe {
			out = pgwire.AppendTarget(out, 'D', 'P', k.Portal)
		}
		out = pgwire.AppendExecute(out, k.Portal, k.Rows)
	}
	if c.syncOwed = k.Copies(); c.syncOwed {
		return pgwire.AppendFlush(out)
	}
	return pgwire.AppendSync(out)
}

// prepare names a statement on this connection, and has it parsed there where it is new.
func (c *conn) prepare(out []byte, k *enginequery.Ask) ([]byte, string) {
	key := k.Key()
	if el := c.names[key]; el != nil {
		c.recent.MoveToFront(el)
		return out, el.Value.(*prepared).name
	}
	if c.recent.Len() >= c.pool.cfg.MaxPrepared {
		old := c.recent.Remove(c.recent.Back()).(*prepared)
		delete(c.names, old.key)
		out = pgwire.AppendTarget(out, 'C', 'S', old.name)
	}
	c.nameless++
	v := &prepared{key, "c" + strconv.Itoa(c.nameless)}
	c.names[key] = c.recent.PushFront(v)
	c.preparing = key
	return pgwire.AppendParse(out, v.name, k.Text, []byte(k.Types)), v.name
}

func (c *conn) unprepare(key string) {
	if el := c.names[key]; el != nil {
		c.recent.Remove(el)
		delete(c.names, key)
	}
}

// cancel asks the engine to cancel an attempt that was disowned. PostgreSQL's cancel names a connection, not
// a query, and is not answered. Danger: it may strike whatever runs on the connection when it is taken. So
// the connection is not used again until the engine has closed the cancel's own connection.
func (c *conn) cancel(a *Attempt) {
	c.mu.Lock()
	if c.cur.Load() != a || c.dead || c.cancels > 0 {
		c.mu.Unlock()
		return
	}
	c.cancels++
	c.mu.Unlock()
	p := c.pool
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.work.Add(1)
	p.mu.Unlock()
	go func() {
		defer p.work.Done()
		limit := time.Now().Add(p.cfg.CancelTimeout)
		if err := sendCancel(p.dialer(), string(c.engine.id), c.pid, c.secret, limit); err != nil {
			c.nc.Close() // it is not known whether the cancel will still be taken
			return
		}
		c.mu.Lock()
		c.cancels--
		parked := c.parked && c.cancels == 0
		c.parked = c.parked && !parked
		c.mu.Unlock()
		if parked {
			p.give(c)
			return
		}
		// An engine that took the cancel and does not end the query keeps its connection no longer than this.
		t := time.NewTimer(time.Until(limit))
		defer t.Stop()
		select {
		case <-t.C:
		case <-p.stop:
		}
		if c.cur.Load() == a {
			c.nc.Close()
		}
	}()
}

func sendCancel(d *net.Dialer, addr string, pid uint32, secret []byte, limit time.Time) error {
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(limit)
	if _, err := nc.Write(pgwire.AppendCancel(nil, pid, secret)); err != nil {
		return err
	}
	var b [1]byte
	if _, err := nc.Read(b[:]); err != io.EOF {
		return fmt.Errorf("cancel request: %v", err)
	}
	return nil
}

// read takes what the engine sends until the connection ends.
func (c *conn) read() {
	buf := make([]byte, 16<<10)
	var err error
	for err == nil {
		var n int
		if n, err = c.nc.Read(buf); n == 0 {
			continue
		}
		c.reader.Push(buf[:n])
		for {
			m, ok, fault := c.reader.Next()
			if fault != nil {
				err = fault
			}
			if !ok || err != nil {
				break
			}
			if err = c.message(m); err != nil {
				break
			}
		}
		c.reader.Rest()
		c.flush()
	}
	c.nc.Close()
	c.copyOver()
	c.mu.Lock()
	c.dead = true
	a := c.cur.Swap(nil)
	c.mu.Unlock()
	c.pool.drop(c)
	if l := c.lease.Swap(nil); l != nil && l.held() == c {
		if a != nil { // nothing of a session is sent twice: the loss of its connection is its end
			a.Broken(true)
			a.end(Result{Outcome: cresspass.Reset, Finished: true, Message: fmt.Sprintf("engine %s: %v",
				c.engine.id, err)})
			a = nil
		}
		l.free()
		l.OnLost()
	}
	if a != nil {
		c.lost(a, Result{Outcome: cresspass.Reset, Code: c.fault.Code, Message: fmt.Sprintf("engine %s: %v",
			c.engine.id, err)})
	}
}

// flush passes gathered messages on, and waits where the client is slow to take them.
func (c *conn) flush() {
	if len(c.batch) == 0 {
		return
	}
	if a := c.cur.Load(); a != nil && a.Answer != nil {
		if a.Answer.Write(a.Number, c.batch) {
			a.Throttle()
		}
	}
	if c.batch = c.batch[:0]; cap(c.batch) > 256<<10 {
		c.batch = nil
	}
}

// lost ends an attempt of which no whole answer came.
func (c *conn) lost(a *Attempt, r Result) {
	if a.Answer != nil {
		if r.Finished = a.Answer.Lose(a.Number, a.Failure()); r.Finished && r.Outcome.NeverRan() {
			r.Outcome = cresspass.Failed // rows went out, so it ran, whatever its error says
		}
	}
	a.end(r)
}

func (c *conn) forward(m pgwire.Message) {
	c.batch = pgwire.Append(c.batch, m.Type, m.Body)
}

// message takes one message of the engine.
func (c *conn) message(m pgwire.Message) error {
	a := c.cur.Load()
	switch m.Type {
	case 'S':
		name, value, err := pgwire.ParseStatus(m.Body)
		if err == nil && string(name) == "cresspass.load" {
			c.report = c.loads(string(value))
		} else if a != nil && a.Answer != nil && c.skip == 0 {
			c.told = true
			c.forward(m)
		}
		return err
	case 'N':
		return c.notice(a, m)
	case 'A':
		return nil
	case 'E':
		f, err := pgwire.ParseFields(m.Body)
		if err != nil {
			return err
		}
		if a == nil {
			return fmt.Errorf("%s %s: %s", f.Severity, f.Code, f.Message)
		}
		if c.skip > 0 {
			if c.skip == 1 && c.gated != nil { // the session's own settings are the last
				c.failed, c.foul, c.fault = true, true, f
				if _, own := blame(f.Code); own {
					c.batch = pgwire.Append(c.batch, 'E', m.Body)
				}
			}
			return nil // one of ours was not taken; the query runs without it
		}
		c.failed, c.fault = true, f
		if c.preparing != "" || f.Code == "26000" || f.Code == "0A000" {
			// not parsed, lost by the engine, or planned for tables that have changed
			c.unprepare(a.Ask.Key())
		}
		if f.Severity == "FATAL" || f.Severity == "PANIC" {
			return fmt.Errorf("%s %s: %s", f.Severity, f.Code, f.Message)
		}
		c.copyFailed = c.copyOver() || c.copyFailed
		if _, own := c.blame(f.Code); own {
			c.batch = pgwire.Append(c.batch, 'E', m.Body)
		}
		return c.sync()
	}
	if a == nil {
		return fmt.Errorf("message %q without a query", m.Type)
	}
	if m.Type == 'Z' {
		if len(m.Body) != 1 {
			return fmt.Errorf("ReadyForQuery of %d bytes", len(m.Body))
		}
		if c.skip > 0 {
			if c.skip--; c.skip > 0 || c.gated == nil {
				return nil
			}
			request := c.gated
			c.gated = nil
			if !c.failed && !a.done.Load() {
				// Danger: the engine may have taken long for the settings.
				if !c.mayBegin(a) {
					return nil
				}
				c.write(request)
				return nil
			}
			c.foul = true // nothing of the query was sent, and what is in force is in doubt
			c.failed = true
		}
		return c.ready(a, m.Body[0])
	}
	if c.skip > 0 { // of a setting
		return nil
	}
	switch m.Type {
	case 'C', 'I', 's':
		c.copyFailed = c.copyOver() || c.copyFailed
		if err := c.sync(); err != nil {
			return err
		}
	case 'G':
		if c.in != nil {
			return fmt.Errorf("CopyInResponse in copy-in mode")
		}
		c.copyIn(a, m)
		return nil
	}
	switch m.Type {
	case '1':
		c.preparing = ""
	case '2', '3':
	case 't', 'T', 'n':
		if a.Answer != nil && a.Ask.Kind == enginequery.DescribeStatement {
			c.shape = pgwire.Append(c.shape, m.Type, m.Body)
		}
		c.forward(m)
	case 'C':
		if a.Pinned {
			if tag, err := pgwire.ParseTag(m.Body); err == nil {
				c.tags = append(c.tags, string(tag))
				c.forget(string(tag))
			}
		}
		c.forward(m)
	case 'D', 'I', 's', 'H', 'd', 'c':
		c.forward(m)
	default:
		return fmt.Errorf("message %q is out of place", m.Type)
	}
	return nil
}

// sync sends the Sync that was kept back.
func (c *conn) sync() error {
	if !c.syncOwed {
		return nil
	}
	c.syncOwed = false
	_, err := c.nc.Write(pgwire.AppendSync(nil))
	return err
}

// notice takes a NoticeResponse: progress for the module, or one for the client.
func (c *conn) notice(a *Attempt, m pgwire.Message) error {
	f, err := pgwire.ParseFields(m.Body)
	if err != nil || a == nil || a.Answer == nil {
		return err
	}
	note := map[string]cresspass.NoteType{"CP001": cresspass.NoteShareDone, "CP002": cresspass.NoteSpills,
		"CP003": cresspass.NoteWaits}[f.Code]
	if note == 0 {
		if c.skip == 0 {
			c.forward(m)
		}
		return nil
	}
	if v, err := strconv.ParseFloat(f.Message, 64); err == nil && !a.done.Load() {
		a.Noted(note, v)
	}
	return nil
}

func (c *conn) loads(v string) []float64 {
	parts := strings.Split(v, ",")
	if len(parts) != c.pool.cfg.ReportFields {
		return nil
	}
	out := make([]float64, len(parts))
	for i, p := range parts {
		n, err := strconv.ParseFloat(p, 64)
		if err != nil {
			return nil
		}
		out[i] = n
	}
	return out
}

// ready ends the attempt at its ReadyForQuery. The connection is put back first, as the client's next query
// may follow at once.
func (c *conn) ready(a *Attempt, status byte) error {
	took := max(time.Since(a.at), 1)
	r := Result{Outcome: cresspass.OK, Took: took, Report: c.report}
	own := true
	if c.failed {
		r.Code, r.Message = c.fault.Code, c.fault.Message
		r.Outcome, own = c.blame(c.fault.Code)
		if own {
			// Danger: an error is quick; it must neither teach the fit nor call the engine sick.
			r.Took = 0
		}
	}
	if c.copied {
		r.Took = 0 // Danger: how long a COPY lasts is its client's doing; it must not teach the fit.
	}
	failed, batch, shape, fault := c.failed, c.batch, c.shape, c.fault
	c.batch, c.failed, c.fault, c.shape, c.report = nil, false, pgwire.Fields{}, nil, nil
	var taint error
	elsewhere := failed && !own && a.Ask != nil && !a.Ask.Bound // the module may try it elsewhere
	keep, foul := c.settle(a, status, elsewhere)
	c.mu.Lock()
	c.cur.Store(nil)
	switch {
	case foul:
		taint = errors.New("what the query left on the connection is not known")
		c.dead = true
	case keep:
	case status != 'I':
		// Danger: the text left a transaction open; the next query on this connection would run inside it.
		taint = fmt.Errorf("the query left transaction state %q", status)
		c.dead = true
	case c.cancels > 0:
		c.parked = true
	}
	idle := !c.parked && taint == nil && !keep
	c.mu.Unlock()
	if idle {
		c.pool.give(c)
	}
	switch {
	case a.Answer == nil:
		a.end(r)
	case own:
		if a.Described != nil {
			if failed {
				a.Described(a.Ask.Key(), nil)
			} else if shape != nil {
				a.Described(a.Ask.Key(), shape)
			}
		}
		if r.Finished = a.Answer.Finish(a.Number, batch, failed); !r.Finished {
			r.Outcome = cresspass.Cancelled // it was disowned, and reported by who did so
		}
		a.end(r)
	case a.Pinned && !elsewhere:
		// The engine's own word ends the statement: in a session nothing is tried elsewhere.
		r.Finished = a.Answer.Finish(a.Number, pgwire.AppendFields(batch, 'E', &fault), true)
		a.end(r)
	default:
		c.lost(a, r)
	}
	return taint
}

// blame is blame in the light of what the attempt was: an engine that ends a copy because its client asked
// for that is well.
func (c *conn) blame(code string) (outcome cresspass.Outcome, own bool) {
	if c.copyFailed && code == "57014" {
		return cresspass.OK, true
	}
	return blame(code)
}

// settle finds out what a query left on the connection, and whether its session stays on it. foul says that
// nobody knows: no other may have the connection.
func (c *conn) settle(a *Attempt, status byte, elsewhere bool) (keep, foul bool) {
	foul = c.foul
	if a.Answer == nil || !a.Pinned && !c.told {
		return false, foul
	}
	stay := Stay{}
	// Danger: a query that was answered by other hands, or is tried elsewhere, may have left a table, a lock
	// or a setting here that no session knows to be its own.
	if !elsewhere && a.Answer.Claim(a.Number) {
		stay = a.Settled(End{Engine: c.engine.id, PID: c.pid, Secret: c.secret, Status: status,
			Tags: c.tags, Told: c.told, Had: c.have})
		c.have = stay.Has
	}
	foul = foul || !stay.Known
	if keep = stay.Keep && !foul; keep && !a.Lease.hold(c) {
		keep, foul = false, true // its client went meanwhile
	}
	if keep {
		c.lease.Store(a.Lease)
	} else if l := c.lease.Load(); l != nil && !foul { // a foul one is lost to its session at its close
		c.lease.Store(nil)
		l.free()
	}
	return keep, foul
}

// forget drops what is known of the connection and a statement has undone.
func (c *conn) forget(tag string) {
	if tag == "DISCARD ALL" || tag == "DEALLOCATE ALL" {
		clear(c.names)
		c.recent.Init()
	}
	if tag == "DISCARD ALL" || tag == "RESET" {
		c.memory, c.priority = -1, -1
	}
}

// neverRan reports whether an engine's error proves that the query did not run: too many sessions, or not
// accepting work (starting, stopping, draining).
func neverRan(code string) bool { return code == "53300" || code == "57P03" }

// blame says what an engine's error means ("PostgreSQL Error Codes"). own: the query itself is to blame, so
// its error is the answer, and the engine is well.
func blame(code string) (outcome cresspass.Outcome, own bool) {
	if neverRan(code) {
		return cresspass.Full, false
	}
	if len(code) == 5 {
		switch code[:2] {
		case "00", "01", "02", "03", "0A", "0B", "0F", "0L", "0P", "0Z", "20", "21", "22", "23", "24", "25",
			"26", "27",
			"28", "2B", "2D", "2F", "34", "38", "39", "3B", "3D", "3F", "40", "42", "44", "54", "55", "72",
			"P0":
			return cresspass.OK, true
		}
	}
	return cresspass.Failed, false
}
