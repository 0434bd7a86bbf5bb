package server_test

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/server"
	"cresspass/internal/standin"
)

// earlyAnswerSettings adds classes whose deadline passes before their statements end at the engine.
var earlyAnswerSettings = strings.Replace(strings.Replace(baseSettings, `cancel_timeout  = "500ms"`,
	`cancel_timeout  = "4s"`, 1), `kind "none"`, `class "brief" {
  aim      = "250ms"
  deadline = "250ms"
  effect   = "safe"
}
class "brief-write" {
  aim      = "250ms"
  deadline = "250ms"
  effect   = "unsafe"
}
kind "none"`, 1)

const (
	engineTime   = 600 * time.Millisecond // that the engine takes for the statement that is answered early
	engineLag    = 900 * time.Millisecond // before the engine carries out a cancel request
	answerWithin = 500 * time.Millisecond // of the statement's start, on a busy machine
	hangTime     = 5 * time.Second        // that an engine which hangs takes for it
)

// earlyAnswer is one way in which the dispatcher answers a statement that its engine still runs.
type earlyAnswer struct {
	way   string // "statement_timeout", "class deadline" or "cancel request"
	state string // "transaction", "temporary table", "copy" or "commit"
	next  string // what the client sends then

	hangs bool // the engine ends the statement long after cancel_timeout
}

func (a earlyAnswer) String() string { return a.way + ", " + a.state + ", " + a.next }

// wantError returns the error that takes the place of the engine's answer.
func (a earlyAnswer) wantError() string {
	switch {
	case a.state == "commit":
		return "E:08007"
	case a.way == "cancel request":
		return "E:57014"
	case a.state == "copy": // it may not be repeated
		return "E:08007"
	}
	return "E:53000"
}

// wantStatus returns the transaction status that PostgreSQL's clients expect after the error.
func (a earlyAnswer) wantStatus() string {
	if a.state == "transaction" || a.state == "copy" {
		return "Z:E"
	}
	return "Z:I"
}

// wantNext returns the answer to what the client sends next. Its own row is "D:own".
func (a earlyAnswer) wantNext() []string {
	failed := a.wantStatus() == "Z:E"
	switch {
	case a.next == "sync":
		return []string{a.wantStatus()}
	case a.next == "statement" && failed:
		return []string{"E:25P02", "Z:E"}
	case a.next == "statement":
		return []string{"D:own", "C:SELECT 1", "Z:I"}
	case a.next == "commit" && !failed:
		return []string{"C:COMMIT", "Z:I"}
	case a.next == "commit", a.next == "rollback":
		return []string{"C:ROLLBACK", "Z:I"}
	case a.next == "discard all" && failed:
		return []string{"E:25P02", "Z:E"}
	case a.next == "discard all":
		return []string{"C:DISCARD ALL", "Z:I"}
	case a.next == "pipeline" && failed:
		return []string{"E:25P02", "Z:E", "C:ROLLBACK", "Z:I"}
	case a.next == "pipeline":
		return []string{"D:own", "C:SELECT 1", "Z:I", "C:ROLLBACK", "Z:I"}
	}
	return nil // the client disconnects
}

// exchange sends messages and returns the errors, rows, command tags and statuses up to the given number of
// ReadyForQuery messages, or to the end of the connection.
func (c *wireClient) exchange(ready int, messages ...pgproto3.FrontendMessage) (seen []string) {
	for _, m := range messages {
		c.frontend.Send(m)
	}
	if c.frontend.Flush() != nil {
		return []string{"closed"}
	}
	c.conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	for ready > 0 {
		m, err := c.frontend.Receive()
		if err != nil {
			return append(seen, "closed")
		}
		switch m := m.(type) {
		case *pgproto3.ReadyForQuery:
			seen = append(seen, "Z:"+string(m.TxStatus))
			ready--
		case *pgproto3.DataRow:
			seen = append(seen, "D:"+string(m.Values[1]))
		case *pgproto3.CommandComplete:
			seen = append(seen, "C:"+string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			seen = append(seen, "E:"+m.Code)
			if m.Severity == "FATAL" {
				return append(seen, "FATAL")
			}
		case *pgproto3.CopyInResponse:
			return append(seen, "copy")
		}
	}
	return seen
}

func simpleQuery(format string, args ...any) *pgproto3.Query {
	return &pgproto3.Query{String: fmt.Sprintf(format, args...)}
}

// cancelRequest sends a cancel request for what the client runs.
func (c *wireClient) cancelRequest(addr string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	b, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return err
	}
	_, err = conn.Write(b)
	return err
}

