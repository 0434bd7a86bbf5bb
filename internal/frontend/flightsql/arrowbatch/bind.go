package arrowbatch

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
)

// AppendBind writes one row of a batch as PostgreSQL's Bind has it behind its two names: parameters as text,
// and the formats wanted of the result.
func AppendBind(out []byte, r arrow.RecordBatch, row int, formats *Schema) ([]byte, error) {
	out = binary.BigEndian.AppendUint16(out, 0) // all are text
	columns := 0
	if r != nil {
		columns = int(r.NumCols())
	}
	out = binary.BigEndian.AppendUint16(out, uint16(columns))
	for i := range columns {
		v, null, err := PostgresText(r.Column(i), row)
		switch {
		case err != nil:
			return nil, fmt.Errorf("parameter %d: %w", i+1, err)
		case null:
			out = binary.BigEndian.AppendUint32(out, math.MaxUint32)
		default:
			out = binary.BigEndian.AppendUint32(out, uint32(len(v)))
			out = append(out, v...)
		}
	}
	return formats.AppendFormats(out), nil
}

const day = 24 * time.Hour

// PostgresText is a value in PostgreSQL's text form.
func PostgresText(a arrow.Array, i int) (v string, null bool, err error) {
	if a.IsNull(i) {
		return "", true, nil
	}
	switch a := a.(type) {
	case *array.Null:
		return "", true, nil
	case *array.Boolean:
		return strconv.FormatBool(a.Value(i)), false, nil
	case *array.Float32:
		return formatFloat(float64(a.Value(i)), 32), false, nil
	case *array.Float64:
		return formatFloat(a.Value(i), 64), false, nil
	case *array.String:
		return a.Value(i), false, nil
	case *array.LargeString:
		return a.Value(i), false, nil
	case *array.Binary:
		return `\x` + hex.EncodeToString(a.Value(i)), false, nil
	case *array.LargeBinary:
		return `\x` + hex.EncodeToString(a.Value(i)), false, nil
	case *array.FixedSizeBinary:
		if b := a.Value(i); len(b) == 16 { // a uuid, as this package gives them
			x := hex.EncodeToString(b)
			return x[:8] + "-" + x[8:12] + "-" + x[12:16] + "-" + x[16:20] + "-" + x[20:], false, nil
		}
		return `\x` + hex.EncodeToString(a.Value(i)), false, nil
	case *array.Date32:
		return withEra(a.Value(i).ToTime().Format("2006-01-02"), a.Value(i).ToTime()), false, nil
	case *array.Date64:
		return withEra(a.Value(i).ToTime().Format("2006-01-02"), a.Value(i).ToTime()), false, nil
	case *array.Timestamp:
		t := a.DataType().(*arrow.TimestampType)
		at := a.Value(i).ToTime(t.Unit).UTC()
		form := "2006-01-02 15:04:05.999999"
		if t.TimeZone != "" {
			form += "+00"
		}
		return withEra(at.Format(form), at), false, nil
	case *array.Time32:
		return a.Value(i).ToTime(a.DataType().(*arrow.Time32Type).Unit).Format("15:04:05.999999"), false, nil
	case *array.Time64:
		u := a.DataType().(*arrow.Time64Type).Unit
		if d := time.Duration(a.Value(i)) * u.Multiplier(); d == day {
			return "24:00:00", false, nil
		}
		return a.Value(i).ToTime(u).Format("15:04:05.999999"), false, nil
	case *array.MonthDayNanoInterval:
		v := a.Value(i)
		return fmt.Sprintf("%d mons %d days %d microseconds", v.Months, v.Days, v.Nanoseconds/1000), false,
			nil
	case *array.List:
		from, to := a.ValueOffsets(i)
		return arrayText(a.ListValues(), int(from), int(to))
	case *array.LargeList:
		from, to := a.ValueOffsets(i)
		return arrayText(a.ListValues(), int(from), int(to))
	case *array.Dictionary:
		return PostgresText(a.Dictionary(), a.GetValueIndex(i))
	case array.ExtensionArray:
		return PostgresText(a.Storage(), i)
	case *array.Int8, *array.Int16, *array.Int32, *array.Int64, *array.Uint8, *array.Uint16, *array.Uint32,
		*array.Uint64, *array.Decimal128, *array.Decimal256:
		return a.ValueStr(i), false, nil
	case *array.DenseUnion: // JDBC's driver binds parameters of unknown type so
		return PostgresText(a.Field(a.ChildID(i)), int(a.ValueOffset(i)))
	}
	return "", false, fmt.Errorf("values of type %s are not bound", a.DataType())
}

func formatFloat(v float64, bits int) string {
	switch {
	case math.IsNaN(v):
		return "NaN"
	case math.IsInf(v, 1):
		return "Infinity"
	case math.IsInf(v, -1):
		return "-Infinity"
	}
	return strconv.FormatFloat(v, 'g', -1, bits)
}

// withEra marks years before Christ as PostgreSQL does.
func withEra(v string, at time.Time) string {
	if y := at.Year(); y <= 0 {
		_, rest, _ := strings.Cut(strings.TrimPrefix(v, "-"), "-")
		return fmt.Sprintf("%04d-%s BC", 1-y, rest)
	}
	return v
}

// arrayText is an array's text form: each element quoted, so that none is mistaken.
func arrayText(a arrow.Array, from, to int) (string, bool, error) {
	var b strings.Builder
	b.WriteByte('{')
	for i := from; i < to; i++ {
		if i > from {
			b.WriteByte(',')
		}
		v, null, err := PostgresText(a, i)
		switch {
		case err != nil:
			return "", false, err
		case null:
			b.WriteString("NULL")
		default:
			b.WriteByte('"')
			b.WriteString(strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(v))
			b.WriteByte('"')
		}
	}
	b.WriteByte('}')
	return b.String(), false, nil
}
