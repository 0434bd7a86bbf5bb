package standin

import (
	"maps"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/sqlscan"
)

// invalidValue is the parameter value that SET and set_config reject.
const invalidValue = "wrong"

// savepoint holds the session state that a rollback restores.
type savepoint struct {
	settings        map[string]string
	temporaryTables map[string]bool
}

func (c *engineConn) savepoint() savepoint {
	return savepoint{maps.Clone(c.settings), maps.Clone(c.temporaryTables)}
}

// sessionResult is how far a statement that may be about the session has been handled.
type sessionResult int

const (
	notAboutSession sessionResult = iota // the statement still has to be run as a query
	completed                            // CommandComplete is still to be sent
	answered                             // an error or another complete answer was sent
)

// applySessionStatement carries out a statement about the session, which takes no work in the engine model.
// It returns false for any other statement.
func (c *engineConn) applySessionStatement(st *sqlscan.Statement, text, firstParameter string) bool {
	// The tag state_ms is the time that a statement about the session takes.
	time.Sleep(time.Duration(numberTag(sqlscan.Tags(text), "state_ms", 0) * float64(time.Millisecond)))
	before := maps.Clone(c.settings)
	defer func() {
		c.reportParameters(before)
		c.inTx.Store(c.txStatus != txIdle)
		c.hasSessionState.Store(c.txStatus != txIdle || len(c.temporaryTables) > 0)
	}()
	tag, result := c.executeSessionStatement(st)
	if result == completed {
		c.engine.recordSessionStatement(text, firstParameter, tag)
		c.complete(tag)
	}
	return result != notAboutSession
}

