package flightsql

import (
	"context"
	"strings"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql/schema_ref"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/frontend/flightsql/arrowbatch"
)

// What drivers ask at connect. Catalogs, schemas, tables and keys are an engine's to know: each is a query of
// its own on the ordinary path, with a tag by which rules can give it a class.

// describeSelf fills in what GetSqlInfo tells.
func (s *Server) describeSelf() {
	for id, v := range map[flightsql.SqlInfo]any{
		flightsql.SqlInfoFlightSqlServerName:               "cresspass",
		flightsql.SqlInfoFlightSqlServerVersion:            s.cfg.Version,
		flightsql.SqlInfoFlightSqlServerArrowVersion:       arrow.PkgVersion,
		flightsql.SqlInfoFlightSqlServerReadOnly:           false,
		flightsql.SqlInfoFlightSqlServerSql:                true,
		flightsql.SqlInfoFlightSqlServerSubstrait:          false,
		flightsql.SqlInfoFlightSqlServerTransaction:        int32(flightsql.SqlTransactionSavepoint),
		flightsql.SqlInfoFlightSqlServerCancel:             true,
		flightsql.SqlInfoFlightSqlServerBulkIngestion:      false,
		flightsql.SqlInfoFlightSqlServerStatementTimeout:   int32(0),
		flightsql.SqlInfoFlightSqlServerTransactionTimeout: int32(0),
		flightsql.SqlInfoDDLCatalog:                        false,
		flightsql.SqlInfoDDLSchema:                         true,
		flightsql.SqlInfoDDLTable:                          true,
		flightsql.SqlInfoIdentifierCase:                    int64(flightsql.SqlCaseSensitivityLowerCase),
		flightsql.SqlInfoIdentifierQuoteChar:               `"`,
		flightsql.SqlInfoQuotedIdentifierCase: int64(
			flightsql.SqlCaseSensitivityCaseInsensitive),
		flightsql.SqlInfoAllTablesAreASelectable:  true,
		flightsql.SqlInfoNullOrdering:             int64(flightsql.SqlNullOrderingSortHigh),
		flightsql.SqlInfoTransactionsSupported:    true,
		flightsql.SqlInfoSavePointsSupported:      true,
		flightsql.SqlInfoSchemaTerm:               "schema",
		flightsql.SqlInfoCatalogTerm:              "database",
		flightsql.SqlInfoMaxConnections:           int64(0),
		flightsql.SqlInfoSelectForUpdateSupported: true,
		flightsql.SqlInfoBatchUpdatesSupported:    true,
	} {
		if err := s.RegisterSqlInfo(id, v); err != nil {
			s.log.Error("SQL info", "id", id, "error", err)
		}
	}
}

// Queries for catalogs. A parameter that is null does not filter.
const (
	catalogsText = `SELECT datname::text AS catalog_name FROM pg_catalog.pg_database
WHERE datallowconn ORDER BY 1 /*action='flight.catalogs'*/`
	schemasText = `SELECT current_database()::text AS catalog_name, nspname::text AS db_schema_name
FROM pg_catalog.pg_namespace WHERE ($1::text IS NULL OR current_database() = $1::text)
AND ($2::text IS NULL OR nspname LIKE $2::text) ORDER BY 1, 2 /*action='flight.schemas'*/`
	tablesText = `SELECT table_catalog::text AS catalog_name, table_schema::text AS db_schema_name,
table_name::text, table_type::text FROM information_schema.tables
WHERE ($1::text IS NULL OR table_catalog = $1::text) AND ($2::text IS NULL OR table_schema LIKE $2::text)
AND ($3::text IS NULL OR table_name LIKE $3::text)
AND ($4::text IS NULL OR table_type = ANY (string_to_array($4::text, ',')))
ORDER BY 4, 1, 2, 3 /*action='flight.tables'*/`
	columnsText = `SELECT n.nspname::text AS db_schema_name, c.relname::text AS table_name,
a.attname::text AS column_name, a.atttypid::int8 AS type, a.atttypmod::int8 AS typmod, a.attnotnull AS notnull
FROM pg_catalog.pg_attribute a JOIN pg_catalog.pg_class c ON c.oid = a.attrelid
JOIN pg_catalog.pg_namespace n ON n.oid = c.relnamespace
WHERE a.attnum > 0 AND NOT a.attisdropped AND ($1::text IS NULL OR n.nspname LIKE $1::text)
AND ($2::text IS NULL OR c.relname LIKE $2::text) ORDER BY 1, 2, a.attnum /*action='flight.columns'*/`
	keysText = `SELECT current_database()::text AS catalog_name, n.nspname::text AS db_schema_name,
c.relname::text AS table_name, a.attname::text AS column_name, k.n::int8 AS key_sequence,
o.conname::text AS key_name FROM pg_catalog.pg_constraint o JOIN pg_catalog.pg_class c ON c.oid = o.conrelid
JOIN pg_catalog.pg_namespace n ON n.oid = c.relnamespace
CROSS JOIN LATERAL unnest(o.conkey) WITH ORDINALITY AS k(attnum, n)
JOIN pg_catalog.pg_attribute a ON a.attrelid = c.oid AND a.attnum = k.attnum
WHERE o.contype = 'p' AND ($1::text IS NULL OR current_database() = $1::text)
AND ($2::text IS NULL OR n.nspname = $2::text) AND c.relname = $3::text
ORDER BY k.n /*action='flight.keys'*/`
)

