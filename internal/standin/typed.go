package standin

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"cresspass/internal/protocol/sqlscan"
)

// Rows with types: a statement whose comment has columns='int8,text,...' gives rows of these types, one with
// echo_params its parameters, and one with action='flight.…' a small catalog. Values repeat after period
// rows.

const period = 64

// types names the OIDs that the stand-in can give.
var types = map[string]uint32{"bool": 16, "bytea": 17, "int8": 20, "int2": 21, "int4": 23, "text": 25,
	"oid": 26, "json": 114, "float4": 700, "float8": 701, "varchar": 1043, "date": 1082, "time": 1083,
	"timestamp": 1114, "timestamptz": 1184, "interval": 1186, "numeric": 1700, "uuid": 2950, "_bool": 1000,
	"_bytea": 1001, "_int2": 1005, "_int4": 1007, "_text": 1009, "_varchar": 1015, "_int8": 1016,
	"_float4": 1021, "_float8": 1022, "_timestamp": 1115, "_date": 1182, "_timestamptz": 1185,
	"_numeric": 1231, "_uuid": 2951, "point": 600}

type table struct {
	names []string
	oids  []uint32
	rows  [][]any
	mod   int32
}

// catalog is what the stand-in says of itself.
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

var casts = regexp.MustCompile(`\$(\d+)::(\w+)`)

// parameterTypes are the types of a text's parameters, by their casts; text where there is none.
func parameterTypes(text string) []uint32 {
	var oids []uint32
	for strings.Contains(text, "$"+strconv.Itoa(len(oids)+1)) {
		oids = append(oids, types["text"])
	}
	for _, m := range casts.FindAllStringSubmatch(text, -1) {
		if n, _ := strconv.Atoi(m[1]); n > 0 && n <= len(oids) && types[m[2]] != 0 {
			oids[n-1] = types[m[2]]
		}
	}
	return oids
}

// tableFor is the table that a text asks for; nil: the plain two columns.
func tableFor(text string) *table {
	tags := sqlscan.Tags(text)
	if t, ok := catalog[tags["action"]]; ok {
		return &t
	}
	if _, ok := tags["echo_params"]; ok {
		t := &table{oids: parameterTypes(text), mod: -1}
		for i := range t.oids {
			t.names = append(t.names, fmt.Sprint("p", i+1))
		}
		return t
	}
	if tags["columns"] == "" {
		return nil
	}
	t := &table{mod: -1}
	for _, name := range strings.Split(tags["columns"], ",") {
		if oid := types[name]; oid != 0 {
			t.names, t.oids = append(t.names, name), append(t.oids, oid)
		}
	}
	return t
}

// rowDescription is a shape as a RowDescription, in the formats that a Bind asked for.
func rowDescription(t *table, formats []int16) *pgproto3.RowDescription {
	if t == nil {
		d := defaultDescription()
		for i := range d.Fields {
			d.Fields[i].Format = format(formats, i)
		}
		return d
	}
	d := &pgproto3.RowDescription{}
	for i, oid := range t.oids {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(t.names[i]), DataTypeOID: oid,
			DataTypeSize: -1, TypeModifier: -1, Format: format(formats, i)})
	}
	return d
}

func format(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

// encoded are the rows of a shape, as far as they differ.
func (t *table) encoded(formats []int16, params [][]byte) ([]*pgproto3.DataRow, error) {
	m := pgtype.NewMap()
	n := period
	if t.rows != nil {
		n = len(t.rows)
	} else if params != nil {
		n = 1
	}
	var out []*pgproto3.DataRow
	for i := range n {
		row := &pgproto3.DataRow{}
		for c, oid := range t.oids {
			var v any
			switch {
			case t.rows != nil:
				v = t.rows[i][c]
			case params != nil && params[c] == nil:
			case params != nil: // a parameter comes as text
				typ, ok := m.TypeForOID(oid)
				if !ok {
					return nil, fmt.Errorf("no type %d", oid)
				}
				var err error
				if v, err = typ.Codec.DecodeValue(m, oid, pgtype.TextFormatCode, params[c]); err != nil {
					return nil, err
				}
			default:
				v = sample(oid, i)
			}
			if v == nil {
				row.Values = append(row.Values, nil)
				continue
			}
			b, err := m.Encode(oid, format(formats, c), v, []byte{})
			if err != nil {
				return nil, err
			}
			row.Values = append(row.Values, b)
		}
		out = append(out, row)
	}
	return out, nil
}

// sample is the value of a type in a row; some are null, some at the edges of their range.
func sample(oid uint32, i int) any {
	if i%period == 5 {
		return nil
	}
	day := time.Date(2024, 2, 29, 13, 4, 5, 123456000, time.UTC).AddDate(0, 0, i)
	numeric := pgtype.Numeric{}
	numeric.Scan([]string{"0", "-12.50", "123456789012345678901234.000001", "1e-9", "NaN"}[i%5])
	uuid := pgtype.UUID{Valid: true}
	for k := range uuid.Bytes {
		uuid.Bytes[k] = byte(i * k)
	}
	switch oid {
	case types["bool"]:
		return i%2 == 0
	case types["bytea"]:
		return []byte{0, byte(i), 255}
	case types["int8"]:
		return []int64{int64(i), math.MinInt64, math.MaxInt64}[i%3]
	case types["int4"]:
		return []int32{int32(i), math.MinInt32, math.MaxInt32}[i%3]
	case types["int2"]:
		return []int16{int16(i), math.MinInt16, math.MaxInt16}[i%3]
	case types["oid"]:
		return uint32(i) + math.MaxInt32
	case types["text"], types["varchar"]:
		return []string{"", "é✓", "row " + strconv.Itoa(i)}[i%3]
	case types["json"]:
		return `{"row":` + strconv.Itoa(i) + `}`
	case types["float4"]:
		return float32(i) / 3
	case types["float8"]:
		return []float64{float64(i) / 3, math.Inf(1), -1e300}[i%3]
	case types["date"], types["timestamp"]:
		return day
	case types["timestamptz"]:
		return day.In(time.FixedZone("", 3600))
	case types["time"]:
		return pgtype.Time{Microseconds: int64(i) * 1e6, Valid: true}
	case types["interval"]:
		return pgtype.Interval{Days: int32(i), Microseconds: 5, Valid: true}
	case types["numeric"]:
		return numeric
	case types["uuid"]:
		return uuid
	case types["point"]:
		return pgtype.Point{P: pgtype.Vec2{X: float64(i), Y: 1}, Valid: true}
	case types["_bool"]:
		return []bool{true, i%2 == 0}
	case types["_bytea"]:
		return [][]byte{{byte(i)}, nil}
	case types["_int2"]:
		return []int16{int16(i), -1}
	case types["_int4"]:
		return []*int32{nil, new(int32)}
	case types["_int8"]:
		return []int64{int64(i)}
	case types["_text"], types["_varchar"]:
		return []string{"a,b", `"q"`, "", strconv.Itoa(i)}[:i%5%4]
	case types["_float4"]:
		return []float32{1.5, float32(i)}
	case types["_float8"]:
		return []float64{1.5, float64(i)}
	case types["_date"], types["_timestamp"], types["_timestamptz"]:
		return []time.Time{day}
	case types["_numeric"]:
		return []pgtype.Numeric{numeric}
	case types["_uuid"]:
		return []pgtype.UUID{uuid}
	}
	return nil
}
