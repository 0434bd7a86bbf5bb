package pgbackend

import (
	"fmt"
	"strings"
	"time"

	"cresspass"
	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/protocol/pgwire"
)

// TerminateSessions ends sessions that an earlier dispatcher's connections left at an engine. What they run
// is cancelled by their keys first; then those with the recorded PIDs, and any that rest in a transaction,
// are ended by name: a PID alone may by now be another's. It returns how many were ended. ("Server Signaling
// Functions", "pg_stat_activity")
func (p *Pool) TerminateSessions(v orphanedsession.Request) (ended int, err error) {
	limit := time.Now().Add(p.cfg.CancelTimeout + p.cfg.ConnectTimeout)
	var pids, names []string
	for _, s := range v.Sessions {
		// A cancel that is late or refused costs nothing: what follows ends the session all the same.
		sendCancel(p.dialer(), v.Engine, s.PID, s.Secret, limit)
		pids = append(pids, fmt.Sprint(s.PID))
	}
	for _, n := range v.IncarnationNames {
		names = append(names, "'"+strings.ReplaceAll(n, "'", "''")+"'")
	}
	which := "state LIKE 'idle in transaction%'"
	if len(pids) > 0 {
		which = "(" + which + " OR pid IN (" + strings.Join(pids, ", ") + "))"
	}
	c, r := connect(p, &engine{id: cresspass.EngineID(v.Engine)})
	if c == nil {
		return 0, fmt.Errorf("engine %s: %s", v.Engine, r.Message)
	}
	defer c.netConn.Close()
	c.netConn.SetDeadline(limit)
	text := "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name IN (" +
		strings.Join(names, ", ") + ") AND " + which
	if _, err := c.netConn.Write(pgwire.AppendText(nil, 'Q', text)); err != nil {
		return 0, err
	}
	buf := make([]byte, 4096)
	var refused error
	for {
		n, err := c.netConn.Read(buf)
		if err != nil {
			return ended, fmt.Errorf("engine %s: %w", v.Engine, err)
		}
		c.reader.Push(buf[:n])
		for {
			m, ok, fault := c.reader.Next()
			if fault != nil {
				return ended, fault
			}
			if !ok {
				break
			}
			switch m.Type {
			case 'D':
				ended++
			case 'E':
				f, _ := pgwire.ParseFields(m.Body)
				refused = fmt.Errorf("engine %s: %s %s", v.Engine, f.Code, f.Message)
			case 'Z':
				return ended, refused
			}
		}
		c.reader.Rest()
	}
}
