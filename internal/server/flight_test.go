package server_test

import (
	"context"
	"database/sql"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	_ "github.com/apache/arrow-go/v18/arrow/flight/flightsql/driver"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/jackc/pgx/v5/pgtype"
	_ "github.com/jackc/pgx/v5/stdlib"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

// equalValues reports whether two texts represent the same value of a type.
func equalValues(m *pgtype.Map, oid uint32, a, b string) bool {
	decode := func(v string) any {
		if v == `\N` {
			return nil
		}
		if oid == pgtype.BoolOID {
			v = v[:1]
		}
		typ, ok := m.TypeForOID(oid)
		if !ok {
			return v
		}
		out, err := typ.Codec.DecodeValue(m, oid, pgtype.TextFormatCode, []byte(v))
		if err != nil {
			return err.Error() + v
		}
		if at, ok := out.(time.Time); ok {
			return at.UTC()
		}
		return out
	}
	return reflect.DeepEqual(decode(a), decode(b))
}

var suiteTypes = []string{"bool", "bytea", "int8", "int2", "int4", "text", "oid", "json", "float4", "float8",
	"varchar", "date", "time", "timestamp", "timestamptz", "numeric", "uuid", "_bool", "_bytea", "_int2",
	"_int4",
	"_text", "_int8", "_float4", "_float8", "_timestamp", "_date", "_timestamptz", "_numeric", "_uuid",
	"point"}

// TestSuiteOverBothFrontends runs one suite over both frontends and checks that the same statements give the
// same values, counts and errors.
func TestSuiteOverBothFrontends(t *testing.T) {
	_, s := startDispatcher(t, 3, flightSettings)
	m := pgtype.NewMap()
	pg := pgSuiteClient{connect(t, s, "")}
	fl := &flightSuiteClient{client: dialFlight(t, s, "u")}
	compareFrontends := func(f func(c suiteClient) any) {
		t.Helper()
		if a, b := f(pg), f(fl); !reflect.DeepEqual(a, b) {
			t.Errorf("PostgreSQL gives %v, Flight SQL %v", a, b)
		}
	}
	for _, name := range suiteTypes { // the values of each type include null and edge cases
		text := "select 1 /*columns='" + name + ",text',rows='64',work_ms='0'*/"
		a, code := pg.query(t, text)
		b, code2 := fl.query(t, text)
		if code+code2 != "" || len(a) != 64 || len(b) != 64 {
			t.Errorf("%s: %d and %d rows, %q %q", name, len(a), len(b), code, code2)
			continue
		}
		var oid uint32
		if typ, ok := m.TypeForName(name); ok {
			oid = typ.OID
		}
		for i := range a {
			if !equalValues(m, oid, a[i][0], b[i][0]) || a[i][1] != b[i][1] {
				t.Errorf("%s, row %d: PostgreSQL gives %q, Flight SQL %q", name, i, a[i], b[i])
				break
			}
		}
		v := a[7][0]
		text = "select $1::" + name + " /*echo_params='1'*/" // sends the value back as a parameter
		for _, c := range []suiteClient{pg, fl} {
			if got, code := c.query(t, text, v); code != "" || len(got) != 1 ||
				!equalValues(m, oid, got[0][0], v) {
				t.Errorf("%s: parameter %q is echoed as %q %s by %T", name, v, got, code, c)
			}
		}
	}
	type outcome struct {
		rows any
		code string
	}
	for _, q := range []string{"select 1 /*rows='0'*/", "select 1 /*rows='3000',row_bytes='100'*/",
		"select 'syntax error'", "select 1 from tmp_none", "insert into t values (1) returning a",
		"show search_path",
		"select 1 /*class='none'*/", "select 1 /*wait_ms='1',work_ms='50',cost_ms='5000'*/", ""} {
		compareFrontends(func(c suiteClient) any {
			rows, code := c.query(t, q)
			return outcome{fmt.Sprint(rows), code}
		})
	}
	compareFrontends(func(c suiteClient) any {
		n, code := c.exec(t, "insert into t values (1)")
		return outcome{n, code}
	})
	compareFrontends(func(c suiteClient) any {
		n, code := c.exec(t, "insert into t select $1::text", "x")
		return outcome{n, code}
	})
	compareFrontends(func(c suiteClient) any { // only the transaction itself sees its temporary table
		finish := c.begin(t)
		_, a := c.exec(t, "create temp table tmp_s (a int)")
		_, b := c.query(t, "select 1 from tmp_s")
		_, d := c.query(t, "select 1 from tmp_other")
		_, e := c.query(t, "select 1")
		f := finish(true)
		_, g := c.query(t, "select 1 from tmp_s")
		return []string{a, b, d, e, f, g}
	})
	compareFrontends(func(c suiteClient) any { // a session's settings apply on every engine
		c.set(t, "search_path", "mine")
		var out []any
		for range 6 {
			rows, code := c.query(t, "show search_path")
			out = append(out, fmt.Sprint(rows), code)
		}
		return out
	})
	pg.conn.Close(context.Background())
	eventually(t, "all sessions are free", func() bool { return s.StickySessions() == 0 })
}

// TestDatabaseSQLOverBothFrontends checks that both frontends give the same results to the same program over
// database/sql, with the drivers of pgx and Arrow.
func TestDatabaseSQLOverBothFrontends(t *testing.T) {
	_, s := startDispatcher(t, 2, flightSettings)
	program := func(db *sql.DB) (out []string) {
		defer db.Close()
		ctx := context.Background()
		note := func(what string, err error, values ...any) {
			end := ""
			if err != nil {
				if end = pgSQLState(err); len(end) != 5 {
					end = flightSQLState(err)
				}
			}
			out = append(out, fmt.Sprint(what, " ", values, " ", end))
		}
		rows, err := db.QueryContext(ctx,
			"select 1 /*columns='int8,int4,bool,text,float8,timestamp,numeric',rows='9'*/")
		note("query", err)
		for err == nil && rows.Next() {
			var a, b sql.NullInt64
			var c sql.NullBool
			var d, g sql.NullString
			var e sql.NullFloat64
			var f sql.NullTime
			err = rows.Scan(&a, &b, &c, &d, &e, &f, &g)
			var n pgtype.Numeric
			if scanErr := n.Scan(g.String); scanErr != nil {
				note("numeric", scanErr)
			}
			number, _ := n.Value()
			note("row", err, a, b, c, d, e, f.Time.UTC(), f.Valid, number)
		}
		if rows != nil {
			note("end", rows.Err())
			rows.Close()
		}
		var text string
		note("parameter", db.QueryRowContext(ctx, "select $1::text /*echo_params='1'*/",
			"it's").Scan(&text), text)
		res, err := db.ExecContext(ctx, "insert into t select $1::text", "x")
		if err == nil {
			n, e := res.RowsAffected()
			note("update", e, n)
		} else {
			note("update", err)
		}
		for _, q := range []string{"select 1 /*class='none'*/", "select 1 from tmp_none"} {
			r, err := db.QueryContext(ctx, q)
			if err == nil { // one of the drivers reports the error with the rows
				for r.Next() {
				}
				err = r.Err()
				r.Close()
			}
			note(q, err)
		}
		tx, err := db.BeginTx(ctx, nil)
		note("begin", err)
		if err == nil {
			_, err = tx.ExecContext(ctx, "create temp table tmp_d (a int)")
			note("create", err)
			_, err = tx.ExecContext(ctx, "insert into tmp_d values (1)")
			note("insert", err)
			note("rollback", tx.Rollback())
		}
		return out
	}
	open := func(driver, url string) *sql.DB {
		db, err := sql.Open(driver, url)
		if err != nil {
			t.Fatal(err)
		}
		db.SetMaxOpenConns(1)
		return db
	}
	a := program(open("pgx", connectionString(s, "")))
	b := program(open("flightsql", "flightsql://u:p@"+s.FlightAddr()))
	if len(a) < 18 || len(a) != len(b) {
		t.Fatalf("%d and %d lines:\n%s\n\n%s", len(a), len(b), strings.Join(a, "\n"), strings.Join(b, "\n"))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Errorf("PostgreSQL: %s\nFlight SQL: %s", a[i], b[i])
		}
	}
}

