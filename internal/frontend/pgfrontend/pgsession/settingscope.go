package pgsession

import (
	"slices"
	"strings"
	"time"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/sqlscan"
)

// settingValues are the values of the settings that are stored here. stored is not changed in place.
type settingValues struct {
	statementTimeout time.Duration // 0: none
	application      string
	stored           map[string]string // of other settings, by name
}

// set returns the values after a SET. false: the value is not one of the setting.
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

// settingScopes are the values in force, and those that the end of a transaction puts in force.
type settingScopes struct {
	current settingValues // with what SET LOCAL has set
	session settingValues // in force after a COMMIT
}

// savepoint is the values in force when a savepoint was set.
type savepoint struct {
	name   string
	scopes settingScopes
}

// settingTracker follows the settings that are stored here through statements and transactions, those that
// engines run among them ("SET": "the effects ... disappear when the transaction is rolled back"). The
// engine's tags tell which statements have run.
type settingTracker struct {
	settingScopes
	startup       settingValues // what RESET and DISCARD ALL return to
	beforeTx      settingValues // in force after a ROLLBACK
	inTransaction bool
	savepoints    []savepoint

	sent      []sqlscan.Statement // of the query that an engine runs
	completed int                 // statements of sent whose tag has come
}

// start takes the values of the startup packet.
func (t *settingTracker) start() { t.session, t.startup = t.current, t.current }

// statementsSent takes the statements of a query that goes to an engine.
func (t *settingTracker) statementsSent(statements []sqlscan.Statement, status byte) {
	t.sent, t.completed = statements, 0
	if status == enginequery.StatusIdle {
		t.beginTransaction()
	}
}

// beginTransaction remembers what a ROLLBACK returns to. A text of several statements is a transaction too.
func (t *settingTracker) beginTransaction() {
	t.session, t.beforeTx, t.savepoints = t.current, t.current, nil
}

// commandComplete takes the tag of the next statement sent.
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

// readyForQuery takes the end of the query, with its transaction status.
func (t *settingTracker) readyForQuery(status byte) {
	if status != enginequery.StatusIdle {
		t.inTransaction = true
		return
	}
	if t.inTransaction || t.completed < len(t.sent) { // an error undid what the text had set
		t.current = t.beforeTx
	} else {
		t.current = t.session
	}
	t.sent, t.inTransaction = nil, false
	t.beginTransaction()
}

// rollBackTo returns to a savepoint, which stays.
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

// apply takes a SET, RESET or DISCARD that has run.
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

// allSettings stands for the name of every setting.
const allSettings = ""

func (t *settingTracker) applyReset(name string) {
	if name == allSettings {
		t.current, t.session = t.startup, t.startup
		return
	}
	t.current = t.current.reset(name, t.startup)
	t.session = t.session.reset(name, t.startup)
}

// resetName returns the name of the setting in a RESET, in lower case; allSettings: all of them.
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
