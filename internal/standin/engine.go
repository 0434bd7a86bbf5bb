// Package standin has stand-ins for what the dispatcher talks to: an engine that speaks PostgreSQL (by
// pgproto3, a reading of the protocol other than ours) around the engine model, and an endpoint discovery
// service. Both can be told to fail in the ways that real ones do.
package standin

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/simulation/enginemodel"
)

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	Listen        string
	Kind          enginemodel.Kind
	Cold          bool // it starts cold
	Seed          uint64
	ProgressEvery time.Duration       // 0: no notes
	ReportEvery   time.Duration       // load reports are so old; 0: none are given
	Window        time.Duration       // repeats of a keyed load are dropped for so long
	Group         *DeduplicationGroup // engines that drop repeats together; nil: this one alone
}

// Faults are what goes wrong with an engine. The zero value: nothing.
type Faults struct {
	Slow         float64       // so many times slower; 0: 1
	Hang         bool          // takes queries and answers none
	LoseShare    float64       // part of the answers that never come
	ErrorShare   float64       // part of the queries that fail at once
	DieAfterRows int           // the next answer to reach so many rows kills the engine
	Garbage      bool          // answers are no protocol
	Cut          float64       // part of the answers cut off in the middle by a closed connection
	Full         bool          // turns all queries away with 53300
	SlowCancel   time.Duration // cancel requests are taken so late
	LateReports  time.Duration // load reports are so much older
}

// Run is one query that came to an engine.
type Run struct {
	ID, Class, Key string
	Text           string
	Begun, Ended   time.Time
	Outcome        string // done, dropped (a repeat), cancelled, failed, lost, full, died; "" while it runs
	GrantMB        float64
	Priority       int
}

// DeduplicationGroup remembers which keyed loads ran, for all engines that share it.
type DeduplicationGroup struct {
	mu   sync.Mutex
	seen map[string]time.Time
	ran  map[string][]time.Time
}

// NewDeduplicationGroup returns a group that has seen nothing.
func NewDeduplicationGroup() *DeduplicationGroup {
	return &DeduplicationGroup{seen: map[string]time.Time{}, ran: map[string][]time.Time{}}
}

// first reports whether a load is no repeat within the window, and remembers it.
func (g *DeduplicationGroup) first(id string, now time.Time, window time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, ok := g.seen[id]; ok && now.Sub(at) < window {
		return false
	}
	g.seen[id] = now
	g.ran[id] = append(g.ran[id], now)
	return true
}

// Ran returns when each load had its effect.
func (g *DeduplicationGroup) Ran() map[string][]time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string][]time.Time{}
	for k, v := range g.ran {
		out[k] = append([]time.Time(nil), v...)
	}
	return out
}

// Engine is a stand-in engine.
type Engine struct {
	cfg  EngineConfig
	addr string

	mu       sync.Mutex
	up       bool
	listener net.Listener
	epoch    time.Time
	started  time.Time
	model    *enginemodel.Model
	ended    map[*enginemodel.Running]chan string
	timer    *time.Timer
	faults   Faults
	random   *rand.Rand
	conns    map[uint32]*engineConn
	nextPID  uint32
	runs     []*Run
	load     string
	loadAt   time.Time

	copyBytes int
	locks     map[string]*engineConn // advisory ones of sessions, by key
	work      sync.WaitGroup
}

// NewEngine starts an engine.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	if cfg.Group == nil {
		cfg.Group = NewDeduplicationGroup()
	}
	e := &Engine{cfg: cfg, addr: cfg.Listen, random: rand.New(rand.NewPCG(cfg.Seed, 7))}
	return e, e.start(cfg.Cold)
}

// Addr is where it listens.
func (e *Engine) Addr() string { return e.addr }

// Started is when its process started.
func (e *Engine) Started() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

func (e *Engine) start(cold bool) error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr, e.listener, e.up = ln.Addr().String(), ln, true
	e.started = time.Now()
	e.epoch = e.started
	e.model = enginemodel.New(e.cfg.Kind, 0, cold)
	e.ended = map[*enginemodel.Running]chan string{}
	e.conns = map[uint32]*engineConn{}
	e.locks = map[string]*engineConn{}
	e.faults = Faults{}
	e.work.Add(1)
	go e.accept(ln)
	return nil
}

// Restart brings a dead engine back under its address, as a new and cold process.
func (e *Engine) Restart() error {
	e.mu.Lock()
	up := e.up
	e.mu.Unlock()
	if up {
		return errors.New("standin: engine " + e.addr + " is up")
	}
	return e.start(true)
}

