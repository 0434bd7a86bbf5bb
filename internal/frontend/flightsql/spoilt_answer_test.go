package flightsql

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cresspass/internal/dispatch/response"
	"cresspass/internal/frontend"
	"cresspass/internal/protocol/pgwire"
)

// answeredCall returns a call whose engine's answer has begun with some messages.
func answeredCall(answer []byte) *call {
	c := &call{server: &Server{mem: memory.DefaultAllocator, log: slog.New(slog.DiscardHandler)},
		scope: &scope{}, dataReady: make(chan struct{}, 1), bufferTaken: make(chan struct{}, 1)}
	r := response.New(c, &response.BufferBudget{}, 0)
	c.query = &frontend.Query{Response: r}
	r.BeginAttempt(0)
	r.WriteThrough(0, answer)
	return c
}

// reportedRun returns what a client is told of whether the statement ran, and what the ticket's ledger is.
func reportedRun(t *testing.T, s *Server, err error) (told string, ledger bool) {
	t.Helper()
	for _, detail := range status.Convert(s.setTrailers(err, func(metadata.MD) {}, nil)).Details() {
		if info, ok := detail.(*errdetails.ErrorInfo); ok {
			told = info.Metadata["ran"]
		}
	}
	return told, mayHaveRun(err)
}

// spoiltAnswers are answers of an engine that has run the statement, whose bytes can't be passed on.
func spoiltAnswers() map[string][]byte {
	const int4 = "\x00\x01n\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x17\x00\x04\xff\xff\xff\xff\x00\x01"
	description := pgwire.Append(nil, 'T', []byte(int4))
	described := func(kind byte, body string) []byte {
		return pgwire.Append(bytes.Clone(description), kind, []byte(body))
	}
	return map[string][]byte{
		"value of a wrong length":  described('D', "\x00\x01\x00\x00\x00\x03abc"),
		"row without its columns":  described('D', "\x00\x02"),
		"row without description":  pgwire.Append(nil, 'D', []byte("\x00\x01\x00\x00\x00\x01x")),
		"description that is cut":  pgwire.Append(nil, 'T', []byte("\x00\x07n")),
		"second description":       described('T', int4),
		"no rows after the rows":   pgwire.Append(rowMessages(1), 'n', nil),
		"message that is cut":      {'D', 0, 0, 0},
		"message of a false size":  {'D', 0, 0, 0, 200, 1},
		"error that can't be read": pgwire.Append(nil, 'E', []byte("C")),
		"answer of a COPY":         pgwire.Append(nil, 'H', []byte("\x00\x00\x00")),
	}
}

// TestSpoiltAnswerMayHaveRun guards against a statement that is reported as not run although its engine has
// answered it: where a part of the answer could not be read, the client was told ran=false, and its
// single-use ticket ran an unsafe statement a second time.
func TestSpoiltAnswerMayHaveRun(t *testing.T) {
	for name, answer := range spoiltAnswers() {
		t.Run(name, func(t *testing.T) {
			c := answeredCall(answer)
			if c.query.Response.Finish(0, nil, true); len(answer) == 0 {
				t.Fatal("no answer")
			}
			_, err := receiveAll(t, c)
			if err == nil {
				t.Fatal("the answer was passed on")
			}
			if told, ledger := reportedRun(t, c.server, err); told != "unknown" || !ledger {
				t.Errorf("%v: the client is told ran=%q, the ticket is used: %v; want unknown, true", err,
					told, ledger)
			}
		})
	}
}

// TestUnreadableTagMayHaveRun is TestSpoiltAnswerMayHaveRun for an update, whose rows are skipped.
func TestUnreadableTagMayHaveRun(t *testing.T) {
	c := answeredCall(pgwire.Append(nil, 'C', []byte("INSERT 0 1"))) // its end is missing
	c.query.Response.Finish(0, nil, true)
	_, _, err := c.readToEnd(t.Context())
	if err == nil {
		t.Fatal("the command tag was accepted")
	}
	if told, _ := reportedRun(t, c.server, err); told != "unknown" {
		t.Errorf("%v: the client is told ran=%q, want unknown", err, told)
	}
}

// TestPanicMayHaveRun guards against a call that is reported as not run because it panicked: its statement
// may have been sent before.
func TestPanicMayHaveRun(t *testing.T) {
	s := &Server{log: slog.New(slog.DiscardHandler)}
	var err error
	func() {
		defer s.recoverCall("method", &err)
		panic(errors.New("any"))
	}()
	if told, ledger := reportedRun(t, s, err); told != "unknown" || !ledger {
		t.Errorf("%v: told ran=%q, the ticket is used: %v; want unknown, true", err, told, ledger)
	}
}

// TestRowsBeforeSpoiltRow guards against a panic that ended the process: of an answer whose last row is
// spoilt behind its first column, the client receives the rows before and then the error.
func TestRowsBeforeSpoiltRow(t *testing.T) {
	const rows = 3
	columns := []pgproto3.FieldDescription{{Name: []byte("t"), DataTypeOID: pgtype.TextOID, Format: 1},
		{Name: []byte("n"), DataTypeOID: pgtype.Int4OID, Format: 1}}
	answer, err := (&pgproto3.RowDescription{Fields: columns}).Encode(nil)
	for range rows {
		answer, _ = (&pgproto3.DataRow{Values: [][]byte{{'a'}, {0, 0, 0, 1}}}).Encode(answer)
	}
	answer, _ = (&pgproto3.DataRow{Values: [][]byte{{'a'}, {0, 1}}}).Encode(answer)
	if err != nil {
		t.Fatal(err)
	}
	c := answeredCall(answer)
	c.query.Response.Finish(0, nil, true)
	if got, err := receiveAll(t, c); got != rows || err == nil {
		t.Errorf("received %d rows and error %v, want %d rows and an error", got, err, rows)
	}
}
