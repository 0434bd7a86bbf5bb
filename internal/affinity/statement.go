package affinity

import (
	"strings"

	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/sqlscan"
)

// MayLeaveState reports whether a statement may leave something on the engine: an open transaction, or
// session state.
func MayLeaveState(st *sqlscan.Statement) bool {
	switch st.Words[0] {
	case "BEGIN", "START", "SAVEPOINT", "DECLARE", "LOCK":
		return true
	}
	return reasonLeftBy(st) != reasonNone
}

// commits reports whether a statement commits the open transaction, or prepares it to be committed.
func commits(st *sqlscan.Statement) bool {
	switch st.Words[0] {
	case "COMMIT", "END":
		return true
	case "PREPARE":
		return st.Words[1] == "TRANSACTION"
	}
	return false
}

// endsTransaction reports whether one of the statements ends the open transaction.
func endsTransaction(statements []sqlscan.Statement) bool {
	for i := range statements {
		st := &statements[i]
		switch st.Words[0] {
		case "ROLLBACK", "ABORT":
			if !sessionparams.RollsBackToSavepoint(st) {
				return true
			}
		default:
			if commits(st) {
				return true
			}
		}
	}
	return false
}

// reasonLeftBy returns the reason for stickiness that a statement may leave behind, or reasonNone.
func reasonLeftBy(st *sqlscan.Statement) Reason {
	words := st.Words
	switch words[0] {
	case "SET":
		if _, replayed := sessionparams.ChangeOf(st); replayed {
			break
		}
		if words[1] != "LOCAL" && words[1] != "TRANSACTION" && words[1] != "CONSTRAINTS" {
			return ReasonSetting
		}
	case "CREATE":
		for _, word := range words[1:] {
			if word == "TEMP" || word == "TEMPORARY" {
				return ReasonTempTable
			}
		}
	case "SELECT", "WITH":
		if st.Temp {
			return ReasonTempTable
		}
	case "DECLARE":
		if strings.Contains(strings.ToUpper(st.Text), "HOLD") {
			return ReasonHeldCursor
		}
	case "LISTEN":
		return ReasonListen
	case "PREPARE":
		if words[1] != "TRANSACTION" {
			return ReasonPrepared
		}
	case "DO", "CALL", "LOAD":
		return ReasonUnknownEffect
	}
	switch {
	case st.Session:
		return ReasonAdvisoryLock
	case st.Function != "":
		return ReasonUnknownEffect
	}
	return reasonNone
}

// releasedBy returns the reason that a completed statement releases once its transaction commits, or
// reasonNone. It uses the command tag and the statement (nil: not known).
func releasedBy(tag string, st *sqlscan.Statement) Reason {
	word, _, _ := strings.Cut(tag, " ")
	switch {
	case tag == "DISCARD TEMP":
		return ReasonTempTable
	case st == nil:
		return reasonNone
	case word == "RESET" && st.Words[1] == "ALL":
		return ReasonSetting
	case word == "UNLISTEN" && strings.HasSuffix(strings.TrimSpace(st.Text), "*"):
		return ReasonListen
	case word == "CLOSE" && st.Words[1] == "ALL":
		return ReasonHeldCursor
	}
	return reasonNone
}