// queryCatalog runs a query for a catalog and returns its rows; null parameters are nil.
func (s *Server) queryCatalog(
	ctx context.Context,
	text string,
	params ...*string,
) (arrow.RecordBatch, error) {
	t := sessionOf(ctx).defaultScope
	h, err := s.describe(ctx, t, text)
	if err != nil {
		return nil, err
	}
	fields := make([]arrow.Field, len(params))
	for i := range params {
		fields[i] = arrow.Field{Name: "p", Type: arrow.BinaryTypes.String, Nullable: true}
	}
	b := array.NewRecordBuilder(s.mem, arrow.NewSchema(fields, nil))
	defer b.Release()
	for i, p := range params {
		if p == nil {
			b.Field(i).AppendNull()
		} else {
			b.Field(i).(*array.StringBuilder).Append(*p)
		}
	}
	row := b.NewRecordBatch()
	defer row.Release()
	bind, err := arrowbatch.AppendBind(nil, row, 0, h.rows)
	if err != nil {
		return nil, err
	}
	c, err := s.startStatement(
		ctx,
		t,
		statement{text: text, parameterTypes: h.parameterTypes, parsed: s.scan(text), bindBody: bind,
			kind: enginequery.Execute},
	)
	if err != nil {
		return nil, err
	}
	sc, ch, err := s.streamBatches(ctx, c, func(error) {})
	if err != nil {
		return nil, err
	}
	var all []arrow.RecordBatch
	defer func() {
		for _, r := range all {
			r.Release()
		}
	}()
	for chunk := range ch {
		if chunk.Err != nil {
			err = chunk.Err
		} else {
			all = append(all, chunk.Data)
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return concatBatches(s, sc, append(all, emptyBatch(s, sc)))
}

// concatBatches is batches of a schema as one.
func concatBatches(s *Server, sc *arrow.Schema, all []arrow.RecordBatch) (arrow.RecordBatch, error) {
	rows, cols := int64(0), make([]arrow.Array, 0, len(sc.Fields()))
	for _, r := range all {
		rows += r.NumRows()
	}
	defer func() {
		for _, c := range cols {
			c.Release()
		}
	}()
	for i := range sc.Fields() {
		var parts []arrow.Array
		for _, r := range all {
			parts = append(parts, r.Column(i))
		}
		c, err := array.Concatenate(parts, s.mem)
		if err != nil {
			return nil, err
		}
		cols = append(cols, c)
	}
	return array.NewRecordBatch(sc, cols, rows), nil
}

func emptyBatch(s *Server, sc *arrow.Schema) arrow.RecordBatch {
	b := array.NewRecordBuilder(s.mem, sc)
	defer b.Release()
	return b.NewRecordBatch()
}

// singleChunk is a stream of one batch.
func singleChunk(r arrow.RecordBatch) <-chan flight.StreamChunk {
	ch := make(chan flight.StreamChunk, 1)
	ch <- flight.StreamChunk{Data: r}
	close(ch)
	return ch
}

// withSchema puts columns of a batch under the names and nullability of a schema of Flight SQL's.
func withSchema(sc *arrow.Schema, r arrow.RecordBatch) arrow.RecordBatch {
	defer r.Release()
	return array.NewRecordBatch(sc, r.Columns(), r.NumRows())
}

// GetFlightInfoCatalogs and the like give the command itself as ticket.
func (s *Server) GetFlightInfoCatalogs(_ context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo,
	error) {
	return s.commandInfo(d, schema_ref.Catalogs)
}

// DoGetCatalogs lists the databases.
func (s *Server) DoGetCatalogs(ctx context.Context) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	r, err := s.queryCatalog(ctx, catalogsText)
	if err != nil {
		return nil, nil, err
	}
	return schema_ref.Catalogs, singleChunk(withSchema(schema_ref.Catalogs, r)), nil
}

// GetFlightInfoSchemas answers for DoGetDBSchemas.
func (s *Server) GetFlightInfoSchemas(_ context.Context, _ flightsql.GetDBSchemas,
	d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.commandInfo(d, schema_ref.DBSchemas)
}

// DoGetDBSchemas lists schemas.
func (s *Server) DoGetDBSchemas(ctx context.Context,
	cmd flightsql.GetDBSchemas) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	r, err := s.queryCatalog(ctx, schemasText, cmd.GetCatalog(), cmd.GetDBSchemaFilterPattern())
	if err != nil {
		return nil, nil, err
	}
	return schema_ref.DBSchemas, singleChunk(withSchema(schema_ref.DBSchemas, r)), nil
}

