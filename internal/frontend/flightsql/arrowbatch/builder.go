package arrowbatch

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/big"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/decimal128"
	"github.com/apache/arrow-go/v18/arrow/memory"
)

// Builder gathers rows into record batches.
type Builder struct {
	schema            *Schema
	record            *array.RecordBuilder
	appenders         []func(v []byte) error
	rows              int
	bytes             int
	previousRows      int   // rows of the batch before
	previousDataSizes []int // of its columns' data, where their length varies
}

// NewBuilder returns a builder for a schema. Release frees it.
func NewBuilder(s *Schema, mem memory.Allocator) *Builder {
	b := &Builder{schema: s, record: array.NewRecordBuilder(mem, s.Arrow)}
	for i := range s.Columns {
		c := &s.Columns[i]
		f := b.record.Field(i)
		switch {
		case !c.Binary:
			b.appenders = append(b.appenders, textAppender(f.(*array.StringBuilder)))
		case c.Element != 0:
			b.appenders = append(b.appenders, listAppender(f.(*array.ListBuilder), c.Element, c.TypeModifier))
		default:
			b.appenders = append(b.appenders, scalarAppender(f, c.OID))
		}
	}
	return b
}

// Release frees what is not in a batch.
func (b *Builder) Release() { b.record.Release() }

// Rows is the number of rows since the last batch, and Bytes their size as the engine sent them.
func (b *Builder) Rows() int { return b.rows }

// Bytes is the size of the rows since the last batch.
func (b *Builder) Bytes() int { return b.bytes }

// Batch returns the rows since the last batch. The caller releases it.
func (b *Builder) Batch() arrow.RecordBatch {
	b.previousRows, b.rows, b.bytes = b.rows, 0, 0
	b.previousDataSizes = b.previousDataSizes[:0]
	for _, f := range b.record.Fields() {
		n := 0
		switch f := f.(type) {
		case *array.BinaryBuilder:
			n = f.DataLen()
		case *array.StringBuilder:
			n = f.DataLen()
		}
		b.previousDataSizes = append(b.previousDataSizes, n)
	}
	return b.record.NewRecordBatch()
}

// Row takes the body of a DataRow. Danger: a row that is refused half-way leaves columns of unequal length;
// the builder is of no use after an error.
func (b *Builder) Row(row []byte) error {
	if len(row) < 2 || int(binary.BigEndian.Uint16(row)) != len(b.appenders) {
		return fmt.Errorf("row does not have the %d columns described", len(b.appenders))
	}
	if b.rows == 0 && b.previousRows > 0 { // as much as the batch before took, at once, and not by doubling
		b.record.Reserve(b.previousRows)
		for i, f := range b.record.Fields() {
			switch f := f.(type) {
			case *array.BinaryBuilder:
				f.ReserveData(b.previousDataSizes[i])
			case *array.StringBuilder:
				f.ReserveData(b.previousDataSizes[i])
			}
		}
	}
	b.rows++
	b.bytes += len(row)
	row = row[2:]
	for i, put := range b.appenders {
		if len(row) < 4 {
			return errTruncated
		}
		n := int32(binary.BigEndian.Uint32(row))
		row = row[4:]
		if n < 0 {
			b.record.Field(i).AppendNull()
			continue
		}
		if int(n) > len(row) {
			return errTruncated
		}
		if err := put(row[:n]); err != nil {
			return fmt.Errorf("column %q: %w", b.schema.Columns[i].Name, err)
		}
		row = row[n:]
	}
	if len(row) > 0 {
		return fmt.Errorf("row has %d bytes too many", len(row))
	}
	return nil
}

func textAppender(f *array.StringBuilder) func([]byte) error {
	return func(v []byte) error { f.BinaryBuilder.Append(v); return nil }
}

// Days and microseconds from Arrow's epoch, 1970, to PostgreSQL's, 2000.
const (
	epochOffsetDays   = 10957
	epochOffsetMicros = epochOffsetDays * 86400 * 1000000
)

// fixedWidth wraps a reader of a value of n bytes.
func fixedWidth(n int, f func(v []byte)) func([]byte) error {
	return func(v []byte) error {
		if len(v) != n {
			return fmt.Errorf("a value of %d bytes, not %d", len(v), n)
		}
		f(v)
		return nil
	}
}

// toUnixEpoch moves a time from one epoch to the other. PostgreSQL's infinities are the ends of the range
// and stay there.
func toUnixEpoch(v int64) int64 {
	if v == math.MaxInt64 || v == math.MinInt64 {
		return v
	}
	return v + epochOffsetMicros
}