// executeSessionStatement selects the handler by the statement's first words. In a failed transaction it
// rejects all statements except those that end it, as PostgreSQL does (25P02).
func (c *engineConn) executeSessionStatement(st *sqlscan.Statement) (tag string, result sessionResult) {
	words := st.Words
	switch words[0] {
	case "BEGIN", "START":
		return c.begin(), completed
	case "COMMIT", "END":
		return c.commit(), completed
	case "ROLLBACK", "ABORT":
		if words[1] == "TO" {
			return c.rollBackToSavepoint()
		}
		c.rollBack()
		c.txStatus = txIdle
		return "ROLLBACK", completed
	}
	if c.txStatus == txFailed {
		c.fail(codeInFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block")
		return "", answered
	}
	switch words[0] {
	case "SAVEPOINT", "RELEASE":
		return c.setSavepoint(words[0])
	case "LISTEN", "UNLISTEN":
		return words[0], completed
	case "DEALLOCATE":
		if words[1] == "ALL" {
			return "DEALLOCATE ALL", completed
		}
		return "DEALLOCATE", completed
	case "SET":
		return c.set(st)
	case "RESET":
		return c.reset(st), completed
	case "DISCARD":
		return c.discard(words[1])
	case "CREATE":
		return c.createTemporaryTable(words)
	case "SHOW":
		return c.show(st), completed
	}
	return c.executeSessionFunctions(st)
}

func (c *engineConn) begin() string {
	if c.txStatus == txIdle {
		before := c.savepoint()
		c.beforeTx, c.savepoints = &before, nil
	}
	c.txStatus = txActive
	return "BEGIN"
}

func (c *engineConn) commit() string {
	tag := "COMMIT"
	if c.txStatus == txFailed {
		tag = "ROLLBACK"
		c.rollBack()
	}
	for name, value := range c.overridden { // SET LOCAL ends with the transaction
		if c.settings[name] = value; value == "" {
			delete(c.settings, name)
		}
	}
	clear(c.overridden)
	c.txStatus, c.beforeTx = txIdle, nil
	return tag
}

func (c *engineConn) rollBack() {
	clear(c.overridden)
	if c.beforeTx != nil {
		c.settings, c.temporaryTables, c.beforeTx = c.beforeTx.settings, c.beforeTx.temporaryTables, nil
	}
}

// rollBackToSavepoint restores the state of the last savepoint; it ignores the savepoint's name.
func (c *engineConn) rollBackToSavepoint() (tag string, result sessionResult) {
	if c.txStatus == txIdle {
		c.fail(codeNoActiveTransaction, "ROLLBACK TO SAVEPOINT can only be used in transaction blocks")
		return "", answered
	}
	if len(c.savepoints) == 0 {
		c.fail(codeInvalidSavepoint, "savepoint does not exist")
		return "", answered
	}
	last := c.savepoints[len(c.savepoints)-1]
	c.settings, c.temporaryTables, c.txStatus = maps.Clone(last.settings),
		maps.Clone(last.temporaryTables), txActive
	return "ROLLBACK", completed
}

// setSavepoint carries out SAVEPOINT and RELEASE. RELEASE does not remove the savepoint, because nothing
// depends on its removal.
func (c *engineConn) setSavepoint(word string) (tag string, result sessionResult) {
	if c.txStatus == txIdle {
		c.fail(codeNoActiveTransaction, word+" can only be used in transaction blocks")
		return "", answered
	}
	if word == "SAVEPOINT" {
		c.savepoints = append(c.savepoints, c.savepoint())
	}
	return word, completed
}

func (c *engineConn) set(st *sqlscan.Statement) (tag string, result sessionResult) {
	name, value, _ := sessionparams.ParseAssignment(st)
	value = strings.Trim(value, "'")
	if value == invalidValue {
		c.rejectParameter(name)
		return "", answered
	}
	if st.Words[1] == "LOCAL" {
		c.setLocal(name, value)
		return "SET", completed
	}
	delete(c.overridden, name)
	c.settings[name] = value
	if strings.EqualFold(value, "default") {
		delete(c.settings, name)
	}
	return "SET", completed
}

// setLocal sets a parameter until the end of the transaction; outside one it has no effect.
func (c *engineConn) setLocal(name, value string) {
	if c.txStatus == txIdle {
		return
	}
	if _, ok := c.overridden[name]; !ok {
		c.overridden[name] = c.settings[name]
	}
	c.settings[name] = value
}

func (c *engineConn) rejectParameter(name string) {
	c.fail(codeInvalidParameterValue, "invalid value for parameter "+name)
}

// reset carries out RESET. Like SET, it overrides a SET LOCAL of the same transaction: the default stays
// after COMMIT.
func (c *engineConn) reset(st *sqlscan.Statement) string {
	if change, ok := sessionparams.ChangeOf(st); ok && change.Name != "" {
		delete(c.settings, change.Name)
		delete(c.overridden, change.Name)
	} else {
		clear(c.settings)
		clear(c.overridden)
	}
	return "RESET"
}

func (c *engineConn) discard(what string) (tag string, result sessionResult) {
	if what == "ALL" {
		if c.txStatus != txIdle {
			c.fail(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
			return "", answered
		}
		clear(c.settings)
		c.engine.unlock(c, allLocks)
	}
	if what == "ALL" || what == "TEMP" || what == "TEMPORARY" {
		clear(c.temporaryTables)
	}
	return strings.TrimSpace("DISCARD " + what), completed
}

func (c *engineConn) createTemporaryTable(words [4]string) (tag string, result sessionResult) {
	if words[1] != "TEMP" && words[1] != "TEMPORARY" {
		return "", notAboutSession
	}
	c.temporaryTables[strings.ToLower(words[3])] = true
	return "CREATE TABLE", completed
}

func (c *engineConn) show(st *sqlscan.Statement) string {
	if c.inSimpleQuery {
		c.backend.Send(defaultDescription())
	}
	name := strings.ToLower(strings.TrimSpace(st.Text[len("SHOW"):]))
	c.backend.Send(&pgproto3.DataRow{Values: [][]byte{nil, []byte(c.settings[name])}})
	return "SHOW"
}

// reportParameters sends ParameterStatus for parameters that have changed since before and that PostgreSQL
// reports.
func (c *engineConn) reportParameters(before map[string]string) {
	for _, name := range []string{"timezone", "datestyle"} {
		if v := c.settings[name]; v != before[name] {
			c.backend.Send(&pgproto3.ParameterStatus{Name: sessionparams.Reported(name), Value: v})
		}
	}
}
