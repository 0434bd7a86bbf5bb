// Package enginequery describes one query in the terms of the engines, which speak the PostgreSQL protocol,
// whichever front the query came by. It holds data only: who runs the query, where and when is decided
// elsewhere.
package enginequery

import (
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/sqlscan"
)

// Kind says which protocol messages put a query to an engine.
type Kind int

// The kinds of query.
const (
	Simple            Kind = iota // a simple Query of the text
	Execute                       // Parse, Bind and Execute
	DescribeStatement             // Parse and Describe of the statement
	DescribePortal                // Parse, Bind and Describe of the portal
)

// Query is one query for an engine.
type Query struct {
	Kind           Kind
	Text           string
	Parsed         []sqlscan.Statement
	ParameterTypes string // OIDs of the parameters, 4 bytes each
	BindBody       []byte // body of the Bind message after its two names

	// For Kind Execute.

	WithDescribe   bool  // the portal is described before it is executed
	MaxRows        int32 // Execute returns at most so many rows; 0: all
	ContinuePortal bool  // fetches on from a portal that exists on the engine connection

	// Portal is the portal's name at the engine. It is empty unless the session is in a transaction: only
	// there does a portal outlive the Sync of its query.
	Portal string

	// What the query has to do with the state of its client's session.

	Sticky             bool // the session was on one engine connection before this query
	MayBecomeSticky    bool // the session is on no engine connection, and may be after this query
	Stateful           bool // the session is on an engine connection, may be after this, or changes settings
	OutsideTransaction bool // no transaction is open
	Settings           *sessionparams.Set
}

// PrepareKey identifies what an engine prepares for the query: its text and parameter types.
func (q *Query) PrepareKey() string { return q.ParameterTypes + "\x00" + q.Text }

// DescriptionKey identifies the description of the query's statement, which depends on the settings of its
// session too, as its tables are found by them. ok is false where it may not be shared: a session on a
// connection of its own may have tables that no other sees.
func (q *Query) DescriptionKey() (key string, ok bool) {
	return q.PrepareKey() + q.Settings.Key(), !q.Sticky
}

// MayCopyIn reports whether the query may open copy-in mode by the extended protocol. No Sync is sent after
// such a query until the copy has ended: an engine in copy-in mode skips a Sync, but it answers one if the
// copy fails before that is read, so that the number of ReadyForQuery messages could not be foreseen.
func (q *Query) MayCopyIn() bool {
	return q.Kind == Execute && len(q.Parsed) > 0 && q.Parsed[0].Words[0] == "COPY"
}

// ParseStatements parses a text. Functions for which stateless returns true count as functions without an
// effect on their session; nil: none does.
func ParseStatements(text string, stateless func(name string) bool) []sqlscan.Statement {
	statements := sqlscan.Statements(text)
	for i := range statements {
		if f := statements[i].Function; f != "" && stateless != nil && stateless(f) {
			statements[i].Function = ""
		}
	}
	return statements
}