// Crash ends the engine at once: connections break, work is lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crash()
	e.mu.Unlock()
}

func (e *Engine) crash() {
	if !e.up {
		return
	}
	e.up = false
	e.listener.Close()
	for _, c := range e.conns {
		if t, ok := c.netConn.(*net.TCPConn); ok {
			t.SetLinger(0) // a crash resets
		}
		c.netConn.Close()
		select { // who waits for a cancel is let go
		case c.cancel <- struct{}{}:
		default:
		}
	}
	for r, ch := range e.ended {
		delete(e.ended, r)
		ch <- "died"
	}
	if e.timer != nil {
		e.timer.Stop()
	}
}

// Close ends the engine and waits for its goroutines.
func (e *Engine) Close() {
	e.Crash()
	e.work.Wait()
}

// SetFaults puts faults in force, in place of those before.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	now := e.now()
	slow := f.Slow
	if slow == 0 {
		slow = 1
	}
	e.finish(e.model.Advance(now))
	e.model.Slow(now, slow)
	e.model.Halt(now, f.Hang)
	e.scheduleNext()
}

// Up reports whether it runs, and whether it was pushed over.
func (e *Engine) Up() (up, fallen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up, e.model.Fallen()
}

// Flush makes it forget what it kept warm.
func (e *Engine) Flush() {
	e.mu.Lock()
	e.model.Flush()
	e.mu.Unlock()
}

// Sessions is the number of connections with a transaction open, or a temporary table.
func (e *Engine) Sessions() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		if c.heldLocks.Load() {
			n++
		}
	}
	return n
}

// Threads is the number of threads that run in it now.
func (e *Engine) Threads() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Threads()
}

// Runs returns what came to it since it was made, over all its processes.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.runs))
	for i, r := range e.runs {
		out[i] = *r
	}
	return out
}

func (e *Engine) now() time.Duration { return time.Since(e.epoch) }

// finish hands out ends of jobs. The caller holds e.mu.
func (e *Engine) finish(over []*enginemodel.Running) {
	for _, r := range over {
		if ch := e.ended[r]; ch != nil {
			delete(e.ended, r)
			ch <- "done"
		}
	}
}

// scheduleNext sets the timer for the next end. The caller holds e.mu.
func (e *Engine) scheduleNext() {
	if e.timer != nil {
		e.timer.Stop()
	}
	if next, ok := e.model.Next(); ok && e.up {
		model := e.model
		e.timer = time.AfterFunc(max(next-e.now(), 0), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.up && e.model == model {
				e.finish(e.model.Advance(e.now()))
				e.scheduleNext()
			}
		})
	}
}

func (e *Engine) accept(ln net.Listener) {
	defer e.work.Done()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if !e.up {
			e.mu.Unlock()
			nc.Close()
			return
		}
		e.nextPID++
		c := &engineConn{engine: e, netConn: nc, pid: e.nextPID, secret: binary.BigEndian.AppendUint32(nil,
			e.random.Uint32()),
			statements: map[string]string{}, cancel: make(chan struct{}, 1), priority: 1, tx: 'I',
			portals: map[string]*enginePortal{}, local: map[string]string{},
			settings: map[string]string{}, temps: map[string]bool{}}
		e.conns[c.pid] = c
		e.work.Add(1)
		e.mu.Unlock()
		go func() {
			defer e.work.Done()
			c.serve()
			nc.Close()
			e.unlock(c, "")
			e.mu.Lock()
			if e.conns[c.pid] == c {
				delete(e.conns, c.pid)
			}
			e.mu.Unlock()
		}()
	}
}

// loadReport is the load report, refreshed at its pace.
func (e *Engine) loadReport() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ReportEvery <= 0 {
		return ""
	}
	if now := time.Now(); now.Sub(e.loadAt) >= e.cfg.ReportEvery+e.faults.LateReports || e.load == "" {
		e.loadAt = now
		e.load = fmt.Sprintf("%d,%.3f", len(e.model.Jobs()), e.model.Granted())
	}
	return e.load
}

