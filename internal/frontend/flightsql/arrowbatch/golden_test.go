package arrowbatch

import (
	"fmt"
	"strings"
	"testing"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/memory"

	"cresspass/internal/goldentest"
)

// TestParameterTextIsStable compares the text forms of Arrow values that engines receive, and the Arrow types
// that clients receive, with those of the version that introduced this test.
func TestParameterTextIsStable(t *testing.T) {
	var got strings.Builder
	for _, c := range []struct {
		kind arrow.DataType
		json string
	}{
		{arrow.FixedWidthTypes.Boolean, `[true, false, null]`},
		{arrow.PrimitiveTypes.Int64, `[-9223372036854775808, 7]`},
		{arrow.PrimitiveTypes.Uint32, `[4294967295]`},
		{arrow.PrimitiveTypes.Float64, `[1.5, 1e300, -0.1]`},
		{arrow.PrimitiveTypes.Float32, `[0.1]`},
		{arrow.BinaryTypes.String, `["a\"b\\c", ""]`},
		{arrow.FixedWidthTypes.Date32, `["2026-12-02", "0001-01-01"]`},
		{&arrow.TimestampType{Unit: arrow.Microsecond}, `["2026-12-02 15:04:05.000001"]`},
		{arrow.FixedWidthTypes.Timestamp_us, `["2026-12-02 15:04:05Z"]`},
		{arrow.FixedWidthTypes.Time64us, `["15:04:05.5"]`},
		{arrow.ListOf(arrow.BinaryTypes.String), `[["a", null, "b\"\\"], []]`},
		{arrow.ListOf(arrow.PrimitiveTypes.Int32), `[[1, 2]]`},
		{&arrow.Decimal128Type{Precision: 10, Scale: 2}, `["123.45", "-0.01"]`},
	} {
		a, _, err := array.FromJSON(memory.DefaultAllocator, c.kind, strings.NewReader(c.json))
		if err != nil {
			t.Fatalf("%v: %v", c.kind, err)
		}
		for i := range a.Len() {
			v, null, err := PostgresText(a, i)
			fmt.Fprintf(&got, "%v %q null %v error %v\n", c.kind, v, null, err)
		}
		a.Release()
	}
	for _, oid := range []uint32{oidBool, oidBytea, oidName, oidInt8, oidInt2, oidInt4, oidText, oidOID,
		oidFloat4,
		oidFloat8, oidBPChar, oidVarchar, oidDate, oidTime, oidTimestamp, oidTimestampTZ, oidInterval,
		oidNumeric, oidUUID, oidChar, 1000, 1231, 2951, 114} {
		f := Field("f", oid, -1, true)
		fmt.Fprintf(&got, "oid %d %v %v\n", oid, f.Type, f.Nullable)
	}
	for _, mod := range []int32{-1, 655366, 4, 38<<16 + 4, 39<<16 + 4} {
		fmt.Fprintf(&got, "numeric of modifier %d %v\n", mod, Field("f", oidNumeric, mod, false).Type)
	}
	s, err := NewSchema(description(oidInt4, -1), true)
	if err != nil {
		t.Fatal(err)
	}
	bind, err := AppendBind(nil, nil, 0, s)
	fmt.Fprintf(&got, "schema %v bind %x error %v\n", s.Arrow, bind, err)
	goldentest.Compare(t, "parameters.txt", []byte(got.String()))
}
