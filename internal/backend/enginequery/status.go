package enginequery

// Transaction statuses that engines report in ReadyForQuery ("Message Formats").
const (
	StatusIdle              byte = 'I' // no transaction is open
	StatusInTransaction     byte = 'T'
	StatusFailedTransaction byte = 'E' // the open transaction has failed: only its end is accepted
)