// scalarAppender returns what reads the binary form of a type, as its send function writes it.
func scalarAppender(f array.Builder, oid uint32) func([]byte) error {
	u64, u32 := binary.BigEndian.Uint64, binary.BigEndian.Uint32
	switch f := f.(type) {
	case *array.BooleanBuilder:
		return fixedWidth(1, func(v []byte) { f.Append(v[0] != 0) })
	case *array.Int16Builder:
		return fixedWidth(2, func(v []byte) { f.Append(int16(binary.BigEndian.Uint16(v))) })
	case *array.Int32Builder:
		return fixedWidth(4, func(v []byte) { f.Append(int32(u32(v))) })
	case *array.Int64Builder:
		return fixedWidth(8, func(v []byte) { f.Append(int64(u64(v))) })
	case *array.Uint32Builder:
		return fixedWidth(4, func(v []byte) { f.Append(u32(v)) })
	case *array.Float32Builder:
		return fixedWidth(4, func(v []byte) { f.Append(math.Float32frombits(u32(v))) })
	case *array.Float64Builder:
		return fixedWidth(8, func(v []byte) { f.Append(math.Float64frombits(u64(v))) })
	case *array.Date32Builder:
		return fixedWidth(4, func(v []byte) {
			d := int32(u32(v))
			if d != math.MaxInt32 && d != math.MinInt32 {
				d += epochOffsetDays
			}
			f.Append(arrow.Date32(d))
		})
	case *array.Time64Builder:
		return fixedWidth(8, func(v []byte) { f.Append(arrow.Time64(u64(v))) })
	case *array.TimestampBuilder:
		return fixedWidth(8, func(v []byte) { f.Append(arrow.Timestamp(toUnixEpoch(int64(u64(v))))) })
	case *array.MonthDayNanoIntervalBuilder:
		return fixedWidth(16, func(v []byte) {
			f.Append(arrow.MonthDayNanoInterval{Months: int32(u32(v[12:])), Days: int32(u32(v[8:])),
				Nanoseconds: int64(u64(v)) * 1000})
		})
	case *array.FixedSizeBinaryBuilder:
		return fixedWidth(16, f.Append)
	case *array.Decimal128Builder:
		t := f.Type().(*arrow.Decimal128Type)
		return func(v []byte) error {
			n, err := parseNumeric(v)
			if err != nil {
				return err
			}
			d, err := n.decimal(t.Precision, t.Scale)
			if err == nil {
				f.Append(d)
			}
			return err
		}
	case *array.BinaryBuilder:
		return func(v []byte) error { f.Append(v); return nil }
	case *array.StringBuilder:
		if oid != oidNumeric {
			return textAppender(f)
		}
		var buf []byte
		return func(v []byte) error {
			n, err := parseNumeric(v)
			if err == nil {
				buf = n.appendText(buf[:0])
				f.BinaryBuilder.Append(buf)
			}
			return err
		}
	}
	return func([]byte) error { return fmt.Errorf("type %d is not read", oid) }
}

// listAppender returns what reads an array (array_send): dimensions, whether nulls are in, the element's
// type, for each dimension its length and lower bound, and the elements.
func listAppender(f *array.ListBuilder, element uint32, mod int32) func([]byte) error {
	values := f.ValueBuilder()
	put := scalarAppender(values, element)
	return func(v []byte) error {
		if len(v) < 12 {
			return errTruncated
		}
		dims := binary.BigEndian.Uint32(v)
		if oid := binary.BigEndian.Uint32(v[8:]); oid != element {
			return fmt.Errorf("an array of type %d, not %d", oid, element)
		}
		n := 0
		switch v = v[12:]; {
		case dims > 1:
			return fmt.Errorf("an array of %d dimensions is not served; cast it to text", dims)
		case dims == 1:
			if len(v) < 8 {
				return errTruncated
			}
			n = int(binary.BigEndian.Uint32(v))
			v = v[8:]
		}
		if n > len(v)/4 {
			return errTruncated
		}
		f.Append(true)
		for range n {
			if len(v) < 4 {
				return errTruncated
			}
			size := int32(binary.BigEndian.Uint32(v))
			v = v[4:]
			if size < 0 {
				values.AppendNull()
				continue
			}
			if int(size) > len(v) {
				return errTruncated
			}
			if err := put(v[:size]); err != nil {
				return err
			}
			v = v[size:]
		}
		return nil
	}
}

// numeric is PostgreSQL's numeric in its binary form (numeric_send): digits to the base of 10,000, the weight
// of the first of them, and the digits shown behind the point.
type numeric struct {
	digits   []byte // 2 bytes each
	weight   int
	negative bool
	special  string // NaN, Infinity, -Infinity
	scale    int
}

