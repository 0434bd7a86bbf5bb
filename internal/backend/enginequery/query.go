// Package enginequery describes a query in terms of the PostgreSQL protocol. All engines speak this
// protocol, and queries of every front are sent with it. The package holds data only: other packages decide
// where and when the query runs.
package enginequery

import (
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/sqlscan"
)

// Kind specifies which protocol messages send a query to an engine.
type Kind int

// The kinds of query.
const (
	Simple            Kind = iota // Query, of the simple protocol
	Execute                       // Parse, Bind and Execute
	DescribeStatement             // Parse and Describe of the statement
	DescribePortal                // Parse, Bind and Describe of the portal
)

// Query is one query for an engine.
type Query struct {
	Kind           Kind
	Text           string
	Parsed         []sqlscan.Statement
	ParameterTypes string // type OIDs of the parameters, 4 bytes each
	BindBody       []byte // body of the Bind message after the portal's and the statement's name

	// For the kind Execute.

	WithDescribe   bool  // the portal is described before it is executed
	MaxRows        int32 // row limit of the Execute; 0: all rows
	ContinuePortal bool  // fetches more rows from a portal that exists on the engine connection

	// Portal is the portal's name at the engine. It is empty unless the session is in a transaction, because
	// only there a portal outlives the Sync of its query.
	Portal string

	// How the query depends on its client's session and affects it.

	Sticky             bool // the session held an engine connection before this query
	MayBecomeSticky    bool // the session holds no engine connection, but may after this query
	Stateful           bool // Sticky, MayBecomeSticky, or the query changes replayed settings
	OutsideTransaction bool // no transaction is open
	Settings           *sessionparams.Set
}

// PrepareKey identifies the query's prepared statement: its text and parameter types.
func (q *Query) PrepareKey() string { return q.ParameterTypes + "\x00" + q.Text }

// DescriptionKey identifies the description of the query's statement. It includes the session's settings,
// because the search path determines which tables the statement names. ok is false if the description must
// not be shared: a session with its own connection may have tables that no other session sees.
func (q *Query) DescriptionKey() (key string, ok bool) {
	return q.PrepareKey() + q.Settings.Key(), !q.Sticky
}

// MayCopyIn reports whether the query may start copy-in mode through the extended protocol. No Sync is sent
// after such a query until the copy has ended. An engine in copy-in mode skips a Sync, but it answers one if
// the copy fails before the engine reads the Sync, so the number of ReadyForQuery messages would not be
// predictable.
func (q *Query) MayCopyIn() bool {
	return q.Kind == Execute && len(q.Parsed) > 0 && q.Parsed[0].Words[0] == "COPY"
}

// ParseStatements splits a text into its statements. Functions for which stateless returns true count as
// leaving no state in the session. A nil stateless returns true for none.
func ParseStatements(text string, stateless func(name string) bool) []sqlscan.Statement {
	statements := sqlscan.Statements(text)
	for i := range statements {
		if f := statements[i].Function; f != "" && stateless != nil && stateless(f) {
			statements[i].Function = ""
		}
	}
	return statements
}
