package pgbackend

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"cresspass"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlstate"
)

// loadReportSetting is the name of the ParameterStatus in which engines send load reports.
const loadReportSetting = "cresspass.load"

// SQLSTATEs of the progress notices that engines send.
const (
	noticeFractionDone = "CP001"
	noticeSpilled      = "CP002"
	noticeBlocked      = "CP003"
)

// errCopyInTwice means that the engine opened copy-in mode while a copy-in was active.
var errCopyInTwice = errors.New("CopyInResponse in copy-in mode")

// handleMessage handles one message of the engine. If it returns an error, the connection is closed.
func (c *conn) handleMessage(m pgwire.Message) error {
	a := c.current.Load()
	switch m.Type {
	case 'S': // ParameterStatus
		return c.handleParameterStatus(a, m)
	case 'N': // NoticeResponse
		return c.handleNotice(a, m)
	case 'A': // NotificationResponse
		return nil
	case 'E': // ErrorResponse
		return c.handleError(a, m)
	}
	switch {
	case a == nil:
		return fmt.Errorf("message %q without a query", m.Type)
	case m.Type == 'Z': // ReadyForQuery
		return c.handleReadyForQuery(a, m)
	case c.readyToSkip > 0: // the response to one of our own SETs
		return nil
	}
	return c.handleQueryMessage(a, m)
}

// handleQueryMessage handles a message of the query's own response.
func (c *conn) handleQueryMessage(a *Attempt, m pgwire.Message) error {
	switch m.Type {
	case 'C', 'I', 's': // CommandComplete, EmptyQueryResponse, PortalSuspended
		return c.handleStatementEnd(a, m)
	case 'G': // CopyInResponse
		if c.activeCopy != nil {
			return errCopyInTwice
		}
		c.startCopyIn(a, m)
	case '1': // ParseComplete
		c.preparingKey = ""
	case '2', '3': // BindComplete, CloseComplete: the session already answered the client's Bind and Close
	case 't', 'T', 'n': // ParameterDescription, RowDescription, NoData
		if a.Response != nil && a.Query.Kind == enginequery.DescribeStatement {
			c.description = pgwire.Append(c.description, m.Type, m.Body)
		}
		c.forward(m)
	case 'D', 'H', 'd', 'c': // DataRow, CopyOutResponse, CopyData, CopyDone
		c.forward(m)
	default:
		return fmt.Errorf("message %q is out of place", m.Type)
	}
	return nil
}

// handleStatementEnd handles the end of a statement without an error.
func (c *conn) handleStatementEnd(a *Attempt, m pgwire.Message) error {
	c.copyInFailed = c.finishCopyIn() || c.copyInFailed
	if err := c.sendPendingSync(); err != nil {
		return err
	}
	if m.Type == 'C' && a.Stateful {
		if tag, err := pgwire.ParseTag(m.Body); err == nil {
			c.commandTags = append(c.commandTags, string(tag))
			c.applyCommandTag(string(tag))
		}
	}
	c.forward(m)
	return nil
}

// forward adds a message to the response's batch.
func (c *conn) forward(m pgwire.Message) {
	c.batch = pgwire.Append(c.batch, m.Type, m.Body)
}

// sendPendingSync sends the Sync that was held back.
func (c *conn) sendPendingSync() error {
	if !c.syncPending {
		return nil
	}
	c.syncPending = false
	_, err := c.netConn.Write(pgwire.AppendSync(nil))
	return err
}

// handleParameterStatus handles a load report, or forwards a setting's new value to the client.
func (c *conn) handleParameterStatus(a *Attempt, m pgwire.Message) error {
	name, value, err := pgwire.ParseStatus(m.Body)
	if err == nil && string(name) == loadReportSetting {
		c.loadReport = c.parseLoadReport(string(value))
	} else if a != nil && c.readyToSkip == 0 {
		c.settingReported = true
		if !c.reportSetting(a, m.Body) && a.Response != nil {
			c.forward(m)
		}
	}
	return err
}

// parseLoadReport parses a load report. It returns nil unless the text has LoadReportFields numbers.
func (c *conn) parseLoadReport(text string) []float64 {
	fields := strings.Split(text, ",")
	if len(fields) != c.pool.cfg.LoadReportFields {
		return nil
	}
	values := make([]float64, len(fields))
	for i, field := range fields {
		value, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return nil
		}
		values[i] = value
	}
	return values
}

