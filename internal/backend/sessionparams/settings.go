// Package sessionparams tracks the settings of a client's session that are replayed on whatever engine
// connection runs its next statement, so that a SET of them does not tie the session to one engine. It
// decides which settings those are, when a SET of theirs has come into force, and which statements bring a
// connection to a session's settings. It does no I/O.
//
// A SET counts once the engine says so: outside a transaction at its CommandComplete and the ReadyForQuery
// after it, in one at COMMIT ("SET": "the effects ... disappear when the transaction is rolled back").
package sessionparams

// replayedSettings are the settings that mean the same on every engine and describe no state of one engine.
// All others tie the session to the engine on which they were set.
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

// reportedNames are the names under which clients receive a ParameterStatus when one of these settings
// changes ("Asynchronous Operations").
var reportedNames = map[string]string{
	"timezone": "TimeZone", "datestyle": "DateStyle",
	"intervalstyle": "IntervalStyle", "standard_conforming_strings": "standard_conforming_strings",
	"default_transaction_read_only": "default_transaction_read_only",
}

// Replayed reports whether a setting, by its name in lower case, is replayed.
func Replayed(name string) bool { return replayedSettings[name] }

// Reported returns the name of the ParameterStatus that clients receive for a setting; "": they receive none.
func Reported(name string) string { return reportedNames[name] }
