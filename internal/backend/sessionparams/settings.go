// Package sessionparams tracks the settings of a client's session that are replayed on the engine
// connection that runs the session's next statement, so that setting them does not tie the session to one
// engine.
// It decides which settings are replayed, when a SET takes effect, and which statements give a connection the
// settings of a session. It does no I/O.
//
// A SET takes effect when the engine confirms it: outside a transaction at its CommandComplete and the
// ReadyForQuery after it, inside one at COMMIT ("SET": "the effects ... disappear when the transaction is
// rolled back").
package sessionparams

// replayedSettings holds the settings that mean the same on every engine and describe no state of a single
// engine. All others tie the session to the engine on which they were set.
var replayedSettings = map[string]bool{
	"search_path": true, "timezone": true, "datestyle": true,
	"intervalstyle": true, "extra_float_digits": true, "bytea_output": true, "xmlbinary": true,
	"xmloption": true, "standard_conforming_strings": true, "backslash_quote": true,
	"escape_string_warning": true, "default_transaction_isolation": true,
	"default_transaction_read_only": true, "default_transaction_deferrable": true, "lock_timeout": true,
	"client_min_messages": true, "lc_monetary": true, "lc_numeric": true, "lc_time": true,
	"lc_messages": true, "default_text_search_config": true, "row_security": true,
	"check_function_bodies": true, "transform_null_equals": true, "quote_all_identifiers": true,
	"jit": true, "geqo": true, "enable_seqscan": true, "enable_hashjoin": true, "enable_mergejoin": true,
	"enable_nestloop": true, "enable_indexscan": true, "max_parallel_workers_per_gather": true,
}

// reportedNames maps settings to the names under which clients receive a ParameterStatus when they change
// ("Asynchronous Operations").
var reportedNames = map[string]string{
	"timezone": "TimeZone", "datestyle": "DateStyle",
	"intervalstyle": "IntervalStyle", "standard_conforming_strings": "standard_conforming_strings",
	"default_transaction_read_only": "default_transaction_read_only",
}

// Replayed reports whether a setting is replayed. The name is in lower case.
func Replayed(name string) bool { return replayedSettings[name] }

// Reported returns the name of the ParameterStatus that clients receive when a setting changes, or "" if they
// receive none. The setting's name is in lower case.
func Reported(name string) string { return reportedNames[name] }
