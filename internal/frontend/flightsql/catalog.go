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

// Catalog calls, which drivers make when they connect. Only an engine knows its databases, schemas, tables
// and keys, so each call runs an ordinary query. The comment in the query's text lets class rules match it.
// GetFlightInfo returns the command itself as the ticket for DoGet.

// Queries of the catalog calls. A null parameter does not filter.
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
	primaryKeysText = `SELECT current_database()::text AS catalog_name, n.nspname::text AS db_schema_name,
c.relname::text AS table_name, a.attname::text AS column_name, k.n::int8 AS key_sequence,
o.conname::text AS key_name FROM pg_catalog.pg_constraint o JOIN pg_catalog.pg_class c ON c.oid = o.conrelid
JOIN pg_catalog.pg_namespace n ON n.oid = c.relnamespace
CROSS JOIN LATERAL unnest(o.conkey) WITH ORDINALITY AS k(attnum, n)
JOIN pg_catalog.pg_attribute a ON a.attrelid = c.oid AND a.attnum = k.attnum
WHERE o.contype = 'p' AND ($1::text IS NULL OR current_database() = $1::text)
AND ($2::text IS NULL OR n.nspname = $2::text) AND c.relname = $3::text
ORDER BY k.n /*action='flight.keys'*/`
)

// queryCatalog runs a catalog query and returns its rows as one batch. A nil parameter is null.
func (s *Server) queryCatalog(ctx context.Context, text string, params ...*string) (arrow.RecordBatch,
	error) {
	sc := sessionOf(ctx).defaultScope
	d, err := s.describe(ctx, sc, text)
	if err != nil {
		return nil, err
	}
	bindBody, err := s.bindTexts(params, d.rows)
	if err != nil {
		return nil, err
	}
	c, err := s.startStatement(ctx, sc, statement{text: text, parameterTypes: d.parameterTypes,
		parsed: s.scan(text), bindBody: bindBody, kind: enginequery.Execute})
	if err != nil {
		return nil, err
	}
	schema, chunks, err := s.streamBatches(ctx, c, func(error) {})
	if err != nil {
		return nil, err
	}
	var batches []arrow.RecordBatch
	defer func() {
		for _, b := range batches {
			b.Release()
		}
	}()
	for chunk := range chunks {
		if chunk.Err != nil {
			err = chunk.Err
		} else {
			batches = append(batches, chunk.Data)
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return concatBatches(s, schema, append(batches, emptyBatch(s, schema)))
}

// bindTexts returns the body of a Bind message with text parameters. A nil parameter is null.
func (s *Server) bindTexts(params []*string, rows *arrowbatch.Schema) ([]byte, error) {
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
	return arrowbatch.AppendBind(nil, row, 0, rows)
}

// concatBatches returns the batches, all of the given schema, as one batch.
func concatBatches(s *Server, schema *arrow.Schema, batches []arrow.RecordBatch) (arrow.RecordBatch, error) {
	rows, columns := int64(0), make([]arrow.Array, 0, len(schema.Fields()))
	for _, b := range batches {
		rows += b.NumRows()
	}
	defer func() {
		for _, c := range columns {
			c.Release()
		}
	}()
	for i := range schema.Fields() {
		var parts []arrow.Array
		for _, b := range batches {
			parts = append(parts, b.Column(i))
		}
		c, err := array.Concatenate(parts, s.mem)
		if err != nil {
			return nil, err
		}
		columns = append(columns, c)
	}
	return array.NewRecordBatch(schema, columns, rows), nil
}

func emptyBatch(s *Server, schema *arrow.Schema) arrow.RecordBatch {
	b := array.NewRecordBuilder(s.mem, schema)
	defer b.Release()
	return b.NewRecordBatch()
}

// singleChunk returns a stream of one batch.
func singleChunk(b arrow.RecordBatch) <-chan flight.StreamChunk {
	chunks := make(chan flight.StreamChunk, 1)
	chunks <- flight.StreamChunk{Data: b}
	close(chunks)
	return chunks
}

// withSchema returns a batch with the column names and nullability of one of Flight SQL's schemas, and
// releases the original.
func withSchema(schema *arrow.Schema, b arrow.RecordBatch) arrow.RecordBatch {
	defer b.Release()
	return array.NewRecordBatch(schema, b.Columns(), b.NumRows())
}

// GetFlightInfoCatalogs returns the ticket for DoGetCatalogs.
func (s *Server) GetFlightInfoCatalogs(_ context.Context, fd *flight.FlightDescriptor) (*flight.FlightInfo,
	error) {
	return s.commandInfo(fd, schema_ref.Catalogs)
}

// DoGetCatalogs lists the databases.
func (s *Server) DoGetCatalogs(ctx context.Context) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	b, err := s.queryCatalog(ctx, catalogsText)
	if err != nil {
		return nil, nil, err
	}
	return schema_ref.Catalogs, singleChunk(withSchema(schema_ref.Catalogs, b)), nil
}

// GetFlightInfoSchemas returns the ticket for DoGetDBSchemas.
func (s *Server) GetFlightInfoSchemas(_ context.Context, _ flightsql.GetDBSchemas,
	fd *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.commandInfo(fd, schema_ref.DBSchemas)
}

// DoGetDBSchemas lists the schemas.
func (s *Server) DoGetDBSchemas(ctx context.Context,
	cmd flightsql.GetDBSchemas) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	b, err := s.queryCatalog(ctx, schemasText, cmd.GetCatalog(), cmd.GetDBSchemaFilterPattern())
	if err != nil {
		return nil, nil, err
	}
	return schema_ref.DBSchemas, singleChunk(withSchema(schema_ref.DBSchemas, b)), nil
}

