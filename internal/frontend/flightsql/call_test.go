package flightsql

import (
	"errors"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/memory"

	"cresspass/internal/dispatch/response"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend"
	"cresspass/internal/protocol/pgwire"
)

// rowMessages returns a RowDescription of one text column and the given number of DataRows.
func rowMessages(rows int) (b []byte) {
	const textOID = 25
	column := append([]byte("\x00\x01name\x00"), make([]byte, 18)...)
	column[len("\x00\x01name\x00")+9] = textOID // after the table's OID and the column's number
	b = pgwire.Append(b, 'T', column)
	for range rows {
		b = pgwire.Append(b, 'D', []byte("\x00\x01\x00\x00\x00\x01x"))
	}
	return b
}

// receiveAll returns how many rows a call's client receives and the error that ends the stream.
func receiveAll(t *testing.T, c *call) (rows int64, err error) {
	t.Helper()
	ended := make(chan error, 1)
	_, chunks, err := c.server.streamBatches(t.Context(), c, func(err error) { ended <- err })
	if err != nil {
		return 0, err
	}
	for chunk := range chunks {
		if chunk.Err != nil {
			err = chunk.Err
			continue
		}
		rows += chunk.Data.NumRows()
		chunk.Data.Release()
	}
	if endErr := <-ended; !errors.Is(endErr, err) {
		t.Errorf("the client received error %v, the call ended with %v", err, endErr)
	}
	return rows, err
}

// TestErrorFollowsRows guards against lost rows: an error that arrived before the client had taken the
// engine's rows replaced them.
func TestErrorFollowsRows(t *testing.T) {
	const rows = 3
	engineError := pgwire.AppendFields(nil, 'E', &pgwire.Fields{Severity: "ERROR", Code: "22012",
		Message: "division by zero"})
	for name, test := range map[string]struct {
		end  func(r *response.Response)
		rows int64
	}{
		"engine died": {func(r *response.Response) {
			r.FailAttempt(0, verdict.Fail("connection lost"))
		}, rows},
		"engine's error": {func(r *response.Response) { r.Finish(0, engineError, true) }, rows},
		"cancelled": {func(r *response.Response) {
			r.FinishWithVerdict(verdict.CancelledByClient())
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Server{mem: memory.DefaultAllocator}
			c := &call{server: s, scope: &scope{}, dataReady: make(chan struct{}, 1),
				bufferTaken: make(chan struct{}, 1)}
			r := response.New(c, &response.BufferBudget{}, 0)
			c.query = &frontend.Query{Response: r}
			r.BeginAttempt(0)
			r.WriteThrough(0, rowMessages(rows))
			test.end(r)
			if got, err := receiveAll(t, c); got != test.rows || err == nil {
				t.Errorf("received %d rows and error %v, want %d rows and an error", got, err, test.rows)
			}
			if pending := s.pendingBytes.Load(); pending != 0 {
				t.Errorf("%d bytes are still pending at the end, want 0", pending)
			}
		})
	}
}
