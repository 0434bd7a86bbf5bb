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

// TerminateSessions ends sessions that a former dispatcher's connections left at an engine. What they run is
// cancelled by their secrets first. Then those with the recorded PIDs, and any that are idle in a
// transaction, are ended by application name: a PID alone may have been given to another session by now. It
// returns how many were ended ("Server Signaling Functions", "pg_stat_activity").
func (p *Pool) TerminateSessions(r orphanedsession.Request) (ended int, err error) {
	deadline := time.Now().Add(p.cfg.CancelTimeout + p.cfg.ConnectTimeout)
	for _, s := range r.Sessions {
		// A cancel request that is late or refused costs nothing: what follows ends the session all the same.
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

// terminateStatement is the query that ends an engine's orphaned sessions, with a row for each.
func terminateStatement(r orphanedsession.Request) string {
	var pids, names []string
	for _, s := range r.Sessions {
		pids = append(pids, strconv.FormatUint(uint64(s.PID), 10))
	}
	for _, name := range r.IncarnationNames {
		names = append(names, "'"+strings.ReplaceAll(name, "'", "''")+"'")
	}
	which := "state LIKE 'idle in transaction%'"
	if len(pids) > 0 {
		which = "(" + which + " OR pid IN (" + strings.Join(pids, ", ") + "))"
	}
	return "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name IN (" +
		strings.Join(names, ", ") + ") AND " + which
}

// countRows runs a statement and returns the number of rows of its result.
func (c *conn) countRows(statement string) (rows int, err error) {
	if _, err := c.netConn.Write(pgwire.AppendText(nil, 'Q', statement)); err != nil {
		return 0, err
	}
	var refusal error
	err = c.receiveUntilReady(func(m pgwire.Message) error {
		switch m.Type {
		case 'D': // DataRow
			rows++
		case 'E': // ErrorResponse; of one that is malformed the fields count that could be read
			f, _ := pgwire.ParseFields(m.Body)
			refusal = fmt.Errorf("%s %s", f.Code, f.Message)
		}
		return nil
	})
	if err == nil {
		err = refusal
	}
	return rows, err
}
