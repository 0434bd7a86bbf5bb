package affinity

// Reason is a kind of session state that exists on one engine connection only and makes the session sticky.
type Reason int

// The reasons, with the page of PostgreSQL's documentation that describes the state.
const (
	// ReasonSetting: SET without LOCAL of a setting that is not replayed on other connections, or whose
	// value is not known ("SET").
	ReasonSetting Reason = iota
	// ReasonTempTable: a temporary table, view or sequence ("CREATE TABLE": dropped at the end of a
	// session).
	ReasonTempTable
	// ReasonHeldCursor: a cursor WITH HOLD ("DECLARE": remains after the transaction that made it commits).
	ReasonHeldCursor
	// ReasonListen: LISTEN ("LISTEN": registrations are cleared when the session ends).
	ReasonListen
	// ReasonAdvisoryLock: a session-level advisory lock ("Advisory Locks": held until released or the
	// session ends).
	ReasonAdvisoryLock
	// ReasonPrepared: PREPARE by SQL ("PREPARE": last for the duration of the session).
	ReasonPrepared
	// ReasonUnknownEffect: something that may have left state: a DO block, CALL, LOAD, a function whose
	// effects are not known, or a query during which the engine reported a changed setting that none of its
	// statements changes.
	ReasonUnknownEffect
	reasonCount
)

// reasonNone means that nothing makes the session sticky.
const reasonNone Reason = -1

// String returns the text that clients read in notices.
func (r Reason) String() string {
	return [...]string{
		"a session setting",
		"a temporary table",
		"a held cursor",
		"LISTEN",
		"an advisory lock",
		"a statement prepared by SQL",
		"a function or procedure that may have left state",
	}[r]
}

// reasonSet has an entry for each Reason.
type reasonSet [reasonCount]bool
