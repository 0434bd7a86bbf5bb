package standin

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/protocol/sqlscan"
)

// handleMessage handles one message of the client. An error ends the connection.
func (c *engineConn) handleMessage(m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Sync); ok {
		if c.skipUntilSync = false; c.txStatus == txIdle {
			clear(c.portals)
		}
		return c.sendReady()
	}
	if c.skipUntilSync {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		if err := c.handleQuery(m.String); err != nil {
			return err
		}
		c.skipUntilSync = false
		return c.sendReady()
	case *pgproto3.Parse:
		c.handleParse(m)
	case *pgproto3.Bind:
		c.handleBind(m)
	case *pgproto3.Describe:
		c.handleDescribe(m)
	case *pgproto3.Execute:
		return c.handleExecute(m)
	case *pgproto3.Close:
		c.handleClose(m)
	case *pgproto3.Flush:
		return c.backend.Flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail: // of a copy that failed before
	case *pgproto3.Terminate:
		return errConnectionEnded
	default:
		c.fail(codeFeatureNotSupported, fmt.Sprintf("the stand-in does not know %T", m))
	}
	return nil
}

func (c *engineConn) handleParse(m *pgproto3.Parse) {
	if strings.Contains(m.Query, syntaxErrorMarker) {
		c.fail(codeSyntaxError, "syntax error, as the text asks for")
		return
	}
	c.statements[m.Name] = m.Query
	c.backend.Send(&pgproto3.ParseComplete{})
}

func (c *engineConn) handleBind(m *pgproto3.Bind) {
	text, ok := c.statements[m.PreparedStatement]
	if !ok {
		c.fail(codeInvalidStatementName, "prepared statement "+m.PreparedStatement+" does not exist")
		return
	}
	p := &enginePortal{text: text}
	if len(m.Parameters) > 0 {
		p.firstParameter = string(m.Parameters[0])
	}
	p.formats = append(p.formats, m.ResultFormatCodes...)
	for _, v := range m.Parameters { // copied, as pgproto3 reuses the message's buffer
		p.params = append(p.params, slices.Clone(v))
	}
	c.portals[m.DestinationPortal] = p
	c.backend.Send(&pgproto3.BindComplete{})
}

func (c *engineConn) handleDescribe(m *pgproto3.Describe) {
	text, formats := "", []int16(nil)
	if p := c.portals[m.Name]; m.ObjectType == 'P' && p != nil {
		text, formats = p.text, p.formats
	}
	if m.ObjectType == 'S' {
		text = c.statements[m.Name]
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: parameterTypes(text)})
	}
	if returnsRows(text) {
		c.backend.Send(rowDescription(tableFor(text), formats))
	} else {
		c.backend.Send(&pgproto3.NoData{})
	}
}

func (c *engineConn) handleExecute(m *pgproto3.Execute) error {
	p := c.portals[m.Portal]
	if p == nil {
		c.fail(codeInvalidCursorName, "portal "+m.Portal+" does not exist")
		return nil
	}
	if p.executed {
		c.fetch(p, int(m.MaxRows))
		return nil
	}
	statements := sqlscan.Statements(p.text)
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if len(statements) == 1 && c.applySessionStatement(&statements[0], p.text, p.firstParameter) {
		return nil
	}
	p.executed, c.runningPortal = true, p
	defer func() { c.runningPortal = nil }()
	if m.MaxRows > 0 {
		c.limitedPortal, c.rowLimit = p, int(m.MaxRows)
		defer func() { c.limitedPortal = nil }()
	}
	return c.runStatement(p.text, p.firstParameter, false)
}

func (c *engineConn) handleClose(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.statements, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
}

// handleQuery executes a simple query, or applies the settings that the dispatcher sends before one.
func (c *engineConn) handleQuery(text string) error {
	all := sqlscan.Statements(text)
	if len(all) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if isDispatcherSetting(all[0].Words) {
		for _, s := range all {
			c.applyDispatcherSetting(s)
			c.complete(s.Words[0])
		}
		return nil
	}
	if strings.Contains(text, syntaxErrorMarker) {
		c.fail(codeSyntaxError, "syntax error, as the text asks for")
		return nil
	}
	c.inSimpleQuery = true
	defer func() { c.inSimpleQuery = false }()
	before, open := c.savepoint(), c.txStatus != txIdle
	defer func() { // after an error, a text that is a transaction of its own is rolled back
		if c.skipUntilSync && !open && c.txStatus == txIdle && all[0].Words[0] != "BEGIN" {
			c.settings, c.temporaryTables = before.settings, before.temporaryTables
		}
	}()
	for i := range all {
		if c.skipUntilSync {
			return nil // an error ends the whole text
		}
		if c.applySessionStatement(&all[i], text, "") {
			continue
		}
		if err := c.runStatement(text, "", true); err != nil {
			return err
		}
	}
	return nil
}

// isDispatcherSetting reports, from the first words of a statement, whether it sets the memory grant or the
// priority of the next query. The dispatcher sends such statements before a query.
func isDispatcherSetting(words [4]string) bool {
	switch words[0] {
	case "SET":
		return words[1] == "WORK_MEM" || words[1] == "CRESSPASS"
	case "RESET":
		return words[1] == "WORK_MEM"
	}
	return false
}

// applyDispatcherSetting sets the memory grant or the priority. A value that is not a number counts as 0.
func (c *engineConn) applyDispatcherSetting(s sqlscan.Statement) {
	_, value, _ := strings.Cut(s.Text, "=")
	value = strings.Trim(strings.TrimSpace(value), "'")
	switch {
	case s.Words[0] == "RESET":
		c.grantMB = 0
	case s.Words[1] == "WORK_MEM":
		c.grantMB, _ = strconv.ParseFloat(strings.TrimSuffix(value, "MB"), 64)
	case s.Words[2] == "PRIORITY":
		c.priority, _ = strconv.Atoi(value)
	}
}