// GetFlightInfoTables answers for DoGetTables.
func (s *Server) GetFlightInfoTables(_ context.Context, cmd flightsql.GetTables,
	d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	if cmd.GetIncludeSchema() {
		return s.commandInfo(d, schema_ref.TablesWithIncludedSchema)
	}
	return s.commandInfo(d, schema_ref.Tables)
}

// DoGetTables lists tables, with the schemas of their rows where that is asked for.
func (s *Server) DoGetTables(ctx context.Context,
	cmd flightsql.GetTables) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	var kinds *string
	if k := cmd.GetTableTypes(); len(k) > 0 {
		joined := strings.Join(k, ",")
		kinds = &joined
	}
	r, err := s.queryCatalog(ctx, tablesText, cmd.GetCatalog(), cmd.GetDBSchemaFilterPattern(),
		cmd.GetTableNameFilterPattern(), kinds)
	if err != nil {
		return nil, nil, err
	}
	if !cmd.GetIncludeSchema() {
		return schema_ref.Tables, singleChunk(withSchema(schema_ref.Tables, r)), nil
	}
	defer r.Release()
	cols, err := s.queryCatalog(
		ctx,
		columnsText,
		cmd.GetDBSchemaFilterPattern(),
		cmd.GetTableNameFilterPattern(),
	)
	if err != nil {
		return nil, nil, err
	}
	defer cols.Release()
	text := func(r arrow.RecordBatch, col, row int) string { return r.Column(col).(*array.String).Value(row) }
	fields := map[[2]string][]arrow.Field{}
	for i := range int(cols.NumRows()) {
		at := [2]string{text(cols, 0, i), text(cols, 1, i)}
		fields[at] = append(fields[at], arrowbatch.Field(text(cols, 2, i),
			uint32(cols.Column(3).(*array.Int64).Value(i)), int32(cols.Column(4).(*array.Int64).Value(i)),
			!cols.Column(5).(*array.Boolean).Value(i)))
	}
	b := array.NewBinaryBuilder(s.mem, arrow.BinaryTypes.Binary)
	defer b.Release()
	for i := range int(r.NumRows()) {
		b.Append(flight.SerializeSchema(arrow.NewSchema(fields[[2]string{text(r, 1, i), text(r, 2, i)}],
			nil), s.mem))
	}
	schemas := b.NewBinaryArray()
	defer schemas.Release()
	sc := schema_ref.TablesWithIncludedSchema
	return sc, singleChunk(
		array.NewRecordBatch(sc, append(append([]arrow.Array(nil), r.Columns()...), schemas),
			r.NumRows()),
	), nil
}

// GetFlightInfoTableTypes answers for DoGetTableTypes.
func (s *Server) GetFlightInfoTableTypes(_ context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo,
	error) {
	return s.commandInfo(d, schema_ref.TableTypes)
}

