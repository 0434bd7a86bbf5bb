package arrowbatch

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
)

// appender decodes a value as the engine sends it and appends it to a column.
type appender func(v []byte) error

// Days and microseconds from Arrow's epoch, 1970-01-01, to PostgreSQL's, 2000-01-01.
const (
	epochOffsetDays   = 10957
	epochOffsetMicros = epochOffsetDays * 86400 * 1000000
)

// toUnixEpoch converts microseconds since PostgreSQL's epoch to microseconds since Arrow's. PostgreSQL's
// infinities are the ends of the range and stay as they are.
func toUnixEpoch(micros int64) int64 {
	if micros == math.MaxInt64 || micros == math.MinInt64 {
		return micros
	}
	return micros + epochOffsetMicros
}

// dateToUnixEpoch is toUnixEpoch for a date, in days.
func dateToUnixEpoch(days int32) int32 {
	if days == math.MaxInt32 || days == math.MinInt32 {
		return days
	}
	return days + epochOffsetDays
}

// textAppender returns the appender for values in text form.
func textAppender(f *array.StringBuilder) appender {
	return func(v []byte) error { f.BinaryBuilder.Append(v); return nil }
}

// fixedWidthAppender returns an appender for values of size bytes.
func fixedWidthAppender(size int, appendValue func(v []byte)) appender {
	return func(v []byte) error {
		if len(v) != size {
			return fmt.Errorf("a value of %d bytes, not %d", len(v), size)
		}
		appendValue(v)
		return nil
	}
}

// scalarAppender returns the appender for the binary form of a type, as the type's send function writes it.
func scalarAppender(f array.Builder, oid uint32) appender {
	if a := numberAppender(f); a != nil {
		return a
	}
	if a := timeAppender(f); a != nil {
		return a
	}
	switch f := f.(type) {
	case *array.FixedSizeBinaryBuilder:
		return fixedWidthAppender(uuidSize, f.Append)
	case *array.Decimal128Builder:
		return decimalAppender(f)
	case *array.BinaryBuilder:
		return func(v []byte) error { f.Append(v); return nil }
	case *array.StringBuilder:
		if oid == oidNumeric {
			return numericTextAppender(f)
		}
		return textAppender(f)
	}
	return func([]byte) error { return fmt.Errorf("type %d is not read", oid) }
}

// numberAppender returns the appender for booleans and numbers of fixed size; nil: f holds neither.
func numberAppender(f array.Builder) appender {
	u64, u32, u16 := binary.BigEndian.Uint64, binary.BigEndian.Uint32, binary.BigEndian.Uint16
	switch f := f.(type) {
	case *array.BooleanBuilder:
		return fixedWidthAppender(1, func(v []byte) { f.Append(v[0] != 0) })
	case *array.Int16Builder:
		return fixedWidthAppender(2, func(v []byte) { f.Append(int16(u16(v))) })
	case *array.Int32Builder:
		return fixedWidthAppender(4, func(v []byte) { f.Append(int32(u32(v))) })
	case *array.Int64Builder:
		return fixedWidthAppender(8, func(v []byte) { f.Append(int64(u64(v))) })
	case *array.Uint32Builder:
		return fixedWidthAppender(4, func(v []byte) { f.Append(u32(v)) })
	case *array.Float32Builder:
		return fixedWidthAppender(4, func(v []byte) { f.Append(math.Float32frombits(u32(v))) })
	case *array.Float64Builder:
		return fixedWidthAppender(8, func(v []byte) { f.Append(math.Float64frombits(u64(v))) })
	}
	return nil
}

// timeAppender returns the appender for dates, times and intervals; nil: f holds none of them.
func timeAppender(f array.Builder) appender {
	u64, u32 := binary.BigEndian.Uint64, binary.BigEndian.Uint32
	switch f := f.(type) {
	case *array.Date32Builder:
		return fixedWidthAppender(4, func(v []byte) {
			f.Append(arrow.Date32(dateToUnixEpoch(int32(u32(v)))))
		})
	case *array.Time64Builder:
		return fixedWidthAppender(8, func(v []byte) { f.Append(arrow.Time64(u64(v))) })
	case *array.TimestampBuilder:
		return fixedWidthAppender(8, func(v []byte) { f.Append(arrow.Timestamp(toUnixEpoch(int64(u64(v))))) })
	case *array.MonthDayNanoIntervalBuilder:
		return fixedWidthAppender(16, func(v []byte) { // microseconds, days, months
			f.Append(arrow.MonthDayNanoInterval{Months: int32(u32(v[12:])), Days: int32(u32(v[8:])),
				Nanoseconds: int64(u64(v)) * 1000})
		})
	}
	return nil
}

// decimalAppender returns the appender for numerics that have an Arrow decimal type.
func decimalAppender(f *array.Decimal128Builder) appender {
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
}

// numericTextAppender returns the appender for numerics that have no Arrow decimal type.
func numericTextAppender(f *array.StringBuilder) appender {
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

// Sizes and offsets of an array in binary form (array_send): the number of dimensions, whether it has nulls
// and the OID of the element type, 4 bytes each; for each dimension its length and lower bound, 4 bytes each;
// then the elements.
const (
	arrayHeaderSize        = 12
	arrayElementTypeOffset = 8
	arrayDimensionSize     = 8
)

// listAppender returns the appender for arrays of at most one dimension. element is the element type's OID.
func listAppender(f *array.ListBuilder, element uint32) appender {
	values := f.ValueBuilder()
	appendElement := scalarAppender(values, element)
	return func(v []byte) error {
		n, v, err := parseArrayHeader(v, element)
		if err != nil {
			return err
		}
		f.Append(true)
		for range n {
			item, rest, err := nextValue(v)
			if err != nil {
				return err
			}
			v = rest
			if item == nil {
				values.AppendNull()
			} else if err := appendElement(item); err != nil {
				return err
			}
		}
		return nil
	}
}

// parseArrayHeader returns the number of elements of an array and the bytes after its header.
func parseArrayHeader(v []byte, element uint32) (n int, rest []byte, err error) {
	if len(v) < arrayHeaderSize {
		return 0, nil, errTruncated
	}
	dimensions := binary.BigEndian.Uint32(v)
	if oid := binary.BigEndian.Uint32(v[arrayElementTypeOffset:]); oid != element {
		return 0, nil, fmt.Errorf("an array of type %d, not %d", oid, element)
	}
	v = v[arrayHeaderSize:]
	switch {
	case dimensions > 1:
		return 0, nil, fmt.Errorf("an array of %d dimensions is not served; cast it to text", dimensions)
	case dimensions == 1:
		if len(v) < arrayDimensionSize {
			return 0, nil, errTruncated
		}
		n = int(binary.BigEndian.Uint32(v))
		v = v[arrayDimensionSize:]
	}
	if n > len(v)/valueHeaderSize {
		return 0, nil, errTruncated
	}
	return n, v, nil
}

// valueHeaderSize is the size in bytes of the length before a value.
const valueHeaderSize = 4

// nextValue returns the first value of b, which its length precedes, and the bytes after it. A nil value is
// null.
func nextValue(b []byte) (v, rest []byte, err error) {
	if len(b) < valueHeaderSize {
		return nil, nil, errTruncated
	}
	n := int32(binary.BigEndian.Uint32(b))
	b = b[valueHeaderSize:]
	if n < 0 {
		return nil, b, nil
	}
	if int(n) > len(b) {
		return nil, nil, errTruncated
	}
	return b[:n:n], b[n:], nil
}