func parseNumeric(v []byte) (numeric, error) {
	if len(v) < 8 {
		return numeric{}, errTruncated
	}
	count := int(binary.BigEndian.Uint16(v))
	n := numeric{weight: int(int16(binary.BigEndian.Uint16(v[2:]))),
		scale:  int(binary.BigEndian.Uint16(v[6:])),
		digits: v[8:]}
	if len(n.digits) != 2*count {
		return n, errTruncated
	}
	switch sign := binary.BigEndian.Uint16(v[4:]); sign {
	case 0:
	case 0x4000:
		n.negative = true
	case 0xC000:
		n.special = "NaN"
	case 0xD000:
		n.special = "Infinity"
	case 0xF000:
		n.special = "-Infinity"
	default:
		return n, fmt.Errorf("numeric of sign %#x", sign)
	}
	for i := 0; i < count; i++ {
		if d := n.digit(i); d > 9999 {
			return n, fmt.Errorf("numeric digit %d", d)
		}
	}
	return n, nil
}

// digit is the i-th digit; 0 beyond the last.
func (n *numeric) digit(i int) int {
	if i < 0 || 2*i+1 >= len(n.digits) {
		return 0
	}
	return int(binary.BigEndian.Uint16(n.digits[2*i:]))
}

// appendText writes the number as PostgreSQL does, with all digits of its scale.
func (n *numeric) appendText(out []byte) []byte {
	if n.special != "" {
		return append(out, n.special...)
	}
	if n.negative {
		out = append(out, '-')
	}
	four := func(d int) {
		out = append(out, byte('0'+d/1000), byte('0'+d/100%10), byte('0'+d/10%10), byte('0'+d%10))
	}
	start := len(out)
	for i := 0; i <= n.weight; i++ {
		four(n.digit(i))
	}
	zeros := start
	for zeros < len(out) && out[zeros] == '0' {
		zeros++
	}
	out = append(out[:start], out[zeros:]...)
	if len(out) == start {
		out = append(out, '0')
	}
	if n.scale == 0 {
		return out
	}
	out = append(out, '.')
	point := len(out)
	for i := n.weight + 1; len(out)-point < n.scale; i++ {
		four(n.digit(i))
	}
	return out[:point+n.scale]
}

// decimal is the number as Arrow's, exactly. Danger: a number that does not fit must not be rounded, nor
// become null, in silence.
func (n *numeric) decimal(precision, scale int32) (decimal128.Num, error) {
	if n.special != "" {
		return decimal128.Num{}, fmt.Errorf("%s does not fit decimal(%d, %d)", n.special, precision, scale)
	}
	if count := len(n.digits) / 2; n.weight < 4 && scale <= 8 && count <= n.weight+3 && n.weight >= -1 {
		// up to 16 digits before the point and 8 behind: the sum fits 63 bits twice
		whole, part := int64(0), int64(0)
		for i := 0; i <= n.weight; i++ {
			whole = whole*10000 + int64(n.digit(i))
		}
		for i := n.weight + 1; i <= n.weight+2; i++ {
			part = part*10000 + int64(n.digit(i))
		}
		for range 8 - scale {
			if part%10 != 0 {
				return decimal128.Num{}, fmt.Errorf("more than %d digits behind the point", scale)
			}
			part /= 10
		}
		hi, unit := whole, int64(1)
		for range scale {
			unit *= 10
		}
		if hi < math.MaxInt64/unit-1 {
			sum := hi*unit + part
			if n.negative {
				sum = -sum
			}
			if d := decimal128.FromI64(sum); d.FitsInPrecision(precision) {
				return d, nil
			}
			return decimal128.Num{}, fmt.Errorf("does not fit decimal(%d, %d)", precision, scale)
		}
	}
	v, ok := new(big.Rat).SetString(string(n.appendText(nil)))
	if !ok {
		return decimal128.Num{}, fmt.Errorf("numeric is not read")
	}
	v.Mul(v, new(big.Rat).SetInt(new(big.Int).Exp(big.NewInt(10), big.NewInt(int64(scale)), nil)))
	if !v.IsInt() || v.Num().BitLen() > 127 {
		return decimal128.Num{}, fmt.Errorf("does not fit decimal(%d, %d)", precision, scale)
	}
	d := decimal128.FromBigInt(v.Num())
	if !d.FitsInPrecision(precision) {
		return d, fmt.Errorf("does not fit decimal(%d, %d)", precision, scale)
	}
	return d, nil
}