// DoGetTableTypes lists what information_schema.tables calls tables.
func (s *Server) DoGetTableTypes(context.Context) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	b := array.NewRecordBuilder(s.mem, schema_ref.TableTypes)
	defer b.Release()
	b.Field(0).(*array.StringBuilder).AppendValues([]string{"BASE TABLE", "FOREIGN", "LOCAL TEMPORARY",
		"VIEW"},
		nil)
	return schema_ref.TableTypes, singleChunk(b.NewRecordBatch()), nil
}

// GetFlightInfoPrimaryKeys answers for DoGetPrimaryKeys.
func (s *Server) GetFlightInfoPrimaryKeys(_ context.Context, _ flightsql.TableRef,
	d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.commandInfo(d, schema_ref.PrimaryKeys)
}

// DoGetPrimaryKeys lists the columns of a table's primary key.
func (s *Server) DoGetPrimaryKeys(ctx context.Context,
	ref flightsql.TableRef) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	r, err := s.queryCatalog(ctx, keysText, ref.Catalog, ref.DBSchema, &ref.Table)
	if err != nil {
		return nil, nil, err
	}
	defer r.Release()
	seq := array.NewInt32Builder(s.mem)
	defer seq.Release()
	for i := range int(r.NumRows()) {
		seq.Append(int32(r.Column(4).(*array.Int64).Value(i)))
	}
	n := seq.NewInt32Array()
	defer n.Release()
	c := r.Columns()
	return schema_ref.PrimaryKeys, singleChunk(array.NewRecordBatch(schema_ref.PrimaryKeys,
		[]arrow.Array{c[0], c[1], c[2], c[3], n, c[5]}, r.NumRows())), nil
}

// xdbc are the types of engines that this front gives a type of Arrow's, with their JDBC and ODBC codes.
var xdbc = []struct {
	name     string
	code     int32
	size     int32
	unsigned bool
}{{"bool", -7, 1, false}, {"int2", 5, 5, false}, {"int4", 4, 10, false}, {"int8", -5, 19, false},
	{"float4", 7, 24, false}, {"float8", 8, 53, false}, {"numeric", 2, 1000, false}, {"text", 12, 1 << 30,
		false},
	{"varchar", 12, 10485760, false}, {"bytea", -3, 1 << 30, false}, {"date", 91, 13, false},
	{"time", 92, 15, false}, {"timestamp", 93, 29, false}, {"timestamptz", 93, 35, false},
	{"uuid", -2, 16, false}, {"oid", -5, 10, true}}

// GetFlightInfoXdbcTypeInfo answers for DoGetXdbcTypeInfo.
func (s *Server) GetFlightInfoXdbcTypeInfo(_ context.Context, _ flightsql.GetXdbcTypeInfo,
	d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.commandInfo(d, schema_ref.XdbcTypeInfo)
}

// DoGetXdbcTypeInfo lists the types.
func (s *Server) DoGetXdbcTypeInfo(_ context.Context,
	cmd flightsql.GetXdbcTypeInfo) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	b := array.NewRecordBuilder(s.mem, schema_ref.XdbcTypeInfo)
	defer b.Release()
	for _, t := range xdbc {
		if want := cmd.GetDataType(); want != nil && *want != t.code {
			continue
		}
		for i, f := range schema_ref.XdbcTypeInfo.Fields() {
			switch f.Name {
			case "type_name", "local_type_name":
				b.Field(i).(*array.StringBuilder).Append(t.name)
			case "data_type", "sql_data_type":
				b.Field(i).(*array.Int32Builder).Append(t.code)
			case "column_size":
				b.Field(i).(*array.Int32Builder).Append(t.size)
			case "nullable":
				b.Field(i).(*array.Int32Builder).Append(1)
			case "case_sensitive":
				b.Field(i).(*array.BooleanBuilder).Append(t.code == 12)
			case "searchable":
				b.Field(i).(*array.Int32Builder).Append(3)
			case "unsigned_attribute":
				b.Field(i).(*array.BooleanBuilder).Append(t.unsigned)
			case "fixed_prec_scale", "auto_increment":
				b.Field(i).(*array.BooleanBuilder).Append(false)
			default:
				b.Field(i).AppendNull()
			}
		}
	}
	return schema_ref.XdbcTypeInfo, singleChunk(b.NewRecordBatch()), nil
}
