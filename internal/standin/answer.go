package standin

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	flushBytes     = 8 << 10               // approximate number of buffered bytes at which rows are flushed
	rowOverhead    = 20                    // approximate number of bytes that a row adds to its value
	crashDelay     = 20 * time.Millisecond // lets the rows leave before a crash resets the connection
	garbageMessage = "\x00\xff!!! this is no protocol \x00\x01\x02\x03"
)

// answer is the result of a statement, as it is sent to the client.
type answer struct {
	rows      int
	tag       string              // command tag of CommandComplete; "": PortalSuspended is sent instead
	value     []byte              // the second column of plain rows
	tableRows []*pgproto3.DataRow // rows of a table, repeated in turn; nil: plain rows
	copyOut   bool
}

// sendAnswer sends the rows and the end of a statement, or what the engine's current faults require instead.
// An error ends the connection.
func (c *engineConn) sendAnswer(x *execution, outcome Outcome) error {
	faults := c.engine.currentFaults()
	if faults.Garbage {
		x.recordOutcome(OutcomeGarbage)
		_, _ = c.netConn.Write([]byte(garbageMessage)) // the connection ends next, whether it arrives or not
		return errConnectionEnded
	}
	cutAt := -1
	if c.engine.chance(faults.Cut) {
		cutAt = x.rows / 2
	}
	if upper := strings.ToUpper(x.text); strings.HasPrefix(upper, "COPY") &&
		strings.Contains(upper, "FROM STDIN") {
		return c.answerCopyIn(x, outcome)
	}
	a, err := c.prepareAnswer(x, outcome)
	if err != nil {
		x.recordOutcome(OutcomeFailed)
		c.fail(codeInvalidTextRepresentation, err.Error())
		return nil
	}
	if a.copyOut {
		err = c.sendCopyOut(x, a)
	} else {
		err = c.sendRows(x, a, faults.DieAfterRows, cutAt)
	}
	if err != nil {
		return err
	}
	if cutAt >= 0 && a.rows == 0 {
		x.recordOutcome(OutcomeCut)
		return errConnectionEnded
	}
	if a.copyOut {
		c.backend.Send(&pgproto3.CopyDone{})
	}
	x.recordOutcome(outcome)
	if a.tag == "" {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.complete(a.tag)
	return nil
}

// prepareAnswer determines the rows of an answer and sends the messages that precede them. An error means
// that a parameter of the statement has no valid value.
func (c *engineConn) prepareAnswer(x *execution, outcome Outcome) (answer, error) {
	a := answer{rows: x.rows, tag: "SELECT " + strconv.Itoa(x.rows)}
	if !returnsRows(x.text) {
		a.rows, a.tag = 0, "INSERT 0 1"
		if outcome == OutcomeDropped {
			a.tag = "INSERT 0 0"
		}
	}
	if err := c.prepareTableRows(x, &a); err != nil {
		return a, err
	}
	a.value = []byte(strings.Repeat("v", max(int(numberTag(x.tags, "row_bytes", defaultRowBytes)), 0)))
	if echo := x.tags["echo"]; echo != "" {
		a.value = []byte(echo)
	}
	if p := c.limitedPortal; p != nil && a.rows > c.rowLimit {
		p.remaining, p.value = a.rows-c.rowLimit, string(a.value)
		a.rows, a.tag = c.rowLimit, ""
	}
	if strings.HasPrefix(strings.ToUpper(strings.TrimSpace(x.text)), "COPY") {
		a.copyOut = true
		a.rows = x.rows
		a.tag = "COPY " + strconv.Itoa(a.rows)
		c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
	}
	return a, nil
}

// prepareTableRows sends a RowDescription if x.describe is set and the answer has rows, and encodes the rows
// of a statement that asks for a table (see tableFor).
func (c *engineConn) prepareTableRows(x *execution, a *answer) error {
	table := tableFor(x.text)
	var formats []int16
	var params [][]byte
	if p := c.runningPortal; p != nil {
		formats, params = p.formats, p.params
	}
	hasColumns := x.tags["columns"] != ""
	if table != nil && hasColumns {
		params = nil
	}
	if x.describe && a.rows > 0 {
		c.backend.Send(rowDescription(table, formats))
	}
	if table == nil || a.rows == 0 {
		return nil
	}
	encodedRows, err := table.encode(formats, params)
	if err != nil {
		return err
	}
	a.tableRows = encodedRows
	if !hasColumns {
		a.rows = len(encodedRows)
		a.tag = "SELECT " + strconv.Itoa(a.rows)
	}
	return nil
}

// sendRows sends rows, up to the row at which a fault crashes the engine (dieAfterRows) or ends the
// connection (cutAt, -1: none).
func (c *engineConn) sendRows(x *execution, a answer, dieAfterRows, cutAt int) error {
	buffered := 0
	for i := range a.rows {
		if a.tableRows != nil {
			c.backend.Send(a.tableRows[i%len(a.tableRows)])
		} else {
			c.backend.Send(plainRow(i, a.value))
		}
		if err := c.flushWhenFull(x, &buffered, len(a.value)); err != nil {
			return err
		}
		if dieAfterRows > 0 && i+1 == dieAfterRows {
			_ = c.backend.Flush() // the connection ends next in any case
			time.Sleep(crashDelay)
			x.recordOutcome(OutcomeDied)
			c.engine.Crash()
			return errConnectionEnded
		}
		if i == cutAt {
			_ = c.backend.Flush() // the connection ends next in any case
			x.recordOutcome(OutcomeCut)
			return errConnectionEnded
		}
	}
	return nil
}

func (c *engineConn) sendCopyOut(x *execution, a answer) error {
	buffered := 0
	for i := range a.rows {
		c.backend.Send(&pgproto3.CopyData{Data: []byte(strconv.Itoa(i) + "\t" + string(a.value) + "\n")})
		if err := c.flushWhenFull(x, &buffered, len(a.value)); err != nil {
			return err
		}
	}
	return nil
}

// flushWhenFull counts a row that was buffered, and flushes the buffer once it holds more than flushBytes.
func (c *engineConn) flushWhenFull(x *execution, buffered *int, valueBytes int) error {
	*buffered += valueBytes + rowOverhead
	if *buffered <= flushBytes {
		return nil
	}
	*buffered = 0
	if c.backend.Flush() != nil {
		x.recordOutcome(OutcomeDied)
		return errConnectionEnded
	}
	return nil
}

func plainRow(i int, value []byte) *pgproto3.DataRow {
	return &pgproto3.DataRow{Values: [][]byte{[]byte(strconv.Itoa(i)), value}}
}

// answerCopyIn receives the data of COPY FROM STDIN and completes the statement.
func (c *engineConn) answerCopyIn(x *execution, outcome Outcome) error {
	lines, ok, err := c.receiveCopy(x.tags)
	switch {
	case err != nil:
		x.recordOutcome(OutcomeDied)
		return err
	case !ok:
		x.recordOutcome(OutcomeFailed)
		return nil
	}
	x.recordOutcome(outcome)
	c.complete("COPY " + strconv.Itoa(lines))
	return nil
}

// receiveCopy receives the data of COPY FROM STDIN and counts its lines; ok is false where an error was sent.
// The tag bad_line is the line at which the copy fails; chunk_ms is the time that each message takes.
func (c *engineConn) receiveCopy(tags map[string]string) (lines int, ok bool, err error) {
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if err := c.backend.Flush(); err != nil {
		return 0, false, err
	}
	badLine := int(numberTag(tags, "bad_line", 0))
	pause := time.Duration(numberTag(tags, "chunk_ms", 0) * float64(time.Millisecond))
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return 0, false, err
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			c.engine.addCopied(len(m.Data))
			lines += bytes.Count(m.Data, []byte("\n"))
			time.Sleep(pause)
			if badLine > 0 && lines >= badLine {
				c.fail(codeBadCopyFileFormat, "a line of the copy is bad, as the text asks for")
				return 0, false, nil
			}
		case *pgproto3.CopyDone:
			return lines, true, nil
		case *pgproto3.CopyFail:
			c.fail(codeQueryCanceled, "COPY from stdin failed: "+m.Message)
			return 0, false, nil
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			c.fail(codeProtocolViolation, fmt.Sprintf("%T during COPY from stdin", m))
			return 0, false, nil
		}
	}
}

// fetch sends the next rows of a suspended portal, at most limit where that is not 0.
func (c *engineConn) fetch(p *enginePortal, limit int) {
	n := p.remaining
	if limit > 0 {
		n = min(n, limit)
	}
	p.remaining -= n
	for i := range n {
		c.backend.Send(plainRow(i, []byte(p.value)))
	}
	if p.remaining > 0 {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return
	}
	c.complete("SELECT " + strconv.Itoa(n))
}
