package rulecheck

// engineConn is one connection of a dispatcher to an engine.
type engineConn struct {
	engine string
	pid    uint32
}

// checkSessions checks the statements that have the tag session: all of one session run on one engine
// connection, and between the first and the last of them that connection runs no other statement.
func (c *checker) checkSessions(v *Verdict) {
	last := c.checkSessionConns(v)
	holders := map[engineConn]string{}
	for i, a := range c.log.Attempts {
		conn := engineConn{a.Engine, a.PID}
		if holder := holders[conn]; holder != "" && a.Session != holder {
			v.addViolation("connection %d of %s: %s came while session %s was kept there", a.PID, a.Engine,
				a.ID, holder)
		}
		if a.Session == "" {
			continue
		}
		holders[conn] = a.Session
		if last[a.Session] == i {
			delete(holders, conn)
		}
	}
}

// checkSessionConns checks that each session stays on one connection, and returns for each session the
// index of its last attempt in the log.
func (c *checker) checkSessionConns(v *Verdict) (last map[string]int) {
	conns := map[string]engineConn{}
	last = map[string]int{}
	for i, a := range c.log.Attempts {
		if a.Session == "" {
			continue
		}
		v.Checked++
		conn := engineConn{a.Engine, a.PID}
		if before, ok := conns[a.Session]; ok && before != conn {
			v.addViolation("session %s: %s on connection %d of %s, before it on %d of %s", a.Session, a.ID,
				a.PID, a.Engine, before.pid, before.engine)
		}
		conns[a.Session], last[a.Session] = conn, i
	}
	return last
}
