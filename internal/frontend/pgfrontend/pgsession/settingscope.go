package pgsession

import (
	"slices"
	"strings"
	"time"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/sqlscan"
)

// settingValues holds the values of the settings that the dispatcher stores. It is copied by value; the map
// stored is never changed in place.
type settingValues struct {
	statementTimeout time.Duration // 0: none
	application      string
	stored           map[string]string // of other settings, by name
}

// set returns the values after a SET, or false if the value is not valid for the setting.
func (v settingValues) set(name, value string) (settingValues, bool) {
	switch name {
	case settingStatementTimeout:
		timeout, ok := parseTimeout(normalizedValue(value))
		if !ok {
			return v, false
		}
		v.statementTimeout = timeout
	case settingApplicationName:
		v.application = unquoted(value)
	default:
		stored := map[string]string{name: unquoted(value)}
		for other, value := range v.stored {
			if other != name {
				stored[other] = value
			}
		}
		v.stored = stored
	}
	return v, true
}

// reset returns the values after a RESET of one setting to its startup value.
func (v settingValues) reset(name string, startup settingValues) settingValues {
	switch name {
	case settingStatementTimeout:
		v.statementTimeout = startup.statementTimeout
	case settingApplicationName:
		v.application = startup.application
	default:
		if value, ok := startup.stored[name]; ok {
			v, _ = v.set(name, value)
			break
		}
		stored := map[string]string{}
		for other, value := range v.stored {
			if other != name {
				stored[other] = value
			}
		}
		v.stored = stored
	}
	return v
}

// settingScopes holds the current values and those that apply after the transaction commits.
type settingScopes struct {
	current settingValues // include those of SET LOCAL
	session settingValues // apply after a COMMIT
}

// savepoint holds the values at the time of a SAVEPOINT.
type savepoint struct {
	name   string
	scopes settingScopes
}

// settingTracker tracks the settings that the dispatcher stores through statements and transactions,
// including those that engines run ("SET": "the effects ... disappear when the transaction is rolled back").
// The engine's command tags show which statements have run.
type settingTracker struct {
	settingScopes
	startup       settingValues // apply after RESET ALL or DISCARD ALL
	beforeTx      settingValues // apply after a ROLLBACK
	inTransaction bool
	savepoints    []savepoint

	sent      []sqlscan.Statement // of the query that an engine runs
	completed int                 // number of statements of sent whose tag has arrived
}

// start makes the current values, those of the startup packet, the startup values.
func (t *settingTracker) start() { t.session, t.startup = t.current, t.current }

// statementsSent records that a query with these statements is sent to an engine.
func (t *settingTracker) statementsSent(statements []sqlscan.Statement, status byte) {
	t.sent, t.completed = statements, 0
	if status == enginequery.StatusIdle {
		t.beginTransaction()
	}
}

// beginTransaction saves the values that a ROLLBACK restores. A text of several statements is a transaction
// too.
func (t *settingTracker) beginTransaction() {
	t.session, t.beforeTx, t.savepoints = t.current, t.current, nil
}

// commandComplete records the command tag of the next statement of the running query.
func (t *settingTracker) commandComplete(tag string) {
	if t.completed >= len(t.sent) {
		return
	}
	st := &t.sent[t.completed]
	t.completed++
	switch {
	case tag == "COMMIT":
		t.current = t.session
		t.inTransaction = false
		t.beginTransaction()
	case tag == "ROLLBACK" && sessionparams.RollsBackToSavepoint(st):
		t.rollBackTo(savepointName(st))
	case tag == "ROLLBACK":
		t.current = t.beforeTx
		t.inTransaction = false
		t.beginTransaction()
	case tag == "BEGIN" || tag == "START TRANSACTION":
		t.inTransaction = true
	case tag == "SAVEPOINT":
		t.savepoints = append(t.savepoints, savepoint{savepointName(st), t.settingScopes})
	default:
		t.apply(st)
	}
}

// readyForQuery records the end of the query, with its transaction status.
func (t *settingTracker) readyForQuery(status byte) {
	if status != enginequery.StatusIdle {
		t.inTransaction = true
		if status == enginequery.StatusFailedTransaction {
			t.transactionFailed()
		}
		return
	}
	if t.inTransaction || t.completed < len(t.sent) { // an error undid what the query had set
		t.current = t.beforeTx
	} else {
		t.current = t.session
	}
	t.sent, t.inTransaction = nil, false
	t.beginTransaction()
}

// transactionFailed undoes what was set in the transaction, or since its last savepoint: an error does so at
// once ("SET"), and the statements up to the end of the transaction run without it.
func (t *settingTracker) transactionFailed() {
	t.current = t.beforeTx
	if n := len(t.savepoints); n > 0 {
		t.current = t.savepoints[n-1].scopes.current
	}
}

// rollBackTo restores the values of a savepoint, which stays defined.
func (t *settingTracker) rollBackTo(name string) {
	for i, s := range slices.Backward(t.savepoints) {
		if s.name == name {
			t.settingScopes, t.savepoints = s.scopes, t.savepoints[:i+1]
			return
		}
	}
}

// savepointName returns the name in SAVEPOINT and ROLLBACK TO, as PostgreSQL compares it.
func savepointName(st *sqlscan.Statement) string {
	words := strings.Fields(strings.TrimSuffix(strings.TrimSpace(st.Text), ";"))
	name := words[len(words)-1]
	if strings.HasPrefix(name, `"`) {
		return strings.Trim(name, `"`)
	}
	return strings.ToLower(name)
}

// apply applies a SET, RESET or DISCARD that has run.
func (t *settingTracker) apply(st *sqlscan.Statement) {
	switch st.Words[0] {
	case "SET":
		t.applySet(st)
	case "RESET":
		t.applyReset(resetName(st))
	case "DISCARD":
		if st.Words[1] == "ALL" {
			t.applyReset(allSettings)
		}
	}
}

func (t *settingTracker) applySet(st *sqlscan.Statement) {
	name, value, ok := sessionparams.ParseAssignment(st)
	if !ok || !dispatcherSettings[name] {
		return
	}
	local := st.Words[1] == "LOCAL"
	if isDefaultKeyword(value) {
		if !local {
			t.applyReset(name)
			return
		}
		t.current = t.current.reset(name, t.startup)
		return
	}
	if changed, ok := t.current.set(name, value); ok {
		t.current = changed
	}
	if changed, ok := t.session.set(name, value); ok && !local {
		t.session = changed
	}
}

// allSettings, in place of a setting's name, stands for all settings.
const allSettings = ""

func (t *settingTracker) applyReset(name string) {
	if name == allSettings {
		t.current, t.session = t.startup, t.startup
		return
	}
	t.current = t.current.reset(name, t.startup)
	t.session = t.session.reset(name, t.startup)
}

// resetName returns the name of the setting in a RESET, in lower case, or allSettings for RESET ALL.
func resetName(st *sqlscan.Statement) string {
	switch {
	case st.Words[1] == "ALL":
		return allSettings
	case st.Words[1] == "TIME" && st.Words[2] == "ZONE":
		return "timezone"
	}
	return strings.ToLower(strings.Trim(st.Words[1], `"`))
}

// isDefaultKeyword reports whether the value of a SET is the keyword DEFAULT.
func isDefaultKeyword(value string) bool {
	return strings.EqualFold(strings.TrimSpace(value), "default")
}
