package pgsession

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlscan"
)

// allLocal tells whether statements are answered on the spot. While the session is kept on an engine
// connection, everything goes there: the engine's own settings count. But names of prepared statements are
// kept here.
func (s *Session) allLocal(parsed []sqlscan.Statement) (local bool) {
	if len(parsed) == 1 && parsed[0].Words[0] == "DEALLOCATE" &&
		s.statements[deallocateName(&parsed[0])] != nil {
		return true
	}
	if s.Affinity.Bound() || len(parsed) == 0 {
		return false
	}
	for i := range parsed {
		if !s.isLocal(&parsed[i]) {
			return false
		}
	}
	return true
}

// isLocal reports whether a free session's statement is answered on the spot: it asks for what is so anyway,
// or is about what is kept here. All else about settings is an engine's to judge, and is replayed or pins.
func (s *Session) isLocal(st *sqlscan.Statement) bool {
	switch st.Words[0] {
	case "SET":
		name, value, ok := sessionparams.ParseAssignment(st)
		return ok && st.Words[1] != "LOCAL" && s.Affinity.Params.Desired().Statement(name) == "" &&
			(dispatcherSettings[name] || s.isFixedValue(name, value))
	case "SHOW":
		name := strings.ToLower(strings.TrimSpace(st.Text[len("SHOW"):]))
		if name == "time zone" {
			name = "timezone"
		}
		return localSettingNames[name] && s.Affinity.Params.Desired().Statement(name) == ""
	case "RESET", "DISCARD": // a free session that has set nothing has nothing at an engine
		return s.Affinity.Params.Unchanged()
	case "DEALLOCATE":
		return true
	}
	return false
}

func deallocateName(st *sqlscan.Statement) string {
	rest := strings.TrimSpace(st.Text[len("DEALLOCATE"):])
	if len(rest) > 8 && strings.EqualFold(rest[:8], "PREPARE ") {
		rest = strings.TrimSpace(rest[8:])
	}
	return strings.Trim(rest, `"`)
}

// dispatcherSettings are the settings that no engine hears of.
var dispatcherSettings = map[string]bool{"statement_timeout": true, "application_name": true}

// localSettingNames are the settings that are kept here: those that change no answer, and this dispatcher's
// own.
var localSettingNames = map[string]bool{
	"statement_timeout":             true,
	"application_name":              true,
	"client_encoding":               true,
	"datestyle":                     true,
	"timezone":                      true,
	"standard_conforming_strings":   true,
	"extra_float_digits":            true,
	"default_transaction_read_only": true,
	"server_version":                true,
	"transaction_read_only":         true,
	"transaction isolation level":   true,
	"transaction_isolation":         true,
	"default_transaction_isolation": true,
	"server_encoding":               true,
	"time zone":                     true,
	"integer_datetimes":             true,
}

type settingError struct{ code, message string }

// applyStartupSetting takes a setting of the startup packet. One that is replayed is put in force on the
// engine that runs the first statement, and refused there where it is wrong.
func (s *Session) applyStartupSetting(name, value string) *settingError {
	name = strings.ToLower(strings.TrimSpace(name))
	switch {
	case dispatcherSettings[name] || s.isFixedValue(name, value):
		return s.setLocal(name, value)
	case sessionparams.Replayed(name):
		s.Affinity.Params.SetAtStartup(name, value)
		if shown := sessionparams.Reported(name); shown != "" {
			s.storeLocal("started "+strings.ToLower(shown), value)
		}
		return nil
	}
	return &settingError{"0A000",
		fmt.Sprintf("setting %s to %s is not served: engines would not hear of it", name, value)}
}

func normalizedValue(value string) string {
	return strings.ToLower(strings.Trim(strings.TrimSpace(value), "'\""))
}

// isFixedValue reports whether a setting asks for what is so anyway, on engines and here. Danger: a setting
// that was taken and not obeyed would change answers without a word.
func (s *Session) isFixedValue(name, value string) bool {
	plain := normalizedValue(value)
	switch name {
	case "client_encoding":
		p := strings.ReplaceAll(plain, "-", "")
		return p == "utf8" || p == "unicode"
	case "datestyle":
		return plain == "iso" || plain == "iso, mdy"
	case "timezone":
		return plain == "utc" || plain == "etc/utc" || plain == "gmt"
	case "standard_conforming_strings":
		return plain == "on" || plain == "true"
	case "extra_float_digits":
		return plain == "1" || plain == "2" || plain == "3" // all mean the shortest exact form
	case "default_transaction_read_only":
		return plain == "off" || plain == "false"
	}
	return false
}

