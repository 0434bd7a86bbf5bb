package server_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/jackc/pgx/v5"
)

// suiteClient is a client of a frontend as the test suite uses it. Errors are returned as their SQLSTATE, ""
// for none.
type suiteClient interface {
	// query returns a statement's rows, with their values as text; null is `\N`.
	query(t *testing.T, text string, params ...string) ([][]string, string)
	// exec returns the number of rows that a statement has changed.
	exec(t *testing.T, text string, params ...string) (int64, string)
	// begin begins a transaction and returns the function that ends it.
	begin(t *testing.T) (end func(commit bool) string)
	// set sets a setting of the session.
	set(t *testing.T, name, value string)
}

// pgSuiteClient is a client of the PostgreSQL frontend.
type pgSuiteClient struct{ conn *pgx.Conn }

// pgSQLState returns the SQLSTATE of an error, "" for no error, or the error's text if it has no SQLSTATE.
func pgSQLState(err error) string {
	if err == nil {
		return ""
	}
	return sqlState(err)
}

// run runs a statement over the extended protocol. It returns the rows, the SQLSTATE and the number of rows
// in the command tag.
func (p pgSuiteClient) run(text string, params []string) ([][]string, string, int64) {
	args := make([][]byte, len(params))
	for i, v := range params {
		if v != `\N` {
			args[i] = []byte(v)
		}
	}
	r := p.conn.PgConn().ExecParams(context.Background(), text, args, nil, nil, nil).Read()
	var out [][]string
	for _, row := range r.Rows {
		var vals []string
		for _, v := range row {
			if v == nil {
				vals = append(vals, `\N`)
			} else {
				vals = append(vals, string(v))
			}
		}
		out = append(out, vals)
	}
	return out, pgSQLState(r.Err), r.CommandTag.RowsAffected()
}

func (p pgSuiteClient) query(_ *testing.T, text string, params ...string) ([][]string, string) {
	rows, code, _ := p.run(text, params)
	return rows, code
}

func (p pgSuiteClient) exec(_ *testing.T, text string, params ...string) (int64, string) {
	_, code, n := p.run(text, params)
	return n, code
}

func (p pgSuiteClient) begin(t *testing.T) func(bool) string {
	if _, code := p.exec(t, "begin"); code != "" {
		t.Fatal(code)
	}
	return func(commit bool) string {
		text := map[bool]string{true: "commit", false: "rollback"}[commit]
		failed := p.conn.PgConn().TxStatus() == 'E'
		_, code := p.exec(t, text)
		if code == "" && commit && failed {
			code = "aborted"
		}
		return code
	}
}

func (p pgSuiteClient) set(t *testing.T, name, value string) {
	if _, code := p.exec(t, "set "+name+" = '"+value+"'"); code != "" {
		t.Fatal(code)
	}
}

// flightSuiteClient is a client of the Flight SQL frontend. Its statements carry the ID of the open
// transaction.
type flightSuiteClient struct {
	client *flightClient
	tx     *flightsql.Txn // nil: no transaction is open
}

// prepare prepares a statement with its parameters, in the transaction if one is open.
func (f *flightSuiteClient) prepare(text string, params []string) (*flightsql.PreparedStatement, error) {
	var p *flightsql.PreparedStatement
	var err error
	if f.tx != nil {
		p, err = f.tx.Prepare(f.client.ctx, text)
	} else {
		p, err = f.client.Prepare(f.client.ctx, text)
	}
	if err != nil || len(params) == 0 {
		return p, err
	}
	b := array.NewRecordBuilder(memory.DefaultAllocator, textSchema(len(params)))
	defer b.Release()
	for i, v := range params {
		if v == `\N` {
			b.Field(i).AppendNull()
		} else {
			b.Field(i).(*array.StringBuilder).Append(v)
		}
	}
	p.SetParameters(b.NewRecordBatch())
	return p, nil
}

// textSchema returns a schema of n text columns.
func textSchema(n int) *arrow.Schema {
	var fields []arrow.Field
	for i := range n {
		fields = append(fields, arrow.Field{Name: fmt.Sprint("p", i), Type: arrow.BinaryTypes.String,
			Nullable: true})
	}
	return arrow.NewSchema(fields, nil)
}

func (f *flightSuiteClient) query(t *testing.T, text string, params ...string) ([][]string, string) {
	var fi *flight.FlightInfo
	var err error
	switch {
	case len(params) > 0:
		p, e := f.prepare(text, params)
		if e != nil {
			return nil, flightSQLState(e)
		}
		defer p.Close(f.client.ctx)
		fi, err = p.Execute(f.client.ctx)
	case f.tx != nil:
		fi, err = f.tx.Execute(f.client.ctx, text)
	default:
		fi, err = f.client.Execute(f.client.ctx, text)
	}
	if err != nil {
		return nil, flightSQLState(err)
	}
	rows, err := f.client.rows(f.client.ctx, fi)
	return rows, flightSQLState(err)
}

func (f *flightSuiteClient) exec(t *testing.T, text string, params ...string) (n int64, code string) {
	var err error
	switch {
	case len(params) > 0:
		p, e := f.prepare(text, params)
		if e != nil {
			return 0, flightSQLState(e)
		}
		defer p.Close(f.client.ctx)
		n, err = p.ExecuteUpdate(f.client.ctx)
	case f.tx != nil:
		n, err = f.tx.ExecuteUpdate(f.client.ctx, text)
	default:
		n, err = f.client.ExecuteUpdate(f.client.ctx, text)
	}
	return n, flightSQLState(err)
}

func (f *flightSuiteClient) begin(t *testing.T) func(bool) string {
	tx, err := f.client.BeginTransaction(f.client.ctx)
	if err != nil {
		t.Fatal(err)
	}
	f.tx = tx
	return func(commit bool) string {
		f.tx = nil
		if commit {
			return flightSQLState(tx.Commit(f.client.ctx))
		}
		return flightSQLState(tx.Rollback(f.client.ctx))
	}
}

func (f *flightSuiteClient) set(t *testing.T, name, value string) {
	o, err := flight.NewSessionOptionValue(value)
	if err != nil {
		t.Fatal(err)
	}
	res, err := f.client.SetSessionOptions(f.client.ctx, &flight.SetSessionOptionsRequest{
		SessionOptions: map[string]*flight.SessionOptionValue{name: &o}})
	if err != nil || len(res.Errors) > 0 {
		t.Fatal(err, res)
	}
}
