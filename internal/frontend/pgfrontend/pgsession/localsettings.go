package pgsession

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/protocol/sqlstate"
)

// Names of the dispatcher's own settings.
const (
	settingStatementTimeout = "statement_timeout"
	settingApplicationName  = "application_name"
)

// dispatcherSettings holds the dispatcher's own settings, which are not replayed on engines.
var dispatcherSettings = map[string]bool{settingStatementTimeout: true, settingApplicationName: true}

// localSettingNames holds the settings whose SHOW the dispatcher answers: those that have a single accepted
// value, and the dispatcher's own.
var localSettingNames = map[string]bool{
	settingStatementTimeout: true, settingApplicationName: true, "client_encoding": true,
	"datestyle": true, "timezone": true, "standard_conforming_strings": true, "extra_float_digits": true,
	"default_transaction_read_only": true, "server_version": true, "transaction_read_only": true,
	"transaction isolation level": true, "transaction_isolation": true, "default_transaction_isolation": true,
	"server_encoding": true, "time zone": true, "integer_datetimes": true,
}

// defaultValues holds the values of settings that the client has not set.
var defaultValues = map[string]string{
	"client_encoding": "UTF8", "server_encoding": "UTF8", "datestyle": "ISO, MDY", "timezone": "UTC",
	"time zone": "UTC", "standard_conforming_strings": "on", "extra_float_digits": "1",
	"integer_datetimes": "on", "default_transaction_read_only": "off",
}

// settingError is the SQLSTATE and message of a failed statement about settings.
type settingError struct{ code, message string }

// normalizedValue returns a value in lower case and without quotes.
func normalizedValue(value string) string { return strings.ToLower(unquoted(value)) }

func unquoted(value string) string { return strings.Trim(strings.TrimSpace(value), "'\"") }

// isFixedValue reports whether a value equals the only value that the setting has, at engines and here. No
// other value is accepted here: accepting a setting and ignoring it would silently change results.
func isFixedValue(name, value string) bool {
	value = normalizedValue(value)
	switch name {
	case "client_encoding":
		encoding := strings.ReplaceAll(value, "-", "")
		return encoding == "utf8" || encoding == "unicode"
	case "datestyle":
		return value == "iso" || value == "iso, mdy"
	case "timezone":
		return value == "utc" || value == "etc/utc" || value == "gmt"
	case "standard_conforming_strings":
		return value == "on" || value == "true"
	case "extra_float_digits":
		return value == "1" || value == "2" || value == "3" // all mean the shortest exact output
	case "default_transaction_read_only":
		return value == "off" || value == "false"
	}
	return false
}

// setLocal stores the value of a setting, or resets the setting if the value is DEFAULT.
func (s *Session) setLocal(name, value string) *settingError {
	if isDefaultKeyword(value) {
		s.settings.applyReset(name)
		return nil
	}
	values, ok := s.settings.current.set(name, value)
	if !ok {
		return &settingError{sqlstate.InvalidParameterValue,
			fmt.Sprintf("statement_timeout: %q is no time", normalizedValue(value))}
	}
	s.settings.current, s.settings.session = values, values
	return nil
}

// shownSetting returns the name of the setting in a SHOW, in lower case.
func shownSetting(st *sqlscan.Statement) string {
	return strings.ToLower(strings.TrimSpace(st.Text[len("SHOW"):]))
}

// showValue returns the column name and the value of a SHOW. ok is false if the setting is unknown here.
func (s *Session) showValue(st *sqlscan.Statement) (name, value string, ok bool) {
	name = shownSetting(st)
	switch name {
	case settingStatementTimeout:
		return name, formatTimeout(s.StatementTimeout()), true
	case settingApplicationName:
		return name, s.Application(), true
	case "server_version":
		return name, s.cfg.ServerVersion, true
	case "transaction_read_only":
		return name, "off", true
	case "transaction isolation level", "transaction_isolation", "default_transaction_isolation":
		return "transaction_isolation", "read committed", true
	}
	if value, ok = s.settings.current.stored[name]; ok {
		return name, value, true
	}
	value, ok = defaultValues[name]
	return name, value, ok
}

// timeoutUnits maps the time units that a setting's value may have to their lengths.
var timeoutUnits = map[string]time.Duration{
	"us": time.Microsecond, "ms": time.Millisecond, "s": time.Second, "min": time.Minute, "h": time.Hour,
	"d": 24 * time.Hour,
}

// maxTimeout is the longest accepted timeout in nanoseconds; a longer one could overflow a time.Duration.
const maxTimeout = 1e18

// formatTimeout formats a timeout as SHOW returns it.
func formatTimeout(timeout time.Duration) string {
	if timeout == 0 {
		return "0"
	}
	return fmt.Sprintf("%dms", timeout/time.Millisecond)
}

// parseTimeout parses a timeout as PostgreSQL does: a number of milliseconds, or a number with a unit. It
// returns false if the value is not a valid timeout.
func parseTimeout(value string) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	if n, err := strconv.ParseInt(value, 10, 32); err == nil && n >= 0 {
		return time.Duration(n) * time.Millisecond, true
	}
	unitAt := strings.LastIndexAny(value, "0123456789") + 1
	unit, ok := timeoutUnits[strings.TrimSpace(value[unitAt:])]
	n, err := strconv.ParseFloat(strings.TrimSpace(value[:unitAt]), 64)
	if !ok || err != nil || n < 0 || n*float64(unit) > maxTimeout {
		return 0, false
	}
	return time.Duration(n * float64(unit)), true
}