// setLocal takes a setting that is kept here, or that asks for what is so anyway.
func (s *Session) setLocal(name, value string) *settingError {
	plain := normalizedValue(value)
	switch name {
	case "statement_timeout":
		d, ok := parseTimeout(plain)
		if plain == "default" {
			d, ok = 0, true
		}
		if !ok {
			return &settingError{"22023", fmt.Sprintf("statement_timeout: %q is no time", plain)}
		}
		s.StatementTimeout = d
	case "application_name":
		s.Application = strings.Trim(strings.TrimSpace(value), "'\"")
	default:
		s.storeLocal(name, strings.Trim(strings.TrimSpace(value), "'\""))
	}
	return nil
}

func (s *Session) storeLocal(name, value string) {
	if s.localSettings == nil {
		s.localSettings = map[string]string{}
	}
	s.localSettings[name] = value
}

// executeLocal answers a statement on the spot. It returns false where it ended in an error.
func (s *Session) executeLocal(st *sqlscan.Statement, describe bool) bool {
	var err *settingError
	switch st.Words[0] {
	case "SET":
		name, value, _ := sessionparams.ParseAssignment(st)
		err = s.setLocal(name, value)
	case "RESET", "DISCARD":
		if st.Words[1] == "ALL" || st.Words[1] == "STATEMENT_TIMEOUT" {
			s.StatementTimeout = 0
		}
		if st.Words[0] == "DISCARD" && st.Words[1] == "ALL" {
			clear(s.statements)
		}
	case "DEALLOCATE":
		if name := deallocateName(st); strings.EqualFold(name, "all") {
			clear(s.statements)
		} else if s.statements[name] == nil {
			err = &settingError{"26000", fmt.Sprintf("prepared statement %q does not exist", name)}
		} else {
			delete(s.statements, name)
		}
	case "SHOW":
		name, value, ok := s.showValue(st)
		if !ok {
			err = &settingError{"42704", fmt.Sprintf("SHOW: %q is not known here", name)}
			break
		}
		if describe {
			s.out = append(s.out, textRowDescription(name)...)
		}
		row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
		s.out = pgwire.Append(s.out, 'D', append(row, value...))
	}
	if err != nil {
		s.failStatement(err.code, err.message)
		return false
	}
	tag := st.Words[0]
	if tag == "DISCARD" || tag == "DEALLOCATE" && st.Words[1] == "ALL" {
		tag += " " + st.Words[1] // "Message Formats": CommandComplete names what was discarded
	}
	s.out = pgwire.AppendText(s.out, 'C', tag)
	return true
}

func (s *Session) showValue(st *sqlscan.Statement) (name, value string, ok bool) {
	name = strings.ToLower(strings.TrimSpace(st.Text[len("SHOW"):]))
	switch name {
	case "statement_timeout":
		if s.StatementTimeout == 0 {
			return name, "0", true
		}
		return name, fmt.Sprintf("%dms", s.StatementTimeout/time.Millisecond), true
	case "application_name":
		return name, s.Application, true
	case "server_version":
		return name, s.cfg.ServerVersion, true
	case "transaction_read_only":
		return name, "off", true
	case "transaction isolation level", "transaction_isolation", "default_transaction_isolation":
		return "transaction_isolation", "read committed", true
	}
	if value, ok = s.localSettings[name]; ok {
		return name, value, true
	}
	value, ok = map[string]string{"client_encoding": "UTF8", "server_encoding": "UTF8",
		"datestyle": "ISO, MDY",
		"timezone":  "UTC", "time zone": "UTC", "standard_conforming_strings": "on",
		"extra_float_digits": "1",
		"integer_datetimes":  "on"}[name]
	return name, value, ok
}

// localDescription describes what a statement served here returns.
func (s *Session) localDescription(st *statement) []byte {
	if len(st.parsed) == 1 && st.parsed[0].Words[0] == "SHOW" {
		name, _, _ := s.showValue(&st.parsed[0])
		return textRowDescription(name)
	}
	return pgwire.Append(nil, 'n', nil)
}

// textRowDescription is a RowDescription of one text column.
func textRowDescription(name string) []byte {
	b := append([]byte{0, 1}, name...)
	b = append(b, 0, 0, 0, 0, 0, 0, 0) // end of name, table, column number
	b = append(b, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	return pgwire.Append(nil, 'T', b)
}
