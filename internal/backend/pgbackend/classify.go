package pgbackend

import (
	"cresspass"
	"cresspass/internal/protocol/sqlstate"
)

// provesNotRun reports whether an engine's SQLSTATE proves that the query did not run: the engine has too
// many sessions, or accepts no work because it starts, stops or drains.
func provesNotRun(code string) bool {
	return code == sqlstate.TooManyConnections || code == sqlstate.CannotConnectNow
}

// queryErrorClasses holds the SQLSTATE classes that mean that the query itself is at fault and the engine
// works. They are all classes of "PostgreSQL Error Codes" except 08, 09, 53, 57, 58, F0, HV and XX.
var queryErrorClasses = map[string]bool{
	"00": true, "01": true, "02": true, "03": true, "0A": true, "0B": true, "0F": true, "0L": true,
	"0P": true,
	"0Z": true, "20": true, "21": true, "22": true, "23": true, "24": true, "25": true, "26": true,
	"27": true,
	"28": true, "2B": true, "2D": true, "2F": true, "34": true, "38": true, "39": true, "3B": true,
	"3D": true,
	"3F": true, "40": true, "42": true, "44": true, "54": true, "55": true, "72": true, "P0": true,
}

// classifySQLState returns the outcome that an engine's error stands for. queryError reports whether the
// query itself is at fault: the error is then its response, and the engine is healthy.
func classifySQLState(code string) (outcome cresspass.Outcome, queryError bool) {
	switch {
	case provesNotRun(code):
		return cresspass.OutcomeRejected, false
	case len(code) == 5 && queryErrorClasses[code[:2]]:
		return cresspass.OutcomeOK, true
	}
	return cresspass.OutcomeFailed, false
}

// classifyError is classifySQLState for the running query: an engine that cancels a COPY because a CopyFail
// was sent is healthy.
func (c *conn) classifyError(code string) (outcome cresspass.Outcome, queryError bool) {
	if c.copyInFailed && code == sqlstate.QueryCanceled {
		return cresspass.OutcomeOK, true
	}
	return classifySQLState(code)
}
