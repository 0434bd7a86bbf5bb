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
	netConn   net.Conn
	pid       uint32
	secret    []byte
	idleSince time.Time // under the pool's lock

	reader pgwire.Reader
	batch  []byte // messages for the answer, gathered from one read

	activeCopy              *copyWriter           // the copy-in that runs; nil: none
	syncPending             bool                  // no Sync was sent behind the request
	hadCopyIn, copyInFailed bool                  // the attempt had a copy-in; the client had it fail
	lease                   atomic.Pointer[Lease] // of the session that is kept here; nil: none
	commandTags             []string              // of the attempt that runs

	current atomic.Pointer[Attempt] // set last by begin; cleared by the reading goroutine

	mu             sync.Mutex
	pendingCancels int  // cancel requests on the way, not known to have been taken
	awaitingCancel bool // ready for use but for a cancel on the way
	closed         bool

	// Of the attempt that runs. begin sets skip and preparing before cur; all else is the reading
	// goroutine's.
	readyToSkip  int  // ReadyForQuery messages of settings before the query's own
	failed       bool // an ErrorResponse came
	engineError  pgwire.Fields
	preparingKey string
	description  []byte // what Describe is answered with
	loadReport   []float64

	settings        *sessionparams.Set // settings in force, of those that are replayed
	gatedRequest    []byte             // the request, held until the engine has taken the settings before it
	settingReported bool               // the engine told of a setting while the attempt's query ran
	tainted         bool               // the connection is to be closed at the attempt's end

	preparedByKey map[string]*list.Element // of prepared statements by key
	preparedLRU   *list.List               // of *prepared, the last used in front
	preparedTotal int
	workMemMB     float64
	priority      int
}

type prepared struct{ key, name string }