// chance draws whether something befalls a share of all.
func (e *Engine) chance(share float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return share > 0 && e.random.Float64() < share
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// engineConn is one connection to the engine.
type engineConn struct {
	engine          *Engine
	netConn         net.Conn
	backend         *pgproto3.Backend
	pid             uint32
	secret          []byte
	cancel          chan struct{}
	statements      map[string]string
	portals         map[string]*enginePortal
	grant           float64
	priority        int
	reportedLoad    string
	bound           *enginePortal // that runs; nil: a simple query
	limited         *enginePortal // whose answer is cut after limit rows
	limit           int
	tx              byte              // I, T or E
	settings        map[string]string // by SET, out of what the dispatcher sets
	temps           map[string]bool   // temporary tables, by name
	local           map[string]string // what SET LOCAL has covered, until the transaction's end
	points          []savepoint       // savepoints of the open transaction
	saved           *savepoint        // what a rollback brings back; nil: no transaction
	skip            bool
	simple          bool        // a simple query runs
	inTx            atomic.Bool // a transaction is open
	applicationName string      // application_name
	heldLocks       atomic.Bool // a transaction is open, or a temporary table there
}

// enginePortal is a portal with what is left of its answer.
type enginePortal struct {
	text, first string
	run         bool
	remaining   int // rows that are left
	tags        map[string]string
	formats     []int16  // of the rows
	params      [][]byte // as text
}

var errCut = errors.New("standin: connection is cut")

func (c *engineConn) serve() {
	c.backend = pgproto3.NewBackend(c.netConn, c.netConn)
	for {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.netConn.Write([]byte{'N'}); err != nil {
				return
			}
			continue
		case *pgproto3.CancelRequest:
			c.engine.handleCancel(m)
			return
		case *pgproto3.StartupMessage:
			c.engine.mu.Lock()
			c.applicationName = m.Parameters["application_name"]
			c.engine.mu.Unlock()
		}
		break
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0 (stand-in)"})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if c.backend.Flush() != nil {
		return
	}
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return
		}
		if err := c.handleMessage(m); err != nil {
			return
		}
	}
}

func (e *Engine) handleCancel(m *pgproto3.CancelRequest) {
	if f := e.currentFaults(); f.SlowCancel > 0 {
		time.Sleep(f.SlowCancel)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.conns[m.ProcessID]; c != nil && string(c.secret) == string(m.SecretKey) {
		select {
		case c.cancel <- struct{}{}:
		default:
		}
	}
}

func (c *engineConn) ready() error {
	if load := c.engine.loadReport(); load != "" && load != c.reportedLoad {
		c.reportedLoad = load
		c.backend.Send(&pgproto3.ParameterStatus{Name: "cresspass.load", Value: load})
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.tx})
	return c.backend.Flush()
}

func (c *engineConn) handleMessage(m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Sync); ok {
		if c.skip = false; c.tx == 'I' {
			clear(c.portals)
		}
		return c.ready()
	}
	if c.skip {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		if err := c.handleQuery(m.String); err != nil {
			return err
		}
		c.skip = false
		return c.ready()
	case *pgproto3.Parse:
		if strings.Contains(m.Query, "syntax error") {
			c.fail("42601", "syntax error, as the text asks for")
			return nil
		}
		c.statements[m.Name] = m.Query
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		text, ok := c.statements[m.PreparedStatement]
		if !ok {
			c.fail("26000", "prepared statement "+m.PreparedStatement+" does not exist")
			return nil
		}
		p := &enginePortal{text: text}
		if len(m.Parameters) > 0 {
			p.first = string(m.Parameters[0])
		}
		p.formats = append(p.formats, m.ResultFormatCodes...)
		for _, v := range m.Parameters { // bytes of the message do not outlive it
			p.params = append(p.params, slices.Clone(v))
		}
		c.portals[m.DestinationPortal] = p
		c.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		text, formats := "", []int16(nil)
		if p := c.portals[m.Name]; m.ObjectType == 'P' && p != nil {
			text, formats = p.text, p.formats
		}
		if m.ObjectType == 'S' {
			text = c.statements[m.Name]
			c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: parameterTypes(text)})
		}
		if returnsRows(text) {
			c.backend.Send(rowDescription(tableFor(text), formats))
		} else {
			c.backend.Send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		p := c.portals[m.Portal]
		if p == nil {
			c.fail("34000", "portal "+m.Portal+" does not exist")
			return nil
		}
		if p.run {
			c.fetch(p, int(m.MaxRows))
			return nil
		}
		if all := sqlscan.Statements(p.text); len(all) == 0 {
			c.backend.Send(&pgproto3.EmptyQueryResponse{})
			return nil
		} else if len(all) == 1 && c.applySessionStatement(&all[0], p.text, p.first) {
			return nil
		}
		p.run, c.bound = true, p
		defer func() { c.bound = nil }()
		if m.MaxRows > 0 {
			c.limited, c.limit = p, int(m.MaxRows)
			defer func() { c.limited = nil }()
		}
		return c.runStatement(p.text, p.first, false)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.statements, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return c.backend.Flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail: // of a copy that ended before
	case *pgproto3.Terminate:
		return errCut
	default:
		c.fail("0A000", fmt.Sprintf("the stand-in does not know %T", m))
	}
	return nil
}