// openState brings a session into the state, and returns the statement that will be answered early.
func (a earlyAnswer) openState(c *wireClient, name string) (slow string, err error) {
	opening := []string{"begin", "insert into t values (1)"}
	slow = "select 1"
	switch a.state {
	case "temporary table":
		opening = []string{"create temp table tmp_kept (a int)"}
	case "copy":
		slow = "copy t from stdin"
	case "commit":
		slow = "commit"
	}
	for _, text := range opening {
		if seen := c.exchange(1, simpleQuery("%s /*id='%s-open'*/", text, name)); countPrefix(seen, "E") > 0 {
			return "", fmt.Errorf("%s: %v", text, seen)
		}
	}
	milliseconds := engineTime.Milliseconds()
	if a.hangs {
		milliseconds = hangTime.Milliseconds()
	}
	slow += fmt.Sprintf(" /*id='%[1]s-slow',echo='%[1]s-slow',work_ms='%[2]d',state_ms='%[2]d',cost_ms='1'",
		name, milliseconds)
	if a.way == "class deadline" {
		slow += ",class='brief"
		if a.state == "commit" || a.state == "copy" {
			slow += "-write"
		}
		slow += "'"
	}
	return slow + "*/", nil
}

// answerEarly sends the slow statement and returns the client's answer to it.
func (a earlyAnswer) answerEarly(c *wireClient, addr, slow string) []string {
	if a.way == "cancel request" {
		timer := time.AfterFunc(answerWithin/2, func() { _ = c.cancelRequest(addr) })
		defer timer.Stop()
	}
	seen := c.exchange(1, &pgproto3.Query{String: slow})
	if len(seen) == 1 && seen[0] == "copy" {
		seen = c.exchange(1, &pgproto3.CopyData{Data: []byte("a\n")})
	}
	return seen
}

// sendNext sends what follows and returns its answer.
func (a earlyAnswer) sendNext(c *wireClient, name string) []string {
	own := fmt.Sprintf("select 1 /*id='%s-next',echo='own'*/", name)
	switch a.next {
	case "sync":
		return c.exchange(1, &pgproto3.Sync{})
	case "statement":
		return c.exchange(1, &pgproto3.Query{String: own})
	case "pipeline":
		return c.exchange(2, &pgproto3.Parse{Query: own}, &pgproto3.Bind{}, &pgproto3.Execute{},
			&pgproto3.Sync{}, &pgproto3.Parse{Query: "rollback"}, &pgproto3.Bind{}, &pgproto3.Execute{},
			&pgproto3.Sync{})
	case "close":
		c.conn.Close()
		return nil
	}
	return c.exchange(1, simpleQuery("%s /*id='%s-next'*/", a.next, name))
}

// play plays the case with a new client and reports what differs from what the client must see.
func (a earlyAnswer) play(t *testing.T, s *server.Server, name string) {
	c := dialServer(t, s)
	slow, err := a.openState(c, name)
	if err != nil {
		t.Errorf("%v: %v", a, err)
		return
	}
	if a.way == "statement_timeout" {
		scope := "local" // an error ends it, so that the next statement has the time of its class
		if a.state == "temporary table" {
			scope = "session"
		}
		c.exchange(1, simpleQuery("set %s statement_timeout = %d", scope, answerWithin.Milliseconds()/2))
	}
	begun := time.Now()
	seen := a.answerEarly(c, s.Addr(), slow)
	if want := []string{a.wantError(), a.wantStatus()}; !slices.Equal(seen, want) {
		t.Errorf("%v: answered %v, want %v", a, seen, want)
	}
	if took := time.Since(begun); took >= engineTime {
		t.Errorf("%v: answered after %v, when the engine had ended the statement", a, took)
	}
	if a.way == "statement_timeout" && a.state == "temporary table" {
		a.resetTimeout(t, c)
	}
	if seen, want := a.sendNext(c, name), a.wantNext(); !slices.Equal(seen, want) {
		t.Errorf("%v: then answered %v, want %v", a, seen, want)
	}
	if a.state == "temporary table" && a.next != "close" && a.next != "discard all" {
		if seen := c.exchange(1, simpleQuery("select 1 from tmp_kept")); countPrefix(seen, "E") > 0 {
			t.Errorf("%v: the session has lost its table: %v", a, seen)
		}
	}
}