// TestFlightCatalogsAndSavepoints checks the metadata calls that drivers make when they connect, savepoints
// and the end of the session.
func TestFlightCatalogsAndSavepoints(t *testing.T) {
	_, s := startDispatcher(t, 2, flightSettings)
	c := dialFlight(t, s, "u")
	for name, call := range map[string]struct {
		f    func() (*flight.FlightInfo, error)
		want string
	}{
		"catalogs": {func() (*flight.FlightInfo, error) { return c.GetCatalogs(c.ctx) }, "[[db]]"},
		"schemas": {func() (*flight.FlightInfo, error) {
			return c.GetDBSchemas(c.ctx, &flightsql.GetDBSchemasOpts{})
		}, "[[db information_schema] [db public]]"},
		"tables": {func() (*flight.FlightInfo, error) {
			return c.GetTables(c.ctx,
				&flightsql.GetTablesOpts{})
		},
			"[[db public orders BASE TABLE] [db public sales VIEW]]"},
		"types": {func() (*flight.FlightInfo, error) { return c.GetTableTypes(c.ctx) },
			"[[BASE TABLE] [FOREIGN] [LOCAL TEMPORARY] [VIEW]]"},
		"keys": {func() (*flight.FlightInfo, error) {
			return c.GetPrimaryKeys(c.ctx, flightsql.TableRef{Table: "orders"})
		}, "[[db public orders id 1 orders_pkey]]"},
	} {
		fi, err := call.f()
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if rows, err := c.rows(c.ctx, fi); err != nil || fmt.Sprint(rows) != call.want {
			t.Errorf("%s: %v %v, want %s", name, rows, err, call.want)
		}
	}
	fi, err := c.GetTables(c.ctx, &flightsql.GetTablesOpts{IncludeSchema: true})
	if err != nil {
		t.Fatal(err)
	}
	rd, err := c.DoGet(c.ctx, fi.Endpoint[0].Ticket)
	if err != nil || !rd.Next() {
		t.Fatal(err)
	}
	sc, err := flight.DeserializeSchema(rd.RecordBatch().Column(4).(*array.Binary).Value(0),
		memory.DefaultAllocator)
	if err != nil || len(sc.Fields()) != 2 || sc.Field(1).Type.String() != "decimal(10, 2)" ||
		sc.Field(0).Nullable {
		t.Errorf("schema of orders: %v %v", sc, err)
	}
	rd.Release()
	for _, f := range []func() (*flight.FlightInfo, error){
		func() (*flight.FlightInfo, error) { return c.GetXdbcTypeInfo(c.ctx, nil) },
		func() (*flight.FlightInfo, error) {
			return c.GetSqlInfo(c.ctx, []flightsql.SqlInfo{flightsql.SqlInfoFlightSqlServerName,
				flightsql.SqlInfoFlightSqlServerTransaction})
		}} {
		fi, err := f()
		if err != nil {
			t.Fatal(err)
		}
		rd, err := c.DoGet(c.ctx, fi.Endpoint[0].Ticket)
		if err != nil || !rd.Next() || rd.RecordBatch().NumRows() < 2 {
			t.Errorf("info: %v", err)
		}
		rd.Release()
	}
	cc, err := grpc.NewClient(s.FlightAddr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer cc.Close()
	health, err := healthpb.NewHealthClient(cc).Check(c.ctx, &healthpb.HealthCheckRequest{})
	if err != nil || health.Status != healthpb.HealthCheckResponse_SERVING {
		t.Errorf("health: %v %v", health, err)
	}
	tx, err := c.BeginTransaction(c.ctx)
	if err != nil {
		t.Fatal(err)
	}
	p, err := tx.BeginSavepoint(c.ctx, "a")
	if err != nil {
		t.Fatal(err)
	}
	if fi, err = tx.Execute(c.ctx, "select 1 from tmp_none"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.rows(c.ctx, fi); flightSQLState(err) != "42P01" {
		t.Errorf("query of a table that does not exist: %v, want 42P01", err)
	}
	if err := tx.RollbackSavepoint(c.ctx, p); err != nil {
		t.Errorf("rollback to the savepoint of a failed transaction: %v", err)
	}
	if err := tx.Commit(c.ctx); err != nil {
		t.Error(err)
	}
	if res, err := c.CloseSession(c.ctx, &flight.CloseSessionRequest{}); err != nil ||
		res.Status != flight.CloseSessionResultClosed {
		t.Errorf("close: %v %v", res, err)
	}
	if err := c.query("select 1"); status.Code(err) != codes.Unauthenticated {
		t.Errorf("query after the session was closed: %v, want Unauthenticated", err)
	}
}
