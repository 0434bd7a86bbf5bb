package standin

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/protocol/sqlscan"
)

const (
	allLocks         = "" // as the key of unlock: every advisory lock of the session
	lockPollInterval = 5 * time.Millisecond
)

// executeSessionFunctions carries out function calls in a query that change or read the session. The result
// is answered if the calls have answered the query, and notAboutSession if the query still has to be run.
func (c *engineConn) executeSessionFunctions(st *sqlscan.Statement) (tag string, result sessionResult) {
	if c.applyLockFunctions(st.Text) || c.terminateBackends(st.Text) || !c.applySetConfig(st.Text) {
		return "", answered
	}
	if strings.Contains(st.Text, "make_temp(") { // stands for a function that leaves a temporary table
		c.temporaryTables["tmp_made"] = true
	}
	if strings.Contains(st.Text, "sneaky_set(") { // stands for a function that sets a reported parameter
		c.settings["timezone"] = "Mars"
	}
	if name := c.missingTemporaryTable(st.Words); name != "" {
		c.fail(codeUndefinedTable, "relation "+name+" does not exist")
		return "", answered
	}
	return "", notAboutSession
}

// functionArgument returns the argument list of a function's first call in a text; ok is false where there is
// no call.
func functionArgument(text, name string) (arg string, ok bool) {
	_, rest, ok := strings.Cut(text, name+"(")
	arg, _, _ = strings.Cut(rest, ")")
	return arg, ok
}

// applyLockFunctions acquires and releases advisory locks. It returns true where the wait for one was
// cancelled.
func (c *engineConn) applyLockFunctions(text string) (canceled bool) {
	if key, ok := functionArgument(text, "pg_advisory_lock"); ok && !c.engine.lock(c, key) {
		c.fail(codeQueryCanceled, messageCanceled)
		return true
	}
	if key, ok := functionArgument(text, "pg_advisory_unlock"); ok {
		c.engine.unlock(c, key)
	}
	return false
}

// terminateBackends carries out the dispatcher's query that terminates sessions: those with a listed
// application name that are in a transaction or whose process id is listed. It returns false for other texts.
func (c *engineConn) terminateBackends(text string) bool {
	if _, ok := functionArgument(text, "pg_terminate_backend"); !ok {
		return false
	}
	names, condition, _ := strings.Cut(text, "AND")
	_, list, _ := strings.Cut(condition, "pid IN (")
	list, _, _ = strings.Cut(list, ")")
	pids := strings.Split(list, ", ")
	terminated := c.engine.terminate(func(other *engineConn) bool {
		return other != c && other.applicationName != "" &&
			strings.Contains(names, "'"+other.applicationName+"'") &&
			(other.inTx.Load() || slices.Contains(pids, strconv.Itoa(int(other.pid))))
	})
	c.backend.Send(defaultDescription())
	for range terminated {
		c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("0"), []byte("t")}})
	}
	c.complete("SELECT " + strconv.Itoa(terminated))
	return true
}

// terminate closes the connections that match and returns their number.
func (e *Engine) terminate(matches func(*engineConn) bool) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		if matches(c) {
			n++
			c.netConn.Close()
			c.signalCancel()
		}
	}
	return n
}

// applySetConfig carries out set_config('name', 'value', ...). It returns false where it rejected the value.
func (c *engineConn) applySetConfig(text string) bool {
	_, args, found := strings.Cut(text, "set_config('")
	parts := strings.Split(args, "'")
	if !found || len(parts) <= 3 {
		return true
	}
	name, value := parts[0], parts[2]
	if value == invalidValue {
		c.rejectParameter(name)
		return false
	}
	c.settings[name] = value
	return true
}

// missingTemporaryTable returns the temporary table that a query reads and its session does not have; "":
// none. A table whose name begins with tmp_ counts as temporary.
func (c *engineConn) missingTemporaryTable(words [4]string) string {
	for i, word := range words {
		if word != "FROM" || i+1 == len(words) {
			continue
		}
		name := words[i+1]
		if strings.HasPrefix(name, "TMP_") && !c.temporaryTables[strings.ToLower(name)] {
			return strings.ToLower(name)
		}
	}
	return ""
}

// lock acquires an advisory lock for a session and waits while another has it. It returns false where the
// wait was cancelled.
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
		case <-time.After(lockPollInterval):
		}
	}
}

// unlock releases one advisory lock of a session or, for the key allLocks, all of them.
func (e *Engine) unlock(c *engineConn, key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, owner := range e.locks {
		if owner == c && (key == allLocks || k == key) {
			delete(e.locks, k)
		}
	}
}