// resetTimeout removes the session's time limit for a statement. The limit still holds for the statements
// that remove it, while the engine runs the one that was answered early.
func (a earlyAnswer) resetTimeout(t *testing.T, c *wireClient) {
	for begun := time.Now(); time.Since(begun) < 5*time.Second; {
		if seen := c.exchange(1, simpleQuery("set statement_timeout = 0")); countPrefix(seen, "E") == 0 {
			return
		}
	}
	t.Errorf("%v: the time limit was not reset", a)
}

// earlyAnswers returns all combinations.
func earlyAnswers() (all []earlyAnswer) {
	for _, way := range []string{"statement_timeout", "class deadline", "cancel request"} {
		for _, state := range []string{"transaction", "temporary table", "copy", "commit"} {
			for _, next := range []string{"statement", "commit", "rollback", "discard all", "pipeline",
				"sync", "close"} {
				all = append(all, earlyAnswer{way: way, state: state, next: next})
			}
		}
	}
	return all
}

// TestStatementAfterEarlyAnswer guards against a session that goes on one answer behind, because the
// dispatcher ended a statement that its engine still runs: it would receive the rows of the statement
// before, report a failed transaction as committed, and hand its engine connection to other clients with a
// statement out.
func TestStatementAfterEarlyAnswer(t *testing.T) {
	r, s := startDispatcher(t, 3, earlyAnswerSettings)
	for _, e := range r.Engines {
		e.SetFaults(standin.Faults{SlowCancel: engineLag})
	}
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for i := range 4 {
		readers.Go(func() { readOwnRows(t, s, fmt.Sprintf("reader-%d", i), stop) })
	}
	var plays sync.WaitGroup
	const concurrent = 12
	semaphore := make(chan struct{}, concurrent)
	for i, a := range earlyAnswers() {
		semaphore <- struct{}{}
		plays.Go(func() {
			defer func() { <-semaphore }()
			a.play(t, s, fmt.Sprintf("case%d", i))
		})
	}
	plays.Wait()
	close(stop)
	readers.Wait()
	checkEarlyAnswerRuns(t, r)
	eventually(t, "all ended", func() bool {
		st := s.Stats()
		return st.Open == 0 && st.Running == 0
	})
}

// readOwnRows reads without a transaction until stop is closed, and checks that each row is the statement's
// own.
func readOwnRows(t *testing.T, s *server.Server, name string, stop <-chan struct{}) {
	c := dialServer(t, s)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		own := fmt.Sprintf("%s-%d", name, n)
		for _, m := range c.exchange(1, simpleQuery("select 1 /*echo='%s'*/", own)) {
			if strings.HasPrefix(m, "D:") && m != "D:"+own || m == "closed" {
				t.Errorf("%s received %s", own, m)
			}
		}
	}
}

// checkEarlyAnswerRuns checks, from the engines' records, that each slow statement ran, and that no
// transaction was committed after one of its statements was answered with an error.
func checkEarlyAnswerRuns(t *testing.T, r *testbed.Testbed) {
	t.Helper()
	committed := map[string]bool{}
	for i, a := range earlyAnswers() {
		eventually(t, a.String()+": an engine has run the statement that was answered early", func() bool {
			return countRuns(r, fmt.Sprintf("case%d-slow", i)) > 0
		})
	}
	for _, e := range r.Engines {
		for _, run := range e.Runs() {
			committed[run.ID] = committed[run.ID] || run.Class == "COMMIT"
		}
	}
	for i, a := range earlyAnswers() {
		if a.wantStatus() == "Z:E" && committed[fmt.Sprintf("case%d-next", i)] {
			t.Errorf("%v: the transaction was committed after an error", a)
		}
	}
}

