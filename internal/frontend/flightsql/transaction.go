package flightsql

import (
	"context"
	"strings"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc/codes"

	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend/flightsql/arrowbatch"
	"cresspass/internal/protocol/sqlstate"
)

const (
	// maxEndedTransactions limits how many transactions a session remembers, so that later calls get the
	// reason why a transaction ended. Open transactions count, but are never forgotten.
	maxEndedTransactions = 100
	maxSavepoints        = 10000 // remembered by a session; at the limit it forgets all
)

// runStatement runs a statement of the frontend itself, such as BEGIN, in the scope, and returns its command
// tag. Like any statement it is admitted and placed, and may be rejected.
func (sc *scope) runStatement(ctx context.Context, text string) (tag string, err error) {
	bindBody, err := arrowbatch.AppendBind(nil, nil, 0, nil)
	if err != nil {
		return "", err
	}
	s := sc.session.server
	return s.executeToEnd(ctx, sc, statement{text: text, parsed: s.scan(text), bindBody: bindBody})
}

// BeginTransaction opens a transaction, which has an engine connection of its own, and returns its id.
func (s *Server) BeginTransaction(ctx context.Context, _ flightsql.ActionBeginTransactionRequest) ([]byte,
	error) {
	if s.draining.Load() {
		return nil, verdictError(verdict.ShuttingDown(false))
	}
	sess := sessionOf(ctx)
	sc, err := sess.addTransaction()
	if err != nil {
		return nil, err
	}
	if _, err := sc.runStatement(ctx, "BEGIN"); err != nil {
		sess.mu.Lock()
		delete(sess.transactions, sc.transactionID)
		sess.mu.Unlock()
		sc.terminate(verdict.Invalid(sqlstate.InvalidTransactionState, "it did not begin"))
		return nil, err
	}
	s.mu.Lock()
	sessionEnded := s.sessions[sess.token] != sess
	s.mu.Unlock()
	if sessionEnded { // endSession may not have seen the new transaction
		sc.terminate(&verdict.Verdict{Kind: verdict.Cancelled, Code: sqlstate.AdminShutdown,
			Message: "the session has ended"})
		return nil, invalidCall(codes.Unauthenticated, "the session has ended")
	}
	if ctx.Err() != nil {
		// The client will never receive the id, and the transaction would stay open on its engine.
		sc.terminate(&verdict.Verdict{Kind: verdict.Cancelled, Code: sqlstate.QueryCanceled,
			Message: "its client took it back"})
		return nil, ctx.Err()
	}
	return []byte(sc.transactionID), nil
}

// addTransaction adds the scope of a new transaction to the session. It starts with the session's settings.
func (sess *session) addTransaction() (*scope, error) {
	sess.defaultScope.mu.Lock()
	settings := sess.defaultScope.affinity.Params.Desired()
	sess.defaultScope.mu.Unlock()
	sc := newScope(sess, transactionPrefix+newRandomID(), settings)
	sess.mu.Lock()
	defer sess.mu.Unlock()
	open := 0
	for _, other := range sess.transactions {
		if other.isSticky() {
			open++
		}
	}
	if limit := sess.server.cfg.MaxTransactions; limit > 0 && open >= limit {
		return nil, verdictError(verdict.RejectOverLimit("the session has too many open transactions"))
	}
	sess.transactions[sc.transactionID] = sc
	sess.transactionOrder = append(sess.transactionOrder, sc.transactionID)
	sess.forgetEndedTransactions()
	return sc, nil
}

// forgetEndedTransactions drops the oldest ended transactions beyond maxEndedTransactions. The caller holds
// the session's lock.
func (sess *session) forgetEndedTransactions() {
	for i := 0; i < len(sess.transactionOrder) && len(sess.transactionOrder) > maxEndedTransactions; {
		id := sess.transactionOrder[i]
		if sc := sess.transactions[id]; sc != nil && sc.isSticky() {
			i++
			continue
		}
		delete(sess.transactions, id)
		sess.transactionOrder = append(sess.transactionOrder[:i], sess.transactionOrder[i+1:]...)
	}
}

// EndTransaction commits or rolls back a transaction.
func (s *Server) EndTransaction(ctx context.Context, req flightsql.ActionEndTransactionRequest) error {
	if len(req.GetTransactionId()) == 0 {
		return invalidCall(codes.InvalidArgument, "no transaction is named")
	}
	sc, err := sessionOf(ctx).scopeFor(req.GetTransactionId())
	if err != nil {
		return err
	}
	switch req.GetAction() {
	case flightsql.EndTransactionCommit:
		return sc.commit(ctx)
	case flightsql.EndTransactionRollback:
		_, err := sc.runStatement(ctx, "ROLLBACK")
		return err
	}
	return invalidCall(codes.InvalidArgument, "neither commit nor rollback is asked for")
}

// tagRollback is the command tag of ROLLBACK, and of the COMMIT of a failed transaction.
const tagRollback = "ROLLBACK"

// commit commits a transaction. PostgreSQL answers the COMMIT of a failed transaction with the tag ROLLBACK
// and no error. commit returns an error then: the client would otherwise take the transaction for committed.
func (sc *scope) commit(ctx context.Context) error {
	tag, err := sc.runStatement(ctx, "COMMIT")
	if err != nil {
		return err
	}
	if tag == tagRollback {
		return invalidCall(codes.Aborted, "a statement of the transaction had failed: it was rolled back")
	}
	return nil
}

// BeginSavepoint sets a savepoint in a transaction and returns its id.
func (s *Server) BeginSavepoint(ctx context.Context, req flightsql.ActionBeginSavepointRequest) ([]byte,
	error) {
	sess := sessionOf(ctx)
	if len(req.GetTransactionId()) == 0 || req.GetName() == "" {
		return nil, invalidCall(codes.InvalidArgument, "a savepoint needs a transaction and a name")
	}
	sc, err := sess.scopeFor(req.GetTransactionId())
	if err != nil {
		return nil, err
	}
	if _, err := sc.runStatement(ctx, "SAVEPOINT "+quoteIdentifier(req.GetName())); err != nil {
		return nil, err
	}
	id := savepointPrefix + newRandomID()
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if len(sess.savepoints) >= maxSavepoints {
		clear(sess.savepoints)
	}
	sess.savepoints[id] = savepoint{sc.transactionID, req.GetName()}
	return []byte(id), nil
}

func quoteIdentifier(name string) string { return `"` + strings.ReplaceAll(name, `"`, `""`) + `"` }

// EndSavepoint releases a savepoint or rolls back to it.
func (s *Server) EndSavepoint(ctx context.Context, req flightsql.ActionEndSavepointRequest) error {
	sess := sessionOf(ctx)
	id := string(req.GetSavepointId())
	sess.mu.Lock()
	p, ok := sess.savepoints[id]
	sess.mu.Unlock()
	if !ok {
		return invalidCall(codes.NotFound, "the session has no savepoint of this id")
	}
	sc, err := sess.scopeFor([]byte(p.transaction))
	if err != nil {
		return err
	}
	switch req.GetAction() {
	case flightsql.EndSavepointRelease:
		if _, err := sc.runStatement(ctx, "RELEASE SAVEPOINT "+quoteIdentifier(p.name)); err != nil {
			return err
		}
		sess.mu.Lock()
		delete(sess.savepoints, id)
		sess.mu.Unlock()
		return nil
	case flightsql.EndSavepointRollback:
		_, err := sc.runStatement(ctx, "ROLLBACK TO SAVEPOINT "+quoteIdentifier(p.name))
		return err
	}
	return invalidCall(codes.InvalidArgument, "neither release nor rollback is asked for")
}