// GetFlightInfoTables returns the ticket for DoGetTables.
func (s *Server) GetFlightInfoTables(_ context.Context, cmd flightsql.GetTables,
	fd *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	if cmd.GetIncludeSchema() {
		return s.commandInfo(fd, schema_ref.TablesWithIncludedSchema)
	}
	return s.commandInfo(fd, schema_ref.Tables)
}

// DoGetTables lists the tables, with the schemas of their rows if the command asks for them.
func (s *Server) DoGetTables(ctx context.Context,
	cmd flightsql.GetTables) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	var types *string
	if t := cmd.GetTableTypes(); len(t) > 0 {
		list := strings.Join(t, ",")
		types = &list
	}
	tables, err := s.queryCatalog(ctx, tablesText, cmd.GetCatalog(), cmd.GetDBSchemaFilterPattern(),
		cmd.GetTableNameFilterPattern(), types)
	if err != nil {
		return nil, nil, err
	}
	if !cmd.GetIncludeSchema() {
		return schema_ref.Tables, singleChunk(withSchema(schema_ref.Tables, tables)), nil
	}
	defer tables.Release()
	columns, err := s.queryCatalog(ctx, columnsText, cmd.GetDBSchemaFilterPattern(),
		cmd.GetTableNameFilterPattern())
	if err != nil {
		return nil, nil, err
	}
	defer columns.Release()
	schemas := s.tableSchemas(tables, columns)
	defer schemas.Release()
	schema := schema_ref.TablesWithIncludedSchema
	all := append(append([]arrow.Array(nil), tables.Columns()...), schemas)
	return schema, singleChunk(array.NewRecordBatch(schema, all, tables.NumRows())), nil
}

// qualifiedTableName is a table's name within a database.
type qualifiedTableName struct{ schema, table string }

// tableSchemas returns the serialized schema of each table. tables has the rows of tablesText, columns those
// of columnsText.
func (s *Server) tableSchemas(tables, columns arrow.RecordBatch) arrow.Array {
	fields := map[qualifiedTableName][]arrow.Field{}
	for i := range int(columns.NumRows()) {
		name := qualifiedTableName{stringAt(columns, 0, i), stringAt(columns, 1, i)}
		oid := uint32(columns.Column(3).(*array.Int64).Value(i))
		modifier := int32(columns.Column(4).(*array.Int64).Value(i))
		notNull := columns.Column(5).(*array.Boolean).Value(i)
		fields[name] = append(fields[name],
			arrowbatch.Field(stringAt(columns, 2, i), oid, modifier, !notNull))
	}
	b := array.NewBinaryBuilder(s.mem, arrow.BinaryTypes.Binary)
	defer b.Release()
	for i := range int(tables.NumRows()) {
		name := qualifiedTableName{stringAt(tables, 1, i), stringAt(tables, 2, i)}
		b.Append(flight.SerializeSchema(arrow.NewSchema(fields[name], nil), s.mem))
	}
	return b.NewBinaryArray()
}

func stringAt(b arrow.RecordBatch, column, row int) string {
	return b.Column(column).(*array.String).Value(row)
}

// GetFlightInfoTableTypes returns the ticket for DoGetTableTypes.
func (s *Server) GetFlightInfoTableTypes(_ context.Context, fd *flight.FlightDescriptor) (*flight.FlightInfo,
	error) {
	return s.commandInfo(fd, schema_ref.TableTypes)
}

// DoGetTableTypes lists the table types of information_schema.tables.
func (s *Server) DoGetTableTypes(context.Context) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	b := array.NewRecordBuilder(s.mem, schema_ref.TableTypes)
	defer b.Release()
	b.Field(0).(*array.StringBuilder).AppendValues(
		[]string{"BASE TABLE", "FOREIGN", "LOCAL TEMPORARY", "VIEW"}, nil)
	return schema_ref.TableTypes, singleChunk(b.NewRecordBatch()), nil
}

// GetFlightInfoPrimaryKeys returns the ticket for DoGetPrimaryKeys.
func (s *Server) GetFlightInfoPrimaryKeys(_ context.Context, _ flightsql.TableRef,
	fd *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return s.commandInfo(fd, schema_ref.PrimaryKeys)
}

// DoGetPrimaryKeys lists the columns of a table's primary key.
func (s *Server) DoGetPrimaryKeys(ctx context.Context,
	ref flightsql.TableRef) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	keys, err := s.queryCatalog(ctx, primaryKeysText, ref.Catalog, ref.DBSchema, &ref.Table)
	if err != nil {
		return nil, nil, err
	}
	defer keys.Release()
	// The engine's key_sequence is an int8, that of Flight SQL an int4.
	b := array.NewInt32Builder(s.mem)
	defer b.Release()
	for i := range int(keys.NumRows()) {
		b.Append(int32(keys.Column(4).(*array.Int64).Value(i)))
	}
	sequence := b.NewInt32Array()
	defer sequence.Release()
	c := keys.Columns()
	return schema_ref.PrimaryKeys, singleChunk(array.NewRecordBatch(schema_ref.PrimaryKeys,
		[]arrow.Array{c[0], c[1], c[2], c[3], sequence, c[5]}, keys.NumRows())), nil
}
