// Package enginequery is one query in the terms of the engines, which speak PostgreSQL, whatever front it
// came by.
package enginequery

import (
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/sqlscan"
)

// Kind says how a query is put to an engine.
type Kind int

// The kinds of query.
const (
	Simple            Kind = iota // Text as a simple Query
	Execute                       // Parse, Bind and Execute; DescribePortal: Describe before Execute
	DescribeStatement             // Parse and Describe
	DescribePortal                // Parse, Bind and Describe
)

// Query is one query for an engine.
type Query struct {
	Kind               Kind
	Text               string
	Parsed             []sqlscan.Statement
	ParameterTypes     string             // OIDs of the parameters, 4 bytes each
	BindBody           []byte             // of the Bind message, all after its two names
	WithDescribe       bool               // Kind Execute: with Describe of the portal
	Portal             string             // its name at the engine; "" unless the session is in a transaction
	ContinuePortal     bool               // Kind Execute: fetch on from a portal that stands
	Sticky             bool               // the session was kept on an engine connection before it
	Stateful           bool               // the session is kept on an engine connection, may be by this, or changes settings
	MayBecomeSticky    bool               // the session is not kept, and may be by this
	OutsideTransaction bool               // no transaction is open
	Settings           *sessionparams.Set // what is to be in force on the connection
	MaxRows            int32              // Kind Execute: at most so many rows; 0: all
}

// PrepareKey names what an engine has to prepare for an Ask: its text and types.
func (a *Query) PrepareKey() string { return a.ParameterTypes + "\x00" + a.Text }

// MayCopyIn reports whether a query may open copy-in mode by the extended protocol. Danger: a Sync that was
// sent behind its Execute is passed over by the engine in copy-in mode, and not where the copy fails before
// it; the engine would be ready once or twice. So none is sent until the copy has ended.
func (a *Query) MayCopyIn() bool {
	return a.Kind == Execute && len(a.Parsed) > 0 && a.Parsed[0].Words[0] == "COPY"
}