func (c *engineConn) fail(code, message string) {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code,
		Message: message})
	c.skip = true
	if c.tx == 'T' {
		c.tx = 'E'
	}
}

// applySessionStatement carries out statements that are about the session, without work. It returns false
// for others. In a failed transaction all but its end is refused, as PostgreSQL does (25P02).
func (c *engineConn) applySessionStatement(st *sqlscan.Statement, text, first string) (mine bool) {
	tag := ""
	// state_ms is the time that a statement about the session takes
	time.Sleep(time.Duration(numberTag(sqlscan.Tags(text), "state_ms", 0) * float64(time.Millisecond)))
	before := maps.Clone(c.settings)
	defer func() {
		c.reportParameters(before)
		c.inTx.Store(c.tx != 'I')
		c.heldLocks.Store(c.tx != 'I' || len(c.temps) > 0)
	}()
	switch w := st.Words; w[0] {
	case "BEGIN", "START":
		if tag = "BEGIN"; c.tx == 'I' {
			c.saved, c.points = &savepoint{maps.Clone(c.settings), maps.Clone(c.temps)}, nil
		}
		c.tx = 'T'
	case "COMMIT", "END":
		if tag = "COMMIT"; c.tx == 'E' {
			tag = "ROLLBACK"
			c.rollBack()
		}
		for name, v := range c.local {
			if c.settings[name] = v; v == "" {
				delete(c.settings, name)
			}
		}
		clear(c.local)
		c.tx, c.saved = 'I', nil
	case "ROLLBACK", "ABORT":
		tag = "ROLLBACK"
		if w[1] == "TO" {
			if c.tx == 'I' {
				c.fail("25P01", "ROLLBACK TO SAVEPOINT can only be used in transaction blocks")
				return true
			}
			if len(c.points) == 0 {
				c.fail("3B001", "savepoint does not exist")
				return true
			}
			p := c.points[len(c.points)-1]
			c.settings, c.temps, c.tx = maps.Clone(p.settings), maps.Clone(p.temps), 'T'
		} else {
			c.rollBack()
			c.tx = 'I'
		}
	default:
		if c.tx == 'E' {
			c.fail("25P02", "current transaction is aborted, commands ignored until end of transaction block")
			return true
		}
		switch w[0] {
		case "SAVEPOINT", "RELEASE":
			if c.tx == 'I' {
				c.fail("25P01", w[0]+" can only be used in transaction blocks")
				return true
			}
			if tag = w[0]; tag == "SAVEPOINT" {
				c.points = append(c.points, savepoint{maps.Clone(c.settings), maps.Clone(c.temps)})
			}
		case "LISTEN", "UNLISTEN", "DEALLOCATE":
			tag = w[0]
			if w[0] == "DEALLOCATE" && w[1] == "ALL" {
				tag = "DEALLOCATE ALL"
			}
		case "SET":
			name, value, _ := sessionparams.ParseAssignment(st)
			if value = strings.Trim(value, "'"); value == "wrong" {
				c.fail("22023", "invalid value for parameter "+name)
				return true
			}
			if w[1] == "LOCAL" { // until the end of the transaction; outside one it does nothing
				if _, ok := c.local[name]; c.tx != 'I' {
					if !ok {
						c.local[name] = c.settings[name]
					}
					c.settings[name] = value
				}
				tag = "SET"
				break
			}
			delete(c.local, name)
			c.settings[name] = value
			if strings.EqualFold(value, "default") {
				delete(c.settings, name)
			}
			tag = "SET"
		case "RESET":
			if ch, ok := sessionparams.ChangeOf(st); ok && ch.Name != "" {
				delete(c.settings, ch.Name)
			} else {
				clear(c.settings)
			}
			tag = "RESET"
		case "DISCARD":
			if w[1] == "ALL" {
				if c.tx != 'I' {
					c.fail("25001", "DISCARD ALL cannot run inside a transaction block")
					return true
				}
				clear(c.settings)
				c.engine.unlock(c, "")
			}
			if w[1] == "ALL" || w[1] == "TEMP" || w[1] == "TEMPORARY" {
				clear(c.temps)
			}
			tag = strings.TrimSpace("DISCARD " + w[1])
		case "CREATE":
			if w[1] != "TEMP" && w[1] != "TEMPORARY" {
				return false
			}
			c.temps[strings.ToLower(w[3])] = true
			tag = "CREATE TABLE"
		case "SHOW":
			if c.simple {
				c.backend.Send(defaultDescription())
			}
			c.backend.Send(&pgproto3.DataRow{Values: [][]byte{nil,
				[]byte(c.settings[strings.ToLower(strings.TrimSpace(st.Text[4:]))])}})
			tag = "SHOW"
		default:
			if done := c.applyFunctions(st.Text); done {
				return true
			}
			_, args, config := strings.Cut(st.Text, "set_config('")
			if f := strings.Split(args, "'"); config && len(f) > 3 {
				if f[2] == "wrong" {
					c.fail("22023", "invalid value for parameter "+f[0])
					return true
				}
				c.settings[f[0]] = f[2]
			}
			if strings.Contains(st.Text, "make_temp(") { // functions that leave something
				c.temps["tmp_made"] = true
			}
			if strings.Contains(st.Text, "sneaky_set(") { // one that the protocol shows
				c.settings["timezone"] = "Mars"
			}
			for i, v := range w { // a temporary table is seen by its own session only
				if v == "FROM" && i+1 < len(w) && strings.HasPrefix(w[i+1], "TMP_") &&
					!c.temps[strings.ToLower(w[i+1])] {
					c.fail("42P01", "relation "+strings.ToLower(w[i+1])+" does not exist")
					return true
				}
			}
			return false
		}
	}
	c.engine.recordSessionState(text, first, tag)
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return true
}

