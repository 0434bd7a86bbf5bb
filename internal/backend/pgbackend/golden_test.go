package pgbackend

import (
	"container/list"
	"fmt"
	"strings"
	"testing"

	"cresspass"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/dispatch/response"
	"cresspass/internal/goldentest"
	"cresspass/internal/protocol/sqlscan"
)

// TestEngineBytesAreStable compares the requests sent to an engine, and the classification of its errors,
// with the output of the version that introduced this test.
func TestEngineBytesAreStable(t *testing.T) {
	p := NewPool(Config{MaxConnections: 4, MaxPrepared: 2, LoadReportFields: 2})
	defer p.Close()
	c := &conn{
		pool:          p,
		engine:        p.engineFor("engine"),
		preparedByKey: map[string]*list.Element{},
		preparedLRU:   list.New(),
		priority:      -1,
	}
	settings := (*sessionparams.Set)(nil).With("search_path", "set search_path = a")
	noValues := []byte{0, 0, 0, 0, 0, 0}
	var got strings.Builder
	for _, a := range []*Attempt{
		{Priority: -1}, // a health check
		{Query: &enginequery.Query{Kind: enginequery.Simple, Text: "select 1", OutsideTransaction: true},
			Priority: 3, MemoryMB: 64.9},
		{Query: &enginequery.Query{Kind: enginequery.Simple, Text: "select 2", OutsideTransaction: true},
			Priority: 3, MemoryMB: 64.9},
		{Query: &enginequery.Query{Kind: enginequery.Simple, Text: "select 3", OutsideTransaction: true},
			Priority: -1, MemoryMB: 0.2},
		{Query: &enginequery.Query{Kind: enginequery.Simple, Text: "select 4", OutsideTransaction: true,
			Settings: settings}, Priority: 0},
		{Query: &enginequery.Query{Kind: enginequery.Simple, Text: "select 5", Settings: nil}, Priority: -1},
		{Query: &enginequery.Query{Kind: enginequery.Execute, Text: "select $1",
			ParameterTypes: "\x00\x00\x00\x19", BindBody: noValues,
			WithDescribe: true, MaxRows: 7, OutsideTransaction: true}, Priority: -1},
		{Query: &enginequery.Query{Kind: enginequery.Execute, Text: "select $1",
			ParameterTypes: "\x00\x00\x00\x19", BindBody: noValues},
			Priority: -1},
		{Query: &enginequery.Query{Kind: enginequery.DescribeStatement, Text: "select 6"}, Priority: -1},
		{Query: &enginequery.Query{Kind: enginequery.DescribePortal, Text: "select 7", BindBody: noValues},
			Priority: -1},
		{Query: &enginequery.Query{Kind: enginequery.Execute, Text: "select 8", BindBody: noValues,
			Portal: "p"}, Priority: -1},
		{Query: &enginequery.Query{Kind: enginequery.Execute, Text: "select 8", Portal: "p",
			ContinuePortal: true, MaxRows: 2}, Priority: -1},
		{Query: &enginequery.Query{Kind: enginequery.Execute, Text: "copy t from stdin", BindBody: noValues,
			Parsed: sqlscan.Statements("copy t from stdin")}, Priority: -1},
	} {
		if a.Query != nil {
			a.Response = response.New(nil, &response.BufferBudget{}, 0)
		}
		c.readyToSkip, c.gatedQuery, c.syncPending, c.preparingKey = 0, nil, false, ""
		fmt.Fprintf(&got, "request %q\n", c.buildRequest(a))
		var gated []byte
		if c.gatedQuery != nil {
			gated = c.appendQuery(nil, c.gatedQuery)
		}
		fmt.Fprintf(
			&got,
			"  skip %d gated %q sync owed %v preparing %q\n",
			c.readyToSkip,
			gated,
			c.syncPending,
			c.preparingKey,
		)
	}
	for _, code := range []string{"", "00000", "01000", "02000", "03000", "08006", "08P01", "09000", "0A000",
		"0B000", "0F000", "0L000", "0P000", "0Z000", "20000", "21000", "22012", "23505", "24000", "25P02",
		"26000", "27000", "28000", "2B000", "2D000", "2F000", "34000", "38000", "39000", "3B000", "3D000",
		"3F000", "40001", "42P01", "44000", "53000", "53100", "53200", "53300", "53400", "54000", "55000",
		"57000", "57014", "57P01", "57P02", "57P03", "57P05", "58000", "58030", "72000", "F0000", "HV000",
		"P0001", "XX000", "XX001", "123"} {
		outcome, queryError := classifySQLState(code)
		c.copyInFailed = true
		copyOutcome, copyQueryError := c.classifyError(code)
		fmt.Fprintf(&got, "error %q outcome %d own %v never ran %v; of a failed copy %d %v\n", code, outcome,
			queryError, provesNotRun(code), copyOutcome, copyQueryError)
	}
	for _, v := range []string{"", "1", "1,2", "1.5,-2e3", "1,x", "1,2,3", " 1,2"} {
		fmt.Fprintf(&got, "load %q %v\n", v, c.parseLoadReport(v))
	}
	r := notStarted(cresspass.OutcomeNotStarted)
	fmt.Fprintf(&got, "not begun: outcome %d message %q\n", r.Outcome, r.Message)
	goldentest.Compare(t, "requests.txt", []byte(got.String()))
}
