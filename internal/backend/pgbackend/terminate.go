package pgbackend

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cresspass"
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/protocol/pgwire"
)

// TerminateSessions ends sessions that the connections of a former dispatcher left at an engine. It first
// sends cancel requests with their secrets. Then it terminates those with the recorded PIDs, and any that are
// idle in a transaction, if their application name is one of IncarnationNames: a PID alone may belong to
// another session by now. TerminateSessions returns the number of terminated sessions ("Server Signaling
// Functions", "pg_stat_activity").
func (p *Pool) TerminateSessions(r orphanedsession.Request) (ended int, err error) {
	deadline := time.Now().Add(p.cfg.CancelTimeout + p.cfg.ConnectTimeout)
	for _, s := range r.Sessions {
		// A failed cancel request does no harm: the session is terminated below in any case.
		_ = sendCancel(p.dialer(), r.Engine, s.PID, s.Secret, deadline)
	}
	c, result := connect(p, &engine{id: cresspass.EngineID(r.Engine)})
	if c == nil {
		return 0, fmt.Errorf("engine %s: %s", r.Engine, result.Message)
	}
	defer c.close()
	c.setDeadline(deadline)
	ended, err = c.countRows(terminateStatement(r))
	if err != nil {
		err = fmt.Errorf("engine %s: %w", r.Engine, err)
	}
	return ended, err
}

// terminateStatement returns the query that terminates an engine's orphaned sessions. Its result has one row
// for each.
func terminateStatement(r orphanedsession.Request) string {
	var pids, names []string
	for _, s := range r.Sessions {
		pids = append(pids, strconv.FormatUint(uint64(s.PID), 10))
	}
	for _, name := range r.IncarnationNames {
		names = append(names, "'"+strings.ReplaceAll(name, "'", "''")+"'")
	}
	condition := "state LIKE 'idle in transaction%'"
	if len(pids) > 0 {
		condition = "(" + condition + " OR pid IN (" + strings.Join(pids, ", ") + "))"
	}
	return "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name IN (" +
		strings.Join(names, ", ") + ") AND " + condition
}

// countRows runs a statement and returns the number of rows in its result.
func (c *conn) countRows(statement string) (rows int, err error) {
	if _, err := c.netConn.Write(pgwire.AppendText(nil, 'Q', statement)); err != nil {
		return 0, err
	}
	var statementErr error
	err = c.receiveUntilReady(func(m pgwire.Message) error {
		switch m.Type {
		case 'D': // DataRow
			rows++
		case 'E': // ErrorResponse; if it is malformed, the fields read so far are used
			f, _ := pgwire.ParseFields(m.Body)
			statementErr = fmt.Errorf("%s %s", f.Code, f.Message)
		}
		return nil
	})
	if err == nil {
		err = statementErr
	}
	return rows, err
}
