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

// nullLength is the length of a null in PostgreSQL's messages.
const nullLength = math.MaxUint32

// AppendBind appends the body of a Bind message after its two names: one row of a batch as parameters in
// text format, and the formats of the result. A nil batch has no parameters.
func AppendBind(out []byte, r arrow.RecordBatch, row int, result *Schema) ([]byte, error) {
	out = binary.BigEndian.AppendUint16(out, 0) // no format codes: all parameters are text
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
			out = binary.BigEndian.AppendUint32(out, nullLength)
		default:
			out = binary.BigEndian.AppendUint32(out, uint32(len(v)))
			out = append(out, v...)
		}
	}
	return result.AppendFormats(out), nil
}

const day = 24 * time.Hour

// Layouts of PostgreSQL's text forms.
const (
	dateLayout      = "2006-01-02"
	timeLayout      = "15:04:05.999999"
	timestampLayout = dateLayout + " " + timeLayout
)

const uuidSize = 16

// PostgresText returns the value at index i of an array in PostgreSQL's text form. null reports whether the
// value is null.
func PostgresText(a arrow.Array, i int) (v string, null bool, err error) {
	if a.IsNull(i) {
		return "", true, nil
	}
	switch a := a.(type) {
	case *array.Null:
		return "", true, nil
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
	case *array.DenseUnion: // the JDBC driver binds parameters of unknown type as unions
		return PostgresText(a.Field(a.ChildID(i)), int(a.ValueOffset(i)))
	}
	if v, ok := scalarText(a, i); ok {
		return v, false, nil
	}
	if v, ok := timeText(a, i); ok {
		return v, false, nil
	}
	return "", false, fmt.Errorf("values of type %s are not bound", a.DataType())
}

// scalarText returns a number, a boolean, a string or bytes in PostgreSQL's text form. ok is false for other
// types.
func scalarText(a arrow.Array, i int) (v string, ok bool) {
	switch a := a.(type) {
	case *array.Boolean:
		return strconv.FormatBool(a.Value(i)), true
	case *array.Float32:
		return formatFloat(float64(a.Value(i)), 32), true
	case *array.Float64:
		return formatFloat(a.Value(i), 64), true
	case *array.String:
		return a.Value(i), true
	case *array.LargeString:
		return a.Value(i), true
	case *array.Binary:
		return byteaText(a.Value(i)), true
	case *array.LargeBinary:
		return byteaText(a.Value(i)), true
	case *array.FixedSizeBinary:
		if b := a.Value(i); len(b) == uuidSize { // the builder converts a uuid to an array of this width
			return uuidText(b), true
		}
		return byteaText(a.Value(i)), true
	case *array.Int8, *array.Int16, *array.Int32, *array.Int64, *array.Uint8, *array.Uint16, *array.Uint32,
		*array.Uint64, *array.Decimal128, *array.Decimal256:
		return a.ValueStr(i), true
	}
	return "", false
}

// timeText returns a date, a time or an interval in PostgreSQL's text form. ok is false for other types.
func timeText(a arrow.Array, i int) (v string, ok bool) {
	switch a := a.(type) {
	case *array.Date32:
		return dateText(a.Value(i).ToTime()), true
	case *array.Date64:
		return dateText(a.Value(i).ToTime()), true
	case *array.Timestamp:
		t := a.DataType().(*arrow.TimestampType)
		at := a.Value(i).ToTime(t.Unit).UTC()
		layout := timestampLayout
		if t.TimeZone != "" {
			layout += "+00"
		}
		return withEra(at.Format(layout), at), true
	case *array.Time32:
		return a.Value(i).ToTime(a.DataType().(*arrow.Time32Type).Unit).Format(timeLayout), true
	case *array.Time64:
		unit := a.DataType().(*arrow.Time64Type).Unit
		if time.Duration(a.Value(i))*unit.Multiplier() == day {
			return "24:00:00", true
		}
		return a.Value(i).ToTime(unit).Format(timeLayout), true
	case *array.MonthDayNanoInterval:
		v := a.Value(i)
		return fmt.Sprintf("%d mons %d days %d microseconds", v.Months, v.Days, v.Nanoseconds/1000), true
	}
	return "", false
}

func byteaText(b []byte) string { return `\x` + hex.EncodeToString(b) }

func uuidText(b []byte) string {
	x := hex.EncodeToString(b)
	return x[:8] + "-" + x[8:12] + "-" + x[12:16] + "-" + x[16:20] + "-" + x[20:]
}

func dateText(at time.Time) string { return withEra(at.Format(dateLayout), at) }

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

// withEra converts years before 1 to PostgreSQL's form, with the suffix BC.
func withEra(v string, at time.Time) string {
	if y := at.Year(); y <= 0 {
		_, rest, _ := strings.Cut(strings.TrimPrefix(v, "-"), "-")
		return fmt.Sprintf("%04d-%s BC", 1-y, rest)
	}
	return v
}

var elementEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`)

// arrayText returns the elements of an array from the index from, inclusive, to the index to, exclusive, in
// PostgreSQL's text form. Each value is quoted, so that it is not taken for a delimiter or a null.
func arrayText(a arrow.Array, from, to int) (v string, null bool, err error) {
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
			b.WriteString(elementEscaper.Replace(v))
			b.WriteByte('"')
		}
	}
	b.WriteByte('}')
	return b.String(), false, nil
}
