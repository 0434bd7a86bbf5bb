package enginequery

// Transaction statuses, as engines report them in ReadyForQuery ("Message Formats").
const (
	StatusIdle              byte = 'I' // no transaction is open
	StatusInTransaction     byte = 'T'
	StatusFailedTransaction byte = 'E' // the open transaction has failed: only its end is accepted
)
