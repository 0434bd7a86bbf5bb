package sessionparams

import (
	"slices"

	"cresspass/internal/protocol/sqlscan"
)

// Tracker tracks a session's replayed settings. The zero value is ready to use and has no settings. It is
// not safe for concurrent use.
type Tracker struct {
	startup      *Set // from the startup packet; RESET returns to these
	desired      *Set // that the session's next transaction must start with
	onConnection *Set // active on the connection that ran its last statement

	pendingInTx    []Change // of the open transaction's earlier queries
	pendingInQuery []Change // of the running query
	sent           []sqlscan.Statement
	completed      int  // number of statements of sent whose CommandComplete has arrived
	uncertain      bool // a ROLLBACK TO may have undone some of the pending changes
}

// Inherit makes s, the settings of another session, this session's startup settings.
func (t *Tracker) Inherit(s *Set) { t.startup, t.desired, t.onConnection = s, s, s }

// SetAtStartup applies a setting from the startup packet.
func (t *Tracker) SetAtStartup(name, value string) {
	t.startup = t.startup.With(name, SetConfigStatement(name, value))
	t.desired, t.onConnection = t.startup, t.startup
}

// ChangeSetting changes a startup setting of a running session, and the desired setting with it. Other
// settings stay as they are.
func (t *Tracker) ChangeSetting(name, value string) {
	t.startup = t.startup.With(name, SetConfigStatement(name, value))
	t.desired = t.desired.With(name, SetConfigStatement(name, value))
}

// ResetSetting removes a setting that SetAtStartup or ChangeSetting has set.
func (t *Tracker) ResetSetting(name string) {
	t.startup = t.startup.With(name, "")
	t.desired = t.desired.With(name, "")
}

// Desired returns the settings that the session's next transaction must start with.
func (t *Tracker) Desired() *Set { return t.desired }

// OnConnection returns the settings active on the connection that ran the session's last statement. They
// differ from Desired after a RESET, which restores the engine's own default and not the startup packet's
// value.
func (t *Tracker) OnConnection() *Set { return t.onConnection }

// Unchanged reports whether the session has exactly the settings of its startup packet.
func (t *Tracker) Unchanged() bool { return t.desired == t.startup }

// StatementsSent records that a query with these statements is sent.
func (t *Tracker) StatementsSent(statements []sqlscan.Statement) {
	t.sent, t.completed, t.pendingInQuery = statements, 0, nil
}

// CommandComplete records the command tag of the next statement of the running query.
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
		// This undoes what was set after the savepoint, but not what was set before it. Which changes came
		// after the savepoint is not tracked.
		t.uncertain = t.uncertain || len(t.pendingInTx)+len(t.pendingInQuery) > 0
	case tag == "ROLLBACK":
		t.pendingInTx, t.pendingInQuery, t.uncertain = nil, nil, false
	default:
		if ch, ok := ChangeOf(st); ok {
			t.pendingInQuery = append(slices.Clip(t.pendingInQuery), ch)
		}
	}
}

// RollsBackToSavepoint reports whether a ROLLBACK statement is a ROLLBACK TO SAVEPOINT.
func RollsBackToSavepoint(st *sqlscan.Statement) bool {
	return st.Words[1] == "TO" || st.Words[2] == "TO"
}

// apply applies changes that have taken effect to the desired settings and to those of the connection.
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

// ConnectionHad records the settings that were active on the query's connection before the query.
func (t *Tracker) ConnectionHad(settings *Set) { t.onConnection = settings }

// ReadyForQuery records the end of the query, with its transaction status. uncertain reports whether
// the session's settings are no longer known: it must then keep its connection.
func (t *Tracker) ReadyForQuery(status byte) (uncertain bool) {
	switch {
	case status != 'I':
		t.pendingInTx = append(slices.Clip(t.pendingInTx), t.pendingInQuery...)
	case t.completed >= len(t.sent):
		uncertain = t.uncertain || len(t.pendingInTx) > 0
		t.apply(t.pendingInQuery)
		t.pendingInTx, t.uncertain = nil, false
	default: // an error undid what the query had set outside a transaction
		uncertain = t.uncertain || len(t.pendingInTx) > 0
		t.pendingInTx, t.uncertain = nil, false
	}
	t.sent, t.pendingInQuery = nil, nil
	return uncertain
}

// AnsweredEarly records that the client received an error in place of the engine's answer to the query, and
// the transaction status that it received. ran reports whether the query had reached the engine, commits
// whether it contains a COMMIT. known is false if the session's settings depend on how the engine ends the
// query.
func (t *Tracker) AnsweredEarly(status byte, ran, commits bool) (known bool) {
	var changes []Change
	for i := range t.sent {
		if ch, ok := ChangeOf(&t.sent[i]); ok && ran {
			changes = append(changes, ch)
		}
	}
	t.sent, t.pendingInQuery = nil, nil
	if status != 'I' { // the transaction will be rolled back, to a savepoint or altogether
		t.pendingInTx = append(slices.Clip(t.pendingInTx), changes...)
		return true
	}
	commitsChanges := ran && commits && (t.uncertain || len(t.pendingInTx) > 0)
	known = len(changes) == 0 && !commitsChanges
	t.pendingInTx, t.uncertain = nil, false
	return known
}

// Reset records that the query did not run, and that no transaction is open any more.
func (t *Tracker) Reset() {
	t.pendingInTx, t.pendingInQuery, t.sent, t.uncertain = nil, nil, nil, false
}
