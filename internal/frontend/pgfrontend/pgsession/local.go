package pgsession

import (
	"encoding/binary"
	"fmt"
	"strings"

	"cresspass/internal/affinity"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/protocol/sqlstate"
)

// Statements that the dispatcher answers itself: those about settings that have a single value, or about
// state that the session stores here.

// allLocal reports whether the dispatcher answers all statements of a query text. While the session holds an
// engine connection, statements go to that engine because its settings apply. Exceptions are DEALLOCATE of a
// prepared statement, which is stored here, and SHOW of the dispatcher's own settings.
func (s *Session) allLocal(parsed []sqlscan.Statement) bool {
	if len(parsed) == 1 && parsed[0].Words[0] == "DEALLOCATE" {
		if _, known := s.statements.get(deallocateName(&parsed[0])); known {
			return true
		}
	}
	if s.Affinity.Bound() {
		return s.allShowDispatcherSettings(parsed)
	}
	for i := range parsed {
		if !s.isLocal(&parsed[i]) {
			return false
		}
	}
	return len(parsed) > 0
}

// allShowDispatcherSettings reports whether the dispatcher answers a query text of a session that holds an
// engine connection, because the text only shows the dispatcher's own settings: the engine would return its
// own values. If a function may have set one of them, or in a failed transaction, the engine must answer.
func (s *Session) allShowDispatcherSettings(parsed []sqlscan.Statement) bool {
	if s.Affinity.Status() == enginequery.StatusFailedTransaction ||
		s.Affinity.Holds(affinity.ReasonUnknownEffect) {
		return false
	}
	for i := range parsed {
		if parsed[i].Words[0] != "SHOW" || !dispatcherSettings[shownSetting(&parsed[i])] {
			return false
		}
	}
	return len(parsed) > 0
}

// isLocal reports whether the dispatcher answers a statement of a session that holds no engine connection.
// All other statements about settings go to an engine; their settings are replayed, or make the session
// sticky.
func (s *Session) isLocal(st *sqlscan.Statement) bool {
	settings := s.Affinity.Params.Desired()
	switch st.Words[0] {
	case "SET":
		name, value, ok := sessionparams.ParseAssignment(st)
		return ok && st.Words[1] != "LOCAL" && settings.Statement(name) == "" &&
			(dispatcherSettings[name] || isFixedValue(name, value))
	case "SHOW":
		name := shownSetting(st)
		if name == "time zone" {
			name = "timezone"
		}
		return localSettingNames[name] && settings.Statement(name) == ""
	case "RESET", "DISCARD": // without changed settings there is nothing to reset at an engine
		return s.Affinity.Params.Unchanged()
	case "DEALLOCATE":
		return true
	}
	return false
}

// executeLocal answers a statement. It returns false if the statement failed.
func (s *Session) executeLocal(st *sqlscan.Statement, withDescription bool) bool {
	var err *settingError
	switch st.Words[0] {
	case "SET":
		name, value, _ := sessionparams.ParseAssignment(st)
		err = s.setLocal(name, value)
	case "RESET", "DISCARD":
		s.resetLocal(st)
	case "DEALLOCATE":
		err = s.deallocate(deallocateName(st))
	case "SHOW":
		err = s.show(st, withDescription)
	}
	if err != nil {
		s.failStatement(err.code, err.message)
		return false
	}
	tag := st.Words[0]
	if tag == "DISCARD" || tag == "DEALLOCATE" && st.Words[1] == "ALL" {
		tag += " " + st.Words[1] // "Message Formats": the tag names what was discarded
	}
	s.out = pgwire.AppendText(s.out, 'C', tag)
	return true
}

// resetLocal executes RESET or DISCARD.
func (s *Session) resetLocal(st *sqlscan.Statement) {
	s.settings.apply(st)
	if st.Words[0] == "DISCARD" && st.Words[1] == "ALL" {
		s.statements.clear()
	}
}

// deallocate executes a DEALLOCATE of the given name.
func (s *Session) deallocate(name string) *settingError {
	_, known := s.statements.get(name)
	switch {
	case strings.EqualFold(name, "all"):
		s.statements.clear()
	case !known:
		return &settingError{sqlstate.InvalidSQLStatementName,
			fmt.Sprintf("prepared statement %q does not exist", name)}
	default:
		s.statements.remove(name)
	}
	return nil
}

// deallocateName returns the statement name in a DEALLOCATE, without quotes.
func deallocateName(st *sqlscan.Statement) string {
	const prepare = "PREPARE "
	rest := strings.TrimSpace(st.Text[len("DEALLOCATE"):])
	if len(rest) > len(prepare) && strings.EqualFold(rest[:len(prepare)], prepare) {
		rest = strings.TrimSpace(rest[len(prepare):])
	}
	return strings.Trim(rest, `"`)
}

// show executes a SHOW.
func (s *Session) show(st *sqlscan.Statement, withDescription bool) *settingError {
	name, value, ok := s.showValue(st)
	if !ok {
		return &settingError{sqlstate.UndefinedObject, fmt.Sprintf("SHOW: %q is not known here", name)}
	}
	if withDescription {
		s.out = append(s.out, textRowDescription(name)...)
	}
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value))) // one column
	s.out = pgwire.Append(s.out, 'D', append(row, value...))
	return nil
}

// localDescription returns the RowDescription or NoData message for a statement that the dispatcher answers.
func (s *Session) localDescription(st *statement) []byte {
	if len(st.parsed) == 1 && st.parsed[0].Words[0] == "SHOW" {
		name, _, _ := s.showValue(&st.parsed[0])
		return textRowDescription(name)
	}
	return pgwire.Append(nil, 'n', nil) // NoData
}

// textRowDescription returns a RowDescription of one column of type text ("Message Formats").
func textRowDescription(name string) []byte {
	const (
		oidText       = 25
		variableSize  = 0xffff
		noModifier    = 0xffffffff
		textFormat    = 0
		noTable       = 0
		noTableColumn = 0
	)
	b := binary.BigEndian.AppendUint16(nil, 1)
	b = append(append(b, name...), 0)
	b = binary.BigEndian.AppendUint32(b, noTable)
	b = binary.BigEndian.AppendUint16(b, noTableColumn)
	b = binary.BigEndian.AppendUint32(b, oidText)
	b = binary.BigEndian.AppendUint16(b, variableSize)
	b = binary.BigEndian.AppendUint32(b, noModifier)
	b = binary.BigEndian.AppendUint16(b, textFormat)
	return pgwire.Append(nil, 'T', b)
}