// connect opens a connection and goes through its startup.
func connect(p *Pool, e *engine) (*conn, Result) {
	failed := func(err error) (*conn, Result) {
		return nil, Result{Outcome: cresspass.OutcomeConnectFailed, Message: err.Error()}
	}
	nc, err := p.dialWithRetry(string(e.id))
	switch {
	case oserr.IsLocal(err): // danger: it tells nothing of the engine
		return nil, Result{Outcome: cresspass.OutcomeRejected, Message: err.Error()}
	case err != nil:
		return failed(err)
	}
	c := &conn{
		pool:          p,
		engine:        e,
		netConn:       nc,
		preparedByKey: map[string]*list.Element{},
		preparedLRU:   list.New(),
		priority:      -1,
	}
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
				r := Result{Outcome: cresspass.OutcomeConnectFailed, SQLState: f.Code, Message: f.Message}
				if provesNotRun(f.Code) {
					r.Outcome = cresspass.OutcomeRejected
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

// start sends an attempt's request. The connection is this attempt's until its ReadyForQuery. It returns
// false where the connection has closed, so that nothing was sent.
func (c *conn) start(a *Attempt) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	if a.done.Load() { // withdrawn before it was sent
		c.mu.Unlock()
		c.releaseUnused(a)
		return true
	}
	// Danger: since the module decided, the attempt may have waited for this connection, and its client, its
	// engine or its time may have gone meanwhile.
	if outcome, ok := a.mayStart(); !ok {
		c.mu.Unlock()
		c.releaseUnused(a)
		a.end(notStarted(outcome))
		return true
	}
	c.readyToSkip, c.preparingKey, c.syncPending, c.hadCopyIn, c.copyInFailed = 0, "", false, false, false
	c.gatedRequest, c.settingReported, c.tainted, c.commandTags = nil, false, false, nil
	request := c.buildRequest(a)
	c.current.Store(a)
	c.mu.Unlock()
	a.conn.Store(c)
	c.write(request)
	if a.done.Load() { // Danger: it was withdrawn between the check and here, and nobody has cancelled it
		c.cancelAttempt(a)
	}
	return true
}

// recheckMayStart asks once more whether an attempt may begin whose request was held back. Where not, the
// attempt ends and the connection, on which nothing of it was sent, is free.
func (c *conn) recheckMayStart(a *Attempt) bool {
	outcome, ok := a.mayStart()
	if ok {
		return true
	}
	kept := a.Lease != nil && a.Lease.connection() == c // by its session
	c.mu.Lock()
	c.current.Store(nil)
	c.awaitingCancel = !kept && c.pendingCancels > 0
	free := !c.awaitingCancel && !kept
	c.mu.Unlock()
	if free {
		c.pool.putIdle(c)
	}
	a.end(notStarted(outcome))
	return false
}

// notStarted is the result of an attempt of which nothing was sent.
func notStarted(outcome cresspass.Outcome) Result {
	return Result{Outcome: outcome, Message: "not begun: what was decided no longer held"}
}

// releaseUnused gives back a connection on which nothing was sent; that of a session stays with it.
func (c *conn) releaseUnused(a *Attempt) {
	if a.Lease == nil || a.Lease.connection() != c {
		c.pool.putIdle(c)
	}
}

func (c *conn) write(request []byte) {
	if len(request) > smallWrite {
		go c.netConn.Write(request) // a failure shows in the reading goroutine
	} else {
		c.netConn.Write(request)
	}
}

// buildRequest builds what goes to the engine: settings that differ, then the query. Where the session's own
// settings differ, the query waits until the engine has taken them. Danger: run without them, it would give
// other answers without a word.
func (c *conn) buildRequest(a *Attempt) []byte {
	if a.Response == nil {
		return pgwire.AppendText(nil, 'Q', "")
	}
	var out []byte
	var set []string
	if a.MemoryMB != c.workMemMB {
		set = append(set, "RESET work_mem")
		if a.MemoryMB > 0 {
			set[0] = "SET work_mem = '" + strconv.Itoa(max(1, int(a.MemoryMB))) + "MB'"
		}
		c.workMemMB = a.MemoryMB
	}
	if a.Priority >= 0 && a.Priority != c.priority {
		set = append(set, "SET cresspass.priority = "+strconv.Itoa(a.Priority))
		c.priority = a.Priority
	}
	if len(set) > 0 {
		out = pgwire.AppendText(out, 'Q', strings.Join(set, "; "))
		c.readyToSkip++
	}
	k := a.Query
	if k.OutsideTransaction && k.Settings != c.settings {
		diff := sessionparams.Diff(c.settings, k.Settings)
		if c.settings = k.Settings; len(diff) > 0 {
			out = pgwire.AppendText(out, 'Q', strings.Join(diff, "; "))
			c.readyToSkip++
			c.gatedRequest = c.appendQuery(nil, k)
			return out
		}
	}
	return c.appendQuery(out, k)
}

// appendQuery builds the messages of the query itself.
func (c *conn) appendQuery(out []byte, k *enginequery.Query) []byte {
	if k.Kind == enginequery.Simple {
		return pgwire.AppendText(out, 'Q', k.Text)
	}
	if k.ContinuePortal { // its portal stands on this connection
		return pgwire.AppendSync(pgwire.AppendExecute(out, k.Portal, k.MaxRows))
	}
	name := ""
	out, name = c.appendPrepare(out, k)
	if k.Portal != "" { // one of that name may be left; to close none is no error
		out = pgwire.AppendTarget(out, 'C', 'P', k.Portal)
	}
	switch k.Kind {
	case enginequery.DescribeStatement:
		out = pgwire.AppendTarget(out, 'D', 'S', name)
	case enginequery.DescribePortal:
		out = pgwire.AppendBind(out, k.Portal, name, k.BindBody)
		out = pgwire.AppendTarget(out, 'D', 'P', k.Portal)
	default:
		out = pgwire.AppendBind(out, k.Portal, name, k.BindBody)
		if k.WithDescribe {
			out = pgwire.AppendTarget(out, 'D', 'P', k.Portal)
		}
		out = pgwire.AppendExecute(out, k.Portal, k.MaxRows)
	}
	if c.syncPending = k.MayCopyIn(); c.syncPending {
		return pgwire.AppendFlush(out)
	}
	return pgwire.AppendSync(out)
}

// appendPrepare names a statement on this connection, and has it parsed there where it is new.
func (c *conn) appendPrepare(out []byte, k *enginequery.Query) ([]byte, string) {
	key := k.PrepareKey()
	if el := c.preparedByKey[key]; el != nil {
		c.preparedLRU.MoveToFront(el)
		return out, el.Value.(*prepared).name
	}
	if c.preparedLRU.Len() >= c.pool.cfg.MaxPrepared {
		old := c.preparedLRU.Remove(c.preparedLRU.Back()).(*prepared)
		delete(c.preparedByKey, old.key)
		out = pgwire.AppendTarget(out, 'C', 'S', old.name)
	}
	c.preparedTotal++
	v := &prepared{key, "c" + strconv.Itoa(c.preparedTotal)}
	c.preparedByKey[key] = c.preparedLRU.PushFront(v)
	c.preparingKey = key
	return pgwire.AppendParse(out, v.name, k.Text, []byte(k.ParameterTypes)), v.name
}

func (c *conn) forgetPrepared(key string) {
	if el := c.preparedByKey[key]; el != nil {
		c.preparedLRU.Remove(el)
		delete(c.preparedByKey, key)
	}
}

// cancelAttempt asks the engine to cancel an attempt that was disowned. PostgreSQL's cancel names a
// connection, not a query, and is not answered. Danger: it may strike whatever runs on the connection when
// it is taken. So the connection is not used again until the engine has closed the cancel's own connection.
func (c *conn) cancelAttempt(a *Attempt) {
	c.mu.Lock()
	if c.current.Load() != a || c.closed || c.pendingCancels > 0 {
		c.mu.Unlock()
		return
	}
	c.pendingCancels++
	c.mu.Unlock()
	p := c.pool
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.background.Add(1)
	p.mu.Unlock()
	go func() {
		defer p.background.Done()
		limit := time.Now().Add(p.cfg.CancelTimeout)
		if err := sendCancel(p.dialer(), string(c.engine.id), c.pid, c.secret, limit); err != nil {
			c.netConn.Close() // it is not known whether the cancel will still be taken
			return
		}
		c.mu.Lock()
		c.pendingCancels--
		parked := c.awaitingCancel && c.pendingCancels == 0
		c.awaitingCancel = c.awaitingCancel && !parked
		c.mu.Unlock()
		if parked {
			p.putIdle(c)
			return
		}
		// An engine that took the cancel and does not end the query keeps its connection no longer than this.
		t := time.NewTimer(time.Until(limit))
		defer t.Stop()
		select {
		case <-t.C:
		case <-p.stop:
		}
		if c.current.Load() == a {
			c.netConn.Close()
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

// readLoop takes what the engine sends until the connection ends.
func (c *conn) readLoop() {
	buf := make([]byte, 16<<10)
	var err error
	for err == nil {
		var n int
		if n, err = c.netConn.Read(buf); n == 0 {
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
			if err = c.handleMessage(m); err != nil {
				break
			}
		}
		c.reader.Rest()
		c.flushBatch()
	}
	c.netConn.Close()
	c.finishCopyIn()
	c.mu.Lock()
	c.closed = true
	a := c.current.Swap(nil)
	c.mu.Unlock()
	c.pool.removeConn(c)
	if l := c.lease.Swap(nil); l != nil && l.connection() == c {
		if a != nil { // nothing of a session is sent twice: the loss of its connection is its end
			a.OnConnectionLost(true)
			a.end(
				Result{
					Outcome:          cresspass.OutcomeConnectionReset,
					ResponseFinished: true,
					Message: fmt.Sprintf("engine %s: %v",
						c.engine.id, err),
				},
			)
			a = nil
		}
		l.release()
		l.OnLost()
	}
	if a != nil {
		c.failAttempt(
			a,
			Result{
				Outcome:  cresspass.OutcomeConnectionReset,
				SQLState: c.engineError.Code,
				Message: fmt.Sprintf("engine %s: %v",
					c.engine.id, err),
			},
		)
	}
}

// flushBatch passes gathered messages on, and waits where the client is slow to take them.
func (c *conn) flushBatch() {
	if len(c.batch) == 0 {
		return
	}
	if a := c.current.Load(); a != nil && a.Response != nil {
		if a.Response.Write(a.Number, c.batch) {
			a.Throttle()
		}
	}
	if c.batch = c.batch[:0]; cap(c.batch) > 256<<10 {
		c.batch = nil
	}
}

// failAttempt ends an attempt of which no whole answer came.
func (c *conn) failAttempt(a *Attempt, r Result) {
	if a.Response != nil {
		if r.ResponseFinished = a.Response.FailAttempt(a.Number, a.FailureVerdict()); r.ResponseFinished &&
			r.Outcome.NeverRan() {
			r.Outcome = cresspass.OutcomeFailed // rows went out, so it ran, whatever its error says
		}
	}
	a.end(r)
}

func (c *conn) forward(m pgwire.Message) {
	c.batch = pgwire.Append(c.batch, m.Type, m.Body)
}

// handleMessage takes one message of the engine.
func (c *conn) handleMessage(m pgwire.Message) error {
	a := c.current.Load()
	switch m.Type {
	case 'S':
		name, value, err := pgwire.ParseStatus(m.Body)
		if err == nil && string(name) == "cresspass.load" {
			c.loadReport = c.parseLoadReport(string(value))
		} else if a != nil && a.Response != nil && c.readyToSkip == 0 {
			c.settingReported = true
			c.forward(m)
		}
		return err
	case 'N':
		return c.handleNotice(a, m)
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
		if c.readyToSkip > 0 {
			if c.readyToSkip == 1 && c.gatedRequest != nil { // the session's own settings are the last
				c.failed, c.tainted, c.engineError = true, true, f
				if _, own := classifySQLState(f.Code); own {
					c.batch = pgwire.Append(c.batch, 'E', m.Body)
				}
			}
			return nil // one of ours was not taken; the query runs without it
		}
		c.failed, c.engineError = true, f
		if c.preparingKey != "" || f.Code == "26000" || f.Code == "0A000" {
			// not parsed, lost by the engine, or planned for tables that have changed
			c.forgetPrepared(a.Query.PrepareKey())
		}
		if f.Severity == "FATAL" || f.Severity == "PANIC" {
			return fmt.Errorf("%s %s: %s", f.Severity, f.Code, f.Message)
		}
		c.copyInFailed = c.finishCopyIn() || c.copyInFailed
		if _, own := c.classifyError(f.Code); own {
			c.batch = pgwire.Append(c.batch, 'E', m.Body)
		}
		return c.sendPendingSync()
	}
	if a == nil {
		return fmt.Errorf("message %q without a query", m.Type)
	}
	if m.Type == 'Z' {
		if len(m.Body) != 1 {
			return fmt.Errorf("ReadyForQuery of %d bytes", len(m.Body))
		}
		if c.readyToSkip > 0 {
			if c.readyToSkip--; c.readyToSkip > 0 || c.gatedRequest == nil {
				return nil
			}
			request := c.gatedRequest
			c.gatedRequest = nil
			if !c.failed && !a.done.Load() {
				// Danger: the engine may have taken long for the settings.
				if !c.recheckMayStart(a) {
					return nil
				}
				c.write(request)
				return nil
			}
			c.tainted = true // nothing of the query was sent, and what is in force is in doubt
			c.failed = true
		}
		return c.handleReady(a, m.Body[0])
	}
	if c.readyToSkip > 0 { // of a setting
		return nil
	}
	switch m.Type {
	case 'C', 'I', 's':
		c.copyInFailed = c.finishCopyIn() || c.copyInFailed
		if err := c.sendPendingSync(); err != nil {
			return err
		}
	case 'G':
		if c.activeCopy != nil {
			return fmt.Errorf("CopyInResponse in copy-in mode")
		}
		c.startCopyIn(a, m)
		return nil
	}
	switch m.Type {
	case '1':
		c.preparingKey = ""
	case '2', '3':
	case 't', 'T', 'n':
		if a.Response != nil && a.Query.Kind == enginequery.DescribeStatement {
			c.description = pgwire.Append(c.description, m.Type, m.Body)
		}
		c.forward(m)
	case 'C':
		if a.Stateful {
			if tag, err := pgwire.ParseTag(m.Body); err == nil {
				c.commandTags = append(c.commandTags, string(tag))
				c.applyCommandTag(string(tag))
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

// sendPendingSync sends the Sync that was kept back.
func (c *conn) sendPendingSync() error {
	if !c.syncPending {
		return nil
	}
	c.syncPending = false
	_, err := c.netConn.Write(pgwire.AppendSync(nil))
	return err
}

// handleNotice takes a NoticeResponse: progress for the module, or one for the client.
func (c *conn) handleNotice(a *Attempt, m pgwire.Message) error {
	f, err := pgwire.ParseFields(m.Body)
	if err != nil || a == nil || a.Response == nil {
		return err
	}
	note := map[string]cresspass.NoteType{"CP001": cresspass.NoteFractionDone, "CP002": cresspass.NoteSpilled,
		"CP003": cresspass.NoteBlocked}[f.Code]
	if note == 0 {
		if c.readyToSkip == 0 {
			c.forward(m)
		}
		return nil
	}
	if v, err := strconv.ParseFloat(f.Message, 64); err == nil && !a.done.Load() {
		a.OnProgress(note, v)
	}
	return nil
}

func (c *conn) parseLoadReport(v string) []float64 {
	parts := strings.Split(v, ",")
	if len(parts) != c.pool.cfg.LoadReportFields {
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

// handleReady ends the attempt at its ReadyForQuery. The connection is put back first, as the client's next
// query may follow at once.
func (c *conn) handleReady(a *Attempt, status byte) error {
	took := max(time.Since(a.startedAt), 1)
	r := Result{Outcome: cresspass.OutcomeOK, ServiceTime: took, LoadReport: c.loadReport}
	own := true
	if c.failed {
		r.SQLState, r.Message = c.engineError.Code, c.engineError.Message
		r.Outcome, own = c.classifyError(c.engineError.Code)
		if own {
			// Danger: an error is quick; it must neither teach the fit nor call the engine sick.
			r.ServiceTime = 0
		}
	}
	if c.hadCopyIn {
		r.ServiceTime = 0 // Danger: how long a COPY lasts is its client's doing; it must not teach the fit.
	}
	failed, batch, shape, fault := c.failed, c.batch, c.description, c.engineError
	c.batch, c.failed, c.engineError, c.description, c.loadReport = nil, false, pgwire.Fields{}, nil, nil
	var taint error
	elsewhere := failed && !own && a.Query != nil && !a.Query.Sticky // the module may try it elsewhere
	keep, foul := c.settleSession(a, status, elsewhere)
	c.mu.Lock()
	c.current.Store(nil)
	switch {
	case foul:
		taint = errors.New("what the query left on the connection is not known")
		c.closed = true
	case keep:
	case status != 'I':
		// Danger: the text left a transaction open; the next query on this connection would run inside it.
		taint = fmt.Errorf("the query left transaction state %q", status)
		c.closed = true
	case c.pendingCancels > 0:
		c.awaitingCancel = true
	}
	idle := !c.awaitingCancel && taint == nil && !keep
	c.mu.Unlock()
	if idle {
		c.pool.putIdle(c)
	}
	switch {
	case a.Response == nil:
		a.end(r)
	case own:
		if a.OnDescribed != nil {
			if failed {
				a.OnDescribed(a.Query.PrepareKey(), nil)
			} else if shape != nil {
				a.OnDescribed(a.Query.PrepareKey(), shape)
			}
		}
		if r.ResponseFinished = a.Response.Finish(a.Number, batch, failed); !r.ResponseFinished {
			r.Outcome = cresspass.OutcomeCancelled // it was disowned, and reported by who did so
		}
		a.end(r)
	case a.Stateful && !elsewhere:
		// The engine's own word ends the statement: in a session nothing is tried elsewhere.
		r.ResponseFinished = a.Response.Finish(a.Number, pgwire.AppendFields(batch, 'E', &fault), true)
		a.end(r)
	default:
		c.failAttempt(a, r)
	}
	return taint
}

// classifyError is blame in the light of what the attempt was: an engine that ends a copy because its client
// asked for that is well.
func (c *conn) classifyError(code string) (outcome cresspass.Outcome, own bool) {
	if c.copyInFailed && code == "57014" {
		return cresspass.OutcomeOK, true
	}
	return classifySQLState(code)
}

// settleSession finds out what a query left on the connection, and whether its session stays on it. foul
// says that nobody knows: no other may have the connection.
func (c *conn) settleSession(a *Attempt, status byte, elsewhere bool) (keep, foul bool) {
	foul = c.tainted
	if a.Response == nil || !a.Stateful && !c.settingReported {
		return false, foul
	}
	stay := Disposition{}
	// Danger: a query that was answered by other hands, or is tried elsewhere, may have left a table, a lock
	// or a setting here that no session knows to be its own.
	if !elsewhere && a.Response.Commit(a.Number) {
		stay = a.Settle(QueryEnd{Engine: c.engine.id, PID: c.pid, Secret: c.secret, TransactionStatus: status,
			CommandTags: c.commandTags, SettingReported: c.settingReported, Settings: c.settings})
		c.settings = stay.Settings
	}
	foul = foul || !stay.Known
	if keep = stay.Keep && !foul; keep && !a.Lease.acquire(c) {
		keep, foul = false, true // its client went meanwhile
	}
	if keep {
		c.lease.Store(a.Lease)
	} else if l := c.lease.Load(); l != nil && !foul { // a foul one is lost to its session at its close
		c.lease.Store(nil)
		l.release()
	}
	return keep, foul
}

// applyCommandTag drops what is known of the connection and a statement has undone.
func (c *conn) applyCommandTag(tag string) {
	if tag == "DISCARD ALL" || tag == "DEALLOCATE ALL" {
		clear(c.preparedByKey)
		c.preparedLRU.Init()
	}
	if tag == "DISCARD ALL" || tag == "RESET" {
		c.workMemMB, c.priority = -1, -1
	}
}

// provesNotRun reports whether an engine's error proves that the query did not run: too many sessions, or not
// accepting work (starting, stopping, draining).
func provesNotRun(code string) bool { return code == "53300" || code == "57P03" }

// classifySQLState says what an engine's error means ("PostgreSQL Error Codes"). own: the query itself is to
// blame, so its error is the answer, and the engine is well.
func classifySQLState(code string) (outcome cresspass.Outcome, own bool) {
	if provesNotRun(code) {
		return cresspass.OutcomeRejected, false
	}
	if len(code) == 5 {
		switch code[:2] {
		case "00", "01", "02", "03", "0A", "0B", "0F", "0L", "0P", "0Z", "20", "21", "22", "23", "24", "25",
			"26", "27",
			"28", "2B", "2D", "2F", "34", "38", "39", "3B", "3D", "3F", "40", "42", "44", "54", "55", "72",
			"P0":
			return cresspass.OutcomeOK, true
		}
	}
	return cresspass.OutcomeFailed, false
}