// applyFunctions carries out calls of functions about sessions. It returns true where the statement has been
// answered: one that waited for a lock and was cancelled, or one that ends other sessions.
func (c *engineConn) applyFunctions(text string) bool {
	call := func(name string) (arg string, ok bool) {
		_, rest, ok := strings.Cut(text, name+"(")
		arg, _, _ = strings.Cut(rest, ")")
		return arg, ok
	}
	if key, ok := call("pg_advisory_lock"); ok && !c.engine.lock(c, key) {
		c.fail("57014", "canceling statement due to user request")
		return true
	}
	if key, ok := call("pg_advisory_unlock"); ok {
		c.engine.unlock(c, key)
	}
	if _, ok := call("pg_terminate_backend"); !ok {
		return false
	}
	names, rest, _ := strings.Cut(text, "AND")
	ended := c.engine.terminate(func(o *engineConn) bool {
		_, pids, _ := strings.Cut(rest, "pid IN (")
		pids, _, _ = strings.Cut(pids, ")")
		named := false
		for _, pid := range strings.Split(pids, ", ") {
			named = named || pid == strconv.Itoa(int(o.pid))
		}
		return o != c && o.applicationName != "" && strings.Contains(names, "'"+o.applicationName+"'") &&
			(o.inTx.Load() || named)
	})
	c.backend.Send(defaultDescription())
	for range ended {
		c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("0"), []byte("t")}})
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT " + strconv.Itoa(ended))})
	return true
}

// terminate closes the connections that which names.
func (e *Engine) terminate(which func(*engineConn) bool) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		if which(c) {
			n++
			c.netConn.Close()
			select {
			case c.cancel <- struct{}{}:
			default:
			}
		}
	}
	return n
}

