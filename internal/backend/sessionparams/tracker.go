package sessionparams

import (
	"slices"

	"cresspass/internal/protocol/sqlscan"
)

// Tracker follows a session's settings. The zero value has none.
type Tracker struct {
	startup      *Set // from the startup packet: what a RESET returns to
	desired      *Set // in force for the session
	onConnection *Set // in force on the connection that ran its last statement

	pendingInTx    []Change // of the open transaction
	pendingInQuery []Change // of the query that is out
	sent           []sqlscan.Statement
	completed      int  // statements of sent whose CommandComplete has come
	uncertain      bool // a ROLLBACK TO may have undone some of the pending changes
}

// Inherit starts with the settings that another tracker has in force.
func (t *Tracker) Inherit(s *Set) { t.startup, t.desired, t.onConnection = s, s, s }

// SetAtStartup takes a setting of the startup packet.
func (t *Tracker) SetAtStartup(name, value string) {
	t.startup = t.startup.With(name, SetConfigStatement(name, value))
	t.desired, t.onConnection = t.startup, t.startup
}

// ChangeSetting takes a setting as SetAtStartup does, in a session under way: other settings stay as they
// are.
func (t *Tracker) ChangeSetting(name, value string) {
	t.startup = t.startup.With(name, SetConfigStatement(name, value))
	t.desired = t.desired.With(name, SetConfigStatement(name, value))
}

// ResetSetting undoes SetAtStartup or ChangeSetting of a setting.
func (t *Tracker) ResetSetting(name string) {
	t.startup = t.startup.With(name, "")
	t.desired = t.desired.With(name, "")
}

// Desired returns what is in force for the session.
func (t *Tracker) Desired() *Set { return t.desired }

// OnConnection returns what is in force on the connection of the session's last statement. It differs from
// Desired after a RESET, which goes back to the engine's own default and not to the startup packet's value.
func (t *Tracker) OnConnection() *Set { return t.onConnection }

// Unchanged reports whether the session has exactly the settings of its startup packet.
func (t *Tracker) Unchanged() bool { return t.desired == t.startup }

// StatementsSent takes the statements of a query that goes out.
func (t *Tracker) StatementsSent(statements []sqlscan.Statement) {
	t.sent, t.completed, t.pendingInQuery = statements, 0, nil
}

// CommandComplete takes the tag of the next statement sent.
func (t *Tracker) CommandComplete(tag string) {
	if t.completed >= len(t.sent) {
		return
	}
	st := &t.sent[t.completed]
	t.completed++
	switch {
	case tag == "COMMIT":
		t.apply(t.pendingInTx)
		t.apply(t.pendingInQuery)
		t.pendingInTx, t.pendingInQuery = nil, nil
	case tag == "ROLLBACK" && RollsBackToSavepoint(st):
		// What was set after the savepoint is undone and what was set before it is not. Which is which is
		// not tracked.
		t.uncertain = t.uncertain || len(t.pendingInTx)+len(t.pendingInQuery) > 0
	case tag == "ROLLBACK":
		t.pendingInTx, t.pendingInQuery, t.uncertain = nil, nil, false
	default:
		if ch, ok := ChangeOf(st); ok {
			t.pendingInQuery = append(slices.Clip(t.pendingInQuery), ch)
		}
	}
}

// RollsBackToSavepoint reports whether a ROLLBACK goes back to a savepoint only.
func RollsBackToSavepoint(st *sqlscan.Statement) bool {
	return st.Words[1] == "TO" || st.Words[2] == "TO"
}

// apply puts changes in force.
func (t *Tracker) apply(changes []Change) {
	for _, ch := range changes {
		switch {
		case ch.Name == "":
			t.desired, t.onConnection = t.startup, nil
		case ch.Statement == "":
			t.desired = t.desired.With(ch.Name, t.startup.Statement(ch.Name))
			t.onConnection = t.onConnection.With(ch.Name, "")
		default:
			t.desired = t.desired.With(ch.Name, ch.Statement)
			t.onConnection = t.onConnection.With(ch.Name, ch.Statement)
		}
	}
}

// ConnectionHad reports what was in force on the query's connection before the query.
func (t *Tracker) ConnectionHad(settings *Set) { t.onConnection = settings }

// ReadyForQuery takes the end of the query, with its transaction status. uncertain says that it is not known
// what is in force: the session has to stay on its connection.
func (t *Tracker) ReadyForQuery(status byte) (uncertain bool) {
	switch {
	case status != 'I':
		t.pendingInTx = append(slices.Clip(t.pendingInTx), t.pendingInQuery...)
	case t.completed >= len(t.sent):
		uncertain = t.uncertain || len(t.pendingInTx) > 0
		t.apply(t.pendingInQuery)
		t.pendingInTx, t.uncertain = nil, false
	default: // an error undid what the text had set outside a transaction
		uncertain = t.uncertain || len(t.pendingInTx) > 0
		t.pendingInTx, t.uncertain = nil, false
	}
	t.sent, t.pendingInQuery = nil, nil
	return uncertain
}

// Reset reports that what was sent did not run, and that an open transaction is gone.
func (t *Tracker) Reset() {
	t.pendingInTx, t.pendingInQuery, t.sent, t.uncertain = nil, nil, nil, false
}
