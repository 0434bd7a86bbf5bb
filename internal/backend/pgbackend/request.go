package pgbackend

import (
	"strconv"
	"strings"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/pgwire"
)

// unknownSetting stands for a work_mem or priority that may no longer be active on the connection. It
// differs from every requested value, so the setting is sent again.
const unknownSetting = -1

// preparedStatement is a statement prepared on the connection, with its PrepareKey and its name there.
type preparedStatement struct{ key, name string }

// buildRequest returns the bytes to send to the engine: the settings that differ, then the query. If replayed
// settings of the session differ, the query waits in gatedQuery until the engine has accepted them: without
// them the query would silently give different results.
func (c *conn) buildRequest(a *Attempt) []byte {
	if a.Response == nil { // a health check
		return pgwire.AppendText(nil, 'Q', "")
	}
	var out []byte
	if statements := c.resourceStatements(a); len(statements) > 0 {
		out = pgwire.AppendText(out, 'Q', strings.Join(statements, "; "))
		c.readyToSkip++
	}
	q := a.Query
	if !q.OutsideTransaction || q.Settings == c.settings {
		return c.appendQuery(out, q)
	}
	statements := sessionparams.Diff(c.settings, q.Settings)
	c.settings = q.Settings
	if len(statements) == 0 {
		return c.appendQuery(out, q)
	}
	out = pgwire.AppendText(out, 'Q', strings.Join(statements, "; "))
	c.readyToSkip++
	c.gatedQuery = q
	return out
}

// resourceStatements returns the statements that set the attempt's memory and priority if they differ from
// the active values of the connection.
func (c *conn) resourceStatements(a *Attempt) (statements []string) {
	if a.MemoryMB != c.workMemMB {
		statement := "RESET work_mem"
		if a.MemoryMB > 0 {
			statement = "SET work_mem = '" + strconv.Itoa(max(1, int(a.MemoryMB))) + "MB'"
		}
		statements = append(statements, statement)
		c.workMemMB = a.MemoryMB
	}
	if a.Priority >= 0 && a.Priority != c.priority {
		statements = append(statements, "SET cresspass.priority = "+strconv.Itoa(a.Priority))
		c.priority = a.Priority
	}
	return statements
}

// appendQuery appends the messages of the query itself.
func (c *conn) appendQuery(out []byte, q *enginequery.Query) []byte {
	if q.Kind == enginequery.Simple {
		return pgwire.AppendText(out, 'Q', q.Text)
	}
	if q.ContinuePortal {
		return pgwire.AppendSync(pgwire.AppendExecute(out, q.Portal, q.MaxRows))
	}
	out, name := c.appendPrepare(out, q)
	if q.Portal != "" { // a portal of that name may exist; closing a missing one is not an error
		out = pgwire.AppendTarget(out, 'C', 'P', q.Portal)
	}
	switch q.Kind {
	case enginequery.DescribeStatement:
		out = pgwire.AppendTarget(out, 'D', 'S', name)
	case enginequery.DescribePortal:
		out = pgwire.AppendBind(out, q.Portal, name, q.BindBody)
		out = pgwire.AppendTarget(out, 'D', 'P', q.Portal)
	default:
		out = pgwire.AppendBind(out, q.Portal, name, q.BindBody)
		if q.WithDescribe {
			out = pgwire.AppendTarget(out, 'D', 'P', q.Portal)
		}
		out = pgwire.AppendExecute(out, q.Portal, q.MaxRows)
	}
	if c.syncPending = q.MayCopyIn(); c.syncPending {
		return pgwire.AppendFlush(out)
	}
	return pgwire.AppendSync(out)
}

// appendPrepare returns the name of the query's statement on this connection, and appends a Parse if the
// statement is new there.
func (c *conn) appendPrepare(out []byte, q *enginequery.Query) ([]byte, string) {
	key := q.PrepareKey()
	if element := c.preparedByKey[key]; element != nil {
		c.preparedLRU.MoveToFront(element)
		return out, element.Value.(*preparedStatement).name
	}
	if c.preparedLRU.Len() >= c.pool.cfg.MaxPrepared {
		oldest := c.preparedLRU.Remove(c.preparedLRU.Back()).(*preparedStatement)
		delete(c.preparedByKey, oldest.key)
		out = pgwire.AppendTarget(out, 'C', 'S', oldest.name)
	}
	c.preparedTotal++
	p := &preparedStatement{key, "c" + strconv.Itoa(c.preparedTotal)}
	c.preparedByKey[key] = c.preparedLRU.PushFront(p)
	c.preparingKey = key
	return pgwire.AppendParse(out, p.name, q.Text, []byte(q.ParameterTypes)), p.name
}

// dropPrepared drops a prepared statement, so that its next use parses it again.
func (c *conn) dropPrepared(key string) {
	if element := c.preparedByKey[key]; element != nil {
		c.preparedLRU.Remove(element)
		delete(c.preparedByKey, key)
	}
}