// lock takes a session's advisory lock, and waits for it. It returns false where it was cancelled meanwhile.
func (e *Engine) lock(c *engineConn, key string) bool {
	for {
		e.mu.Lock()
		owner := e.locks[key]
		if owner == nil || owner == c {
			e.locks[key] = c
			e.mu.Unlock()
			return true
		}
		e.mu.Unlock()
		select {
		case <-c.cancel:
			return false
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// unlock gives back a lock of a session; key "": all of them.
func (e *Engine) unlock(c *engineConn, key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, owner := range e.locks {
		if owner == c && (key == "" || k == key) {
			delete(e.locks, k)
		}
	}
}

// savepoint is what a transaction's rollback brings back.
type savepoint struct {
	settings map[string]string
	temps    map[string]bool
}

func (c *engineConn) rollBack() {
	clear(c.local)
	if c.saved != nil {
		c.settings, c.temps, c.saved = c.saved.settings, c.saved.temps, nil
	}
}

// reportParameters tells of settings that have changed, as PostgreSQL does of those that it reports.
func (c *engineConn) reportParameters(before map[string]string) {
	for _, name := range []string{"timezone", "datestyle"} {
		if v := c.settings[name]; v != before[name] {
			c.backend.Send(&pgproto3.ParameterStatus{Name: sessionparams.Reported(name), Value: v})
		}
	}
}

// recordSessionState notes a statement about the session among the runs, so that it is known where it went.
func (e *Engine) recordSessionState(text, first, tag string) {
	tags := sqlscan.Tags(text)
	id := tags["id"]
	if id == "" {
		id, _, _ = strings.Cut(first, ";")
	}
	now := time.Now()
	e.mu.Lock()
	e.runs = append(e.runs, &Run{ID: id, Class: tag, Text: text, Begun: now, Ended: now, Outcome: "done"})
	e.mu.Unlock()
}

// returnsRows reports whether a text returns rows.
func returnsRows(text string) bool {
	all := sqlscan.Statements(text)
	return len(all) > 0 && !all[0].Writes
}

func defaultDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte("n"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1},
		{Name: []byte("value"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

// handleQuery runs a simple query, or obeys settings.
func (c *engineConn) handleQuery(text string) error {
	all := sqlscan.Statements(text)
	if len(all) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if w := all[0].Words; w[0] == "SET" && (w[1] == "WORK_MEM" || w[1] == "CRESSPASS") ||
		w[0] == "RESET" && w[1] == "WORK_MEM" {
		for _, s := range all {
			c.applySetting(s)
			c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(s.Words[0])})
		}
		return nil
	}
	if strings.Contains(text, "syntax error") {
		c.fail("42601", "syntax error, as the text asks for")
		return nil
	}
	c.simple = true
	defer func() { c.simple = false }()
	before, open := savepoint{maps.Clone(c.settings), maps.Clone(c.temps)}, c.tx != 'I'
	defer func() { // an error takes back what the text did, where it is a transaction of its own
		if c.skip && !open && c.tx == 'I' && all[0].Words[0] != "BEGIN" {
			c.settings, c.temps = before.settings, before.temps
		}
	}()
	for i := range all {
		if c.skip {
			return nil // an error ends the whole text
		}
		if c.applySessionStatement(&all[i], text, "") {
			continue
		}
		if err := c.runStatement(text, "", true); err != nil {
			return err
		}
	}
	return nil
}

func (c *engineConn) applySetting(s sqlscan.Statement) {
	_, value, _ := strings.Cut(s.Text, "=")
	value = strings.Trim(strings.TrimSpace(value), "'")
	switch {
	case s.Words[0] == "RESET":
		c.grant = 0
	case s.Words[1] == "WORK_MEM":
		c.grant, _ = strconv.ParseFloat(strings.TrimSuffix(value, "MB"), 64)
	case s.Words[2] == "PRIORITY":
		c.priority, _ = strconv.Atoi(value)
	}
}

func numberTag(tags map[string]string, name string, otherwise float64) float64 {
	if v, err := strconv.ParseFloat(tags[name], 64); err == nil {
		return v
	}
	return otherwise
}

// runStatement carries out a statement: what it needs stands in its comment (work_ms, threads, need_mb, rows,
// row_bytes, tables, loads), its name in the tag id or, where there is none, in its first parameter.
func (c *engineConn) runStatement(text, first string, describe bool) error {
	e := c.engine
	tags := sqlscan.Tags(text)
	id := tags["id"]
	if id == "" {
		id, _, _ = strings.Cut(first, ";")
	}
	for _, pair := range strings.Split(first, ";") { // a parameter "id;work_ms=20;rows=3" says the same
		if k, v, ok := strings.Cut(pair, "="); ok {
			if tags == nil {
				tags = map[string]string{}
			}
			tags[k] = v
		}
	}
	n := int(numberTag(tags, "rows", 1))
	r := &Run{ID: id, Class: tags["class"], Key: tags["key"], Text: text, Begun: time.Now(), GrantMB: c.grant,
		Priority: c.priority}
	f := e.currentFaults()
	job := enginemodel.Job{Work: numberTag(tags, "work_ms", 2) / 1000, Threads: numberTag(tags, "threads", 1),
		NeedMB: numberTag(tags, "need_mb", 0), GrantMB: c.grant, Priority: c.priority, Tables: tags["tables"],
		Loads: tags["loads"] != ""}
	ch := make(chan string, 1)
	select { // a cancel for what ran before is none for this
	case <-c.cancel:
	default:
	}
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return errCut
	}
	if job.Work > 0 {
		e.runs = append(e.runs, r)
	}
	repeat := job.Loads && !f.Full && !e.cfg.Group.first(id, r.Begun, e.cfg.Window)
	if repeat {
		job.Work = 0.001
	}
	var running *enginemodel.Running
	if job.Work == 0 && !f.Full && !f.Hang && !repeat { // nothing to model: measurements of the way itself
		e.mu.Unlock()
		return c.sendAnswer(
			text,
			n,
			int(numberTag(tags, "row_bytes", 20)),
			"done",
			describe,
			func(string) {},
			tags,
		)
	}
	if !f.Full {
		e.finish(e.model.Advance(e.now()))
		if running = e.model.Start(e.now(), job); running != nil {
			e.ended[running] = ch
		}
		if e.model.Fallen() {
			e.crash()
			e.mu.Unlock()
			return errCut
		}
		e.scheduleNext()
	}
	e.mu.Unlock()
	outcome := func(v string) {
		e.mu.Lock()
		r.Ended, r.Outcome = time.Now(), v
		e.mu.Unlock()
	}
	if running == nil {
		outcome("full")
		c.fail("53300", "the engine takes no more queries")
		return nil
	}
	if e.chance(f.ErrorShare) {
		e.startJob(running)
		outcome("failed")
		c.fail("58000", "the engine failed")
		return nil
	}
	how, err := c.awaitJob(running, ch)
	if err != nil {
		outcome("died")
		return err
	}
	if how == "cancelled" {
		outcome(how)
		c.fail("57014", "canceling statement due to user request")
		return nil
	}
	if e.chance(f.LoseShare) {
		outcome("lost")
		<-c.cancel // the answer never comes; the connection stays as it is until somebody cancels
		c.fail("57014", "canceling statement due to user request")
		return nil
	}
	if repeat {
		how = "dropped"
	}
	return c.sendAnswer(text, n, int(numberTag(tags, "row_bytes", 20)), how, describe, outcome, tags)
}

// startJob takes a job out of the model.
func (e *Engine) startJob(r *enginemodel.Running) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.ended, r)
	e.finish(e.model.Advance(e.now()))
	e.model.End(e.now(), r)
	e.scheduleNext()
}