// TestSessionEndsOverRunningStatement guards against an engine connection that other clients use after its
// session has ended over a statement that the engine still runs, and against a COMMIT without an answer that
// is reported as rolled back.
func TestSessionEndsOverRunningStatement(t *testing.T) {
	for _, way := range []string{"engine drains", "dispatcher ends", "client disconnects"} {
		for _, state := range []string{"transaction", "temporary table", "copy", "commit"} {
			t.Run(way+", "+state, func(t *testing.T) {
				t.Parallel()
				playSessionEnd(t, way, earlyAnswer{state: state})
			})
		}
	}
}

func playSessionEnd(t *testing.T, way string, a earlyAnswer) {
	r, s := startDispatcher(t, 1, earlyAnswerSettings)
	c := dialServer(t, s)
	slow, err := a.openState(c, "ended")
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan []string, 1)
	go func() { answered <- a.answerEarly(c, s.Addr(), slow) }()
	time.Sleep(answerWithin / 5)
	switch way {
	case "engine drains":
		r.UpdateEngine(0, func(e *eds.Engine) { e.State = eds.StateDraining })
	case "dispatcher ends":
		s.TerminateAll()
	case "client disconnects":
		c.conn.Close()
	}
	seen := <-answered
	want := "E:57P01"
	if a.state == "commit" {
		want = "E:08007"
	}
	if way != "client disconnects" && (countPrefix(seen, want) == 0 || countPrefix(seen, "C:") > 0) {
		t.Errorf("answered %v, want %s", seen, want)
	}
	if way == "engine drains" {
		r.UpdateEngine(0, func(e *eds.Engine) { e.State = eds.StateActive })
	}
	other := dialServer(t, s)
	for n := range 20 {
		own := fmt.Sprintf("other-%d", n)
		for _, m := range other.exchange(1, simpleQuery("select 1 /*echo='%s'*/", own)) {
			if strings.HasPrefix(m, "D:") && m != "D:"+own {
				t.Errorf("%s received %s", own, m)
			}
		}
	}
	eventually(t, "the engine has ended the session", func() bool { return r.Engines[0].Sessions() == 0 })
}

// TestSessionOnHangingEngine guards against a session that waits without end for an engine that does not end
// a statement which was answered early. The session ends after cancel_timeout, unless nothing of it is left
// there.
func TestSessionOnHangingEngine(t *testing.T) {
	r, s := startDispatcher(t, 2, strings.Replace(earlyAnswerSettings, `"4s"`, `"500ms"`, 1))
	for _, e := range r.Engines {
		e.SetFaults(standin.Faults{SlowCancel: hangTime})
	}
	var plays sync.WaitGroup
	for state, want := range map[string][]string{
		"transaction":     {"E:08006", "FATAL"},
		"copy":            {"E:08006", "FATAL"},
		"temporary table": {"E:57P02", "FATAL"},
		"commit":          {"D:own", "C:SELECT 1", "Z:I"},
	} {
		a := earlyAnswer{way: "cancel request", state: state, next: "statement", hangs: true}
		plays.Go(func() {
			c := dialServer(t, s)
			slow, err := a.openState(c, "hangs-"+state)
			if err != nil {
				t.Errorf("%v: %v", a, err)
				return
			}
			seen := a.answerEarly(c, s.Addr(), slow)
			if !slices.Equal(seen, []string{a.wantError(), a.wantStatus()}) {
				t.Errorf("%v: answered %v, want %s", a, seen, a.wantError())
			}
			begun := time.Now()
			if seen := a.sendNext(c, "hangs-"+state); !slices.Equal(seen, want) {
				t.Errorf("%v: then answered %v, want %v", a, seen, want)
			}
			if took := time.Since(begun); took > hangTime/2 {
				t.Errorf("%v: then answered after %v, with the engine and not before", a, took)
			}
		})
	}
	plays.Wait()
}
