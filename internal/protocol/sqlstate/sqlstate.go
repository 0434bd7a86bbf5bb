// Package sqlstate names the SQLSTATE codes that the dispatcher sends to clients, or on which its handling of
// an engine's error depends. Names and meanings follow PostgreSQL's appendix "PostgreSQL Error Codes".
package sqlstate

// The codes, ordered by class.
const (
	Warning                      = "01000"
	ConnectionFailure            = "08006"
	TransactionResolutionUnknown = "08007"
	ProtocolViolation            = "08P01"
	FeatureNotSupported          = "0A000"
	InvalidParameterValue        = "22023"
	InvalidTransactionState      = "25000"
	IdleInTransactionTimeout     = "25P03"
	InvalidSQLStatementName      = "26000"
	InvalidAuthorization         = "28000"
	InvalidCursorName            = "34000"
	SyntaxError                  = "42601"
	UndefinedObject              = "42704"
	DuplicateCursor              = "42P03"
	DuplicatePreparedStatement   = "42P05"
	OutOfMemory                  = "53200"
	TooManyConnections           = "53300"
	ConfigurationLimitExceeded   = "53400"
	ProgramLimitExceeded         = "54000"
	QueryCanceled                = "57014"
	AdminShutdown                = "57P01"
	CrashShutdown                = "57P02"
	CannotConnectNow             = "57P03"
)