// awaitJob waits for a job's end, with notes of its progress.
func (c *engineConn) awaitJob(r *enginemodel.Running, ch chan string) (string, error) {
	var notes <-chan time.Time
	if every := c.engine.cfg.ProgressEvery; every > 0 {
		t := time.NewTicker(every)
		defer t.Stop()
		notes = t.C
	}
	for {
		select {
		case how := <-ch:
			if how == "died" {
				return how, errCut
			}
			return how, nil
		case <-c.cancel:
			c.engine.startJob(r)
			return "cancelled", nil
		case <-notes:
			if c.engine.currentFaults().Hang {
				continue // one that hangs says nothing
			}
			c.engine.mu.Lock()
			c.engine.finish(c.engine.model.Advance(c.engine.now()))
			share, spill, waits := r.Done(), r.SpillMB(), r.Waits()
			c.engine.mu.Unlock()
			note := func(code string, v float64) {
				c.backend.Send(&pgproto3.NoticeResponse{Severity: "NOTICE", SeverityUnlocalized: "NOTICE",
					Code:    code,
					Message: strconv.FormatFloat(v, 'f', 3, 64)})
			}
			note("CP001", share)
			if spill > 0 {
				note("CP002", spill)
			}
			if waits {
				note("CP003", 2)
			}
			if c.backend.Flush() != nil {
				c.engine.startJob(r)
				return "died", errCut
			}
		}
	}
}

