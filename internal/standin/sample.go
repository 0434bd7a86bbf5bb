package standin

import (
	"math"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// nullRow is the index of the row in each samplePeriod whose values are all null.
const nullRow = 5

// numerics holds the sample values of type numeric, one of them null.
var numerics = []pgtype.Numeric{parseNumeric("0"), parseNumeric("-12.50"),
	parseNumeric("123456789012345678901234.000001"), {} /* null */, parseNumeric("NaN")}

func parseNumeric(text string) pgtype.Numeric {
	var n pgtype.Numeric
	if err := n.Scan(text); err != nil {
		panic("standin: sample value: " + err.Error())
	}
	return n
}

// sample returns the value of a type in row i. Some values are null, and some are at the bounds of their
// range.
func sample(oid uint32, i int) any {
	if i%samplePeriod == nullRow {
		return nil
	}
	if v := sampleArray(oid, i); v != nil {
		return v
	}
	return sampleScalar(oid, i)
}

func sampleDay(i int) time.Time {
	return time.Date(2024, 2, 29, 13, 4, 5, 123456000, time.UTC).AddDate(0, 0, i)
}

func sampleUUID(i int) pgtype.UUID {
	uuid := pgtype.UUID{Valid: true}
	for k := range uuid.Bytes {
		uuid.Bytes[k] = byte(i * k)
	}
	return uuid
}

func sampleScalar(oid uint32, i int) any {
	switch oid {
	case pgtype.BoolOID:
		return i%2 == 0
	case pgtype.ByteaOID:
		return []byte{0, byte(i), 255}
	case pgtype.Int8OID:
		return []int64{int64(i), math.MinInt64, math.MaxInt64}[i%3]
	case pgtype.Int4OID:
		return []int32{int32(i), math.MinInt32, math.MaxInt32}[i%3]
	case pgtype.Int2OID:
		return []int16{int16(i), math.MinInt16, math.MaxInt16}[i%3]
	case pgtype.OIDOID:
		return uint32(i) + math.MaxInt32
	case pgtype.TextOID, pgtype.VarcharOID:
		return []string{"", "é✓", "row " + strconv.Itoa(i)}[i%3]
	case pgtype.JSONOID:
		return `{"row":` + strconv.Itoa(i) + `}`
	case pgtype.Float4OID:
		return float32(i) / 3
	case pgtype.Float8OID:
		return []float64{float64(i) / 3, math.Inf(1), -1e300}[i%3]
	case pgtype.DateOID, pgtype.TimestampOID:
		return sampleDay(i)
	case pgtype.TimestamptzOID:
		return sampleDay(i).In(time.FixedZone("", 3600))
	case pgtype.TimeOID:
		return pgtype.Time{Microseconds: int64(i) * 1e6, Valid: true}
	case pgtype.IntervalOID:
		return pgtype.Interval{Days: int32(i), Microseconds: 5, Valid: true}
	case pgtype.NumericOID:
		return numerics[i%len(numerics)]
	case pgtype.UUIDOID:
		return sampleUUID(i)
	case pgtype.PointOID:
		return pgtype.Point{P: pgtype.Vec2{X: float64(i), Y: 1}, Valid: true}
	}
	return nil
}

// sampleArray returns the value of an array type in row i; nil: the type is not a known array type.
func sampleArray(oid uint32, i int) any {
	switch oid {
	case pgtype.BoolArrayOID:
		return []bool{true, i%2 == 0}
	case pgtype.ByteaArrayOID:
		return [][]byte{{byte(i)}, nil}
	case pgtype.Int2ArrayOID:
		return []int16{int16(i), -1}
	case pgtype.Int4ArrayOID:
		return []*int32{nil, new(int32)}
	case pgtype.Int8ArrayOID:
		return []int64{int64(i)}
	case pgtype.TextArrayOID, pgtype.VarcharArrayOID:
		return []string{"a,b", `"q"`, "", strconv.Itoa(i)}[:i%5%4]
	case pgtype.Float4ArrayOID:
		return []float32{1.5, float32(i)}
	case pgtype.Float8ArrayOID:
		return []float64{1.5, float64(i)}
	case pgtype.DateArrayOID, pgtype.TimestampArrayOID, pgtype.TimestamptzArrayOID:
		return []time.Time{sampleDay(i)}
	case pgtype.NumericArrayOID:
		return []pgtype.Numeric{numerics[i%len(numerics)]}
	case pgtype.UUIDArrayOID:
		return []pgtype.UUID{sampleUUID(i)}
	}
	return nil
}
