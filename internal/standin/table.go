package standin

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"cresspass/internal/protocol/sqlscan"
)

// Tags in a statement's comment select a table as its answer: columns='int8,text,...' gives rows of these
// types, echo_params gives the statement's parameters, and action='flight.…' gives a small catalog.

// samplePeriod is the number of rows after which sample values repeat.
const samplePeriod = 64

// typeOIDs holds the OIDs of the types that the stand-in can return, by name.
var typeOIDs = map[string]uint32{"bool": 16, "bytea": 17, "int8": 20, "int2": 21, "int4": 23, "text": 25,
	"oid": 26, "json": 114, "float4": 700, "float8": 701, "varchar": 1043, "date": 1082, "time": 1083,
	"timestamp": 1114, "timestamptz": 1184, "interval": 1186, "numeric": 1700, "uuid": 2950, "_bool": 1000,
	"_bytea": 1001, "_int2": 1005, "_int4": 1007, "_text": 1009, "_varchar": 1015, "_int8": 1016,
	"_float4": 1021, "_float8": 1022, "_timestamp": 1115, "_date": 1182, "_timestamptz": 1185,
	"_numeric": 1231, "_uuid": 2951, "point": 600}

// table holds the columns of an answer, and its rows where they are fixed.
type table struct {
	names []string
	oids  []uint32
	rows  [][]any // nil: sample values, or the statement's parameters
}

// catalog holds the catalog tables of the stand-in, by the tag action.
var catalog = map[string]table{
	"flight.catalogs": {names: []string{"catalog_name"}, oids: []uint32{25}, rows: [][]any{{"db"}}},
	"flight.schemas": {names: []string{"catalog_name", "db_schema_name"}, oids: []uint32{25, 25},
		rows: [][]any{{"db", "information_schema"}, {"db", "public"}}},
	"flight.tables": {names: []string{"catalog_name", "db_schema_name", "table_name", "table_type"},
		oids: []uint32{25, 25, 25, 25},
		rows: [][]any{{"db", "public", "orders", "BASE TABLE"}, {"db", "public", "sales", "VIEW"}}},
	"flight.columns": {names: []string{"db_schema_name", "table_name", "column_name", "type", "typmod",
		"notnull"},
		oids: []uint32{25, 25, 25, 20, 20, 16},
		rows: [][]any{{"public", "orders", "id", 20, -1, true}, {"public", "orders", "total", 1700, 655366,
			false},
			{"public", "sales", "day", 1082, -1, false}}},
	"flight.keys": {names: []string{"catalog_name", "db_schema_name", "table_name", "column_name",
		"key_sequence", "key_name"}, oids: []uint32{25, 25, 25, 25, 20, 25},
		rows: [][]any{{"db", "public", "orders", "id", 1, "orders_pkey"}}},
}

// castPattern matches a parameter with a cast, such as $1::int8.
var castPattern = regexp.MustCompile(`\$(\d+)::(\w+)`)

// parameterTypes returns the type OIDs of a text's parameters, by their casts; a parameter without a cast is
// of type text.
func parameterTypes(text string) []uint32 {
	var oids []uint32
	for strings.Contains(text, "$"+strconv.Itoa(len(oids)+1)) {
		oids = append(oids, typeOIDs["text"])
	}
	for _, m := range castPattern.FindAllStringSubmatch(text, -1) {
		if n, _ := strconv.Atoi(m[1]); n > 0 && n <= len(oids) && typeOIDs[m[2]] != 0 {
			oids[n-1] = typeOIDs[m[2]]
		}
	}
	return oids
}

// tableFor returns the table that a text asks for; nil: the two plain columns of defaultDescription.
func tableFor(text string) *table {
	tags := sqlscan.Tags(text)
	if t, ok := catalog[tags["action"]]; ok {
		return &t
	}
	if _, ok := tags["echo_params"]; ok {
		t := &table{oids: parameterTypes(text)}
		for i := range t.oids {
			t.names = append(t.names, fmt.Sprint("p", i+1))
		}
		return t
	}
	if tags["columns"] == "" {
		return nil
	}
	t := &table{}
	for _, name := range strings.Split(tags["columns"], ",") {
		if oid := typeOIDs[name]; oid != 0 {
			t.names, t.oids = append(t.names, name), append(t.oids, oid)
		}
	}
	return t
}

// returnsRows reports whether a text returns rows: its first statement does not write.
func returnsRows(text string) bool {
	all := sqlscan.Statements(text)
	return len(all) > 0 && !all[0].Writes
}

// defaultDescription returns the description of plain rows: a number and a value, both as text.
func defaultDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte("n"), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1},
		{Name: []byte("value"), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1}}}
}

// rowDescription describes the columns of a table, or of plain rows where it is nil, in the formats of a
// Bind.
func rowDescription(t *table, formats []int16) *pgproto3.RowDescription {
	if t == nil {
		d := defaultDescription()
		for i := range d.Fields {
			d.Fields[i].Format = columnFormat(formats, i)
		}
		return d
	}
	d := &pgproto3.RowDescription{}
	for i, oid := range t.oids {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(t.names[i]), DataTypeOID: oid,
			DataTypeSize: -1, TypeModifier: -1, Format: columnFormat(formats, i)})
	}
	return d
}

// columnFormat returns the format code of column i: a Bind gives none (text), one for all columns, or one for
// each.
func columnFormat(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

// encode returns the encoded rows of a table: its fixed rows, one row of the statement's parameters, or
// samplePeriod rows of sample values.
func (t *table) encode(formats []int16, params [][]byte) ([]*pgproto3.DataRow, error) {
	m := pgtype.NewMap()
	n := samplePeriod
	if t.rows != nil {
		n = len(t.rows)
	} else if params != nil {
		n = 1
	}
	var out []*pgproto3.DataRow
	for i := range n {
		row := &pgproto3.DataRow{}
		for column, oid := range t.oids {
			v, err := t.value(m, params, i, column)
			if err != nil {
				return nil, err
			}
			if v == nil {
				row.Values = append(row.Values, nil)
				continue
			}
			b, err := m.Encode(oid, columnFormat(formats, column), v, []byte{})
			if err != nil {
				return nil, err
			}
			row.Values = append(row.Values, b)
		}
		out = append(out, row)
	}
	return out, nil
}

// value returns the value of one column in a row; nil: null.
func (t *table) value(m *pgtype.Map, params [][]byte, row, column int) (any, error) {
	oid := t.oids[column]
	switch {
	case t.rows != nil:
		return t.rows[row][column], nil
	case params == nil:
		return sample(oid, row), nil
	case params[column] == nil:
		return nil, nil
	}
	typ, ok := m.TypeForOID(oid)
	if !ok {
		return nil, fmt.Errorf("no type with OID %d", oid)
	}
	return typ.Codec.DecodeValue(m, oid, pgtype.TextFormatCode, params[column])
}