// sendAnswer sends rows and the end of a statement.
func (c *engineConn) sendAnswer(text string, n, bytes int, how string, describe bool, outcome func(string),
	tags map[string]string) error {
	e := c.engine
	f := e.currentFaults()
	if f.Garbage {
		outcome("garbage")
		c.netConn.Write([]byte("\x00\xff!!! this is no protocol \x00\x01\x02\x03"))
		return errCut
	}
	cut := -1
	if e.chance(f.Cut) {
		cut = n / 2
	}
	tag := "SELECT " + strconv.Itoa(n)
	if up := strings.ToUpper(text); strings.HasPrefix(up, "COPY") && strings.Contains(up, "FROM STDIN") {
		lines, err := c.copyIn(tags)
		switch {
		case err != nil:
			outcome("died")
			return err
		case lines < 0:
			outcome("failed")
			return nil
		}
		outcome(how)
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY " + strconv.Itoa(lines))})
		return nil
	}
	if !returnsRows(text) {
		n, tag = 0, "INSERT 0 1"
		if how == "dropped" {
			tag = "INSERT 0 0"
		}
	}
	table := tableFor(text)
	var formats []int16
	var params [][]byte
	if p := c.bound; p != nil {
		formats, params = p.formats, p.params
	}
	if table != nil && tags["columns"] != "" {
		params = nil
	}
	if describe && n > 0 {
		c.backend.Send(rowDescription(table, formats))
	}
	var typed []*pgproto3.DataRow
	if table != nil && n > 0 {
		var err error
		if typed, err = table.encoded(formats, params); err != nil {
			outcome("failed")
			c.fail("22P02", err.Error())
			return nil
		}
		if tags["columns"] == "" {
			n = len(typed)
			tag = "SELECT " + strconv.Itoa(n)
		}
	}
	value := []byte(strings.Repeat("v", max(bytes, 0)))
	if echo := tags["echo"]; echo != "" {
		value = []byte(echo)
	}
	if p := c.limited; p != nil && n > c.limit {
		p.remaining, p.tags = n-c.limit, map[string]string{"value": string(value)}
		n, tag = c.limit, ""
	}
	copies := strings.HasPrefix(strings.ToUpper(strings.TrimSpace(text)), "COPY")
	if copies {
		n = int(numberTag(tags, "rows", 1))
		c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
	}
	sent := 0
	for i := range n {
		if copies {
			c.backend.Send(&pgproto3.CopyData{Data: []byte(strconv.Itoa(i) + "\t" + string(value) + "\n")})
			if sent += len(value) + 20; sent > 8<<10 {
				if sent = 0; c.backend.Flush() != nil {
					outcome("died")
					return errCut
				}
			}
			continue
		}
		if typed != nil {
			c.backend.Send(typed[i%len(typed)])
		} else {
			c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(strconv.Itoa(i)), value}})
		}
		if sent += len(value) + 20; sent > 8<<10 {
			sent = 0
			if c.backend.Flush() != nil {
				outcome("died")
				return errCut
			}
		}
		if f.DieAfterRows > 0 && i+1 == f.DieAfterRows {
			c.backend.Flush()
			time.Sleep(20 * time.Millisecond) // the rows get out before the crash resets the connection
			outcome("died")
			e.Crash()
			return errCut
		}
		if i == cut {
			c.backend.Flush()
			outcome("cut")
			return errCut
		}
	}
	if cut >= 0 && n == 0 {
		outcome("cut")
		return errCut
	}
	if copies {
		c.backend.Send(&pgproto3.CopyDone{})
		tag = "COPY " + strconv.Itoa(n)
	}
	if outcome(how); tag == "" {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// copyIn takes the data of a COPY FROM STDIN and returns its lines, -1 where it failed. Tags: bad_line, at
// which it fails by itself; chunk_ms, the time that each message takes.
func (c *engineConn) copyIn(tags map[string]string) (lines int, err error) {
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if err := c.backend.Flush(); err != nil {
		return 0, err
	}
	bad, pause := int(numberTag(tags, "bad_line", 0)), numberTag(tags, "chunk_ms", 0)
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return 0, err
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			c.engine.addCopied(len(m.Data))
			lines += bytes.Count(m.Data, []byte("\n"))
			time.Sleep(time.Duration(pause * float64(time.Millisecond)))
			if bad > 0 && lines >= bad {
				c.fail("22P04", "a line of the copy is bad, as the text asks for")
				return -1, nil
			}
		case *pgproto3.CopyDone:
			return lines, nil
		case *pgproto3.CopyFail:
			c.fail("57014", "COPY from stdin failed: "+m.Message)
			return -1, nil
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			c.fail("08P01", fmt.Sprintf("%T during COPY from stdin", m))
			return -1, nil
		}
	}
}

func (e *Engine) addCopied(n int) {
	e.mu.Lock()
	e.copyBytes += n
	e.mu.Unlock()
}

// Copied is the number of bytes of copies that it has taken.
func (e *Engine) Copied() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.copyBytes
}

// fetch goes on with a portal's answer.
func (c *engineConn) fetch(p *enginePortal, limit int) {
	n := p.remaining
	if limit > 0 {
		n = min(n, limit)
	}
	p.remaining -= n
	for i := range n {
		c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(strconv.Itoa(i)), []byte(p.tags["value"])}})
	}
	if p.remaining > 0 {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT " + strconv.Itoa(n))})
}