// handleNotice handles a notice: progress for the decision module, or a notice for the client.
func (c *conn) handleNotice(a *Attempt, m pgwire.Message) error {
	f, err := pgwire.ParseFields(m.Body)
	if err != nil || a == nil || a.Response == nil {
		return err
	}
	note := progressNote(f.Code)
	if note == 0 {
		if c.readyToSkip == 0 {
			c.forward(m)
		}
		return nil
	}
	if value, err := strconv.ParseFloat(f.Message, 64); err == nil && !a.done.Load() {
		a.OnProgress(note, value)
	}
	return nil
}

// progressNote returns the kind of progress that a notice reports, or 0 if it reports none.
func progressNote(code string) cresspass.NoteType {
	switch code {
	case noticeFractionDone:
		return cresspass.NoteFractionDone
	case noticeSpilled:
		return cresspass.NoteSpilled
	case noticeBlocked:
		return cresspass.NoteBlocked
	}
	return 0
}

// handleError handles an ErrorResponse to one of our own SETs or to the query.
func (c *conn) handleError(a *Attempt, m pgwire.Message) error {
	f, err := pgwire.ParseFields(m.Body)
	if err != nil {
		return err
	}
	if a == nil {
		return fmt.Errorf("%s %s: %s", f.Severity, f.Code, f.Message)
	}
	if c.readyToSkip > 0 {
		c.handleSettingError(f, m)
		return nil
	}
	c.failed, c.engineError = true, f
	if a.Query != nil && (c.preparingKey != "" || f.Code == sqlstate.InvalidSQLStatementName ||
		f.Code == sqlstate.FeatureNotSupported) {
		// The statement was not parsed, the engine no longer has it, or its plan is for tables that have
		// changed.
		c.dropPrepared(a.Query.PrepareKey())
	}
	if f.Severity == "FATAL" || f.Severity == "PANIC" {
		return fmt.Errorf("%s %s: %s", f.Severity, f.Code, f.Message)
	}
	c.copyInFailed = c.finishCopyIn() || c.copyInFailed
	if _, queryError := c.classifyError(f.Code); queryError {
		c.batch = pgwire.Append(c.batch, 'E', m.Body)
	}
	return c.sendPendingSync()
}

// handleSettingError handles the error of a SET that was sent before the query. The query also runs without
// work_mem or priority. Without the session's settings, which are set last, it must not run: their error is
// the query's response.
func (c *conn) handleSettingError(f pgwire.Fields, m pgwire.Message) {
	if c.readyToSkip > 1 || c.gatedQuery == nil {
		c.invalidateResourceSettings()
		return
	}
	c.failed, c.tainted, c.engineError = true, true, f
	if _, queryError := classifySQLState(f.Code); queryError {
		c.batch = pgwire.Append(c.batch, 'E', m.Body)
	}
}

// handleReadyForQuery handles a ReadyForQuery after one of our own SETs or after the query.
func (c *conn) handleReadyForQuery(a *Attempt, m pgwire.Message) error {
	if len(m.Body) != 1 {
		return fmt.Errorf("ReadyForQuery of %d bytes", len(m.Body))
	}
	if c.readyToSkip > 0 {
		c.readyToSkip--
		if c.readyToSkip > 0 || c.gatedQuery == nil || c.sendGatedQuery(a) {
			return nil
		}
	}
	return c.endQuery(a, m.Body[0])
}

// sendGatedQuery sends the query that waited for the session's settings. If the query may no longer start,
// sendGatedQuery ends the attempt instead. It returns false if the query must end without having been sent,
// because the engine rejected the settings or the attempt was withdrawn. The active settings of the
// connection are then unknown.
func (c *conn) sendGatedQuery(a *Attempt) bool {
	q := c.gatedQuery
	c.gatedQuery = nil
	if c.failed || a.done.Load() {
		c.tainted, c.failed = true, true
		return false
	}
	// The engine may have taken long to answer the settings. The request is built only now, because building
	// it marks the statement as prepared, which would be wrong if the request were never sent.
	if c.recheckMayStart(a) {
		c.write(c.appendQuery(nil, q))
	}
	return true
}
