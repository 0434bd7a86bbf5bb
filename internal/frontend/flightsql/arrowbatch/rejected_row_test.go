package arrowbatch

import (
	"testing"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/jackc/pgx/v5/pgproto3"
)

// TestRejectedRowIsInNoBatch guards against a panic that ended the process: a row that is rejected halfway
// left columns of unequal length, of which the rows before it could not be made into a batch.
func TestRejectedRowIsInNoBatch(t *testing.T) {
	const numeric10x2 = 10<<numericPrecisionShift | 2 + numericModifierOffset
	fields := []pgproto3.FieldDescription{
		{Name: []byte("text"), DataTypeOID: oidText, TypeModifier: noModifier, Format: 1},
		{Name: []byte("number"), DataTypeOID: oidInt4, TypeModifier: noModifier, Format: 1},
		{Name: []byte("price"), DataTypeOID: oidNumeric, TypeModifier: numeric10x2, Format: 1},
		{Name: []byte("list"), DataTypeOID: 1007, TypeModifier: noModifier, Format: 1},
		{Name: []byte("last"), DataTypeOID: oidBool, TypeModifier: noModifier, Format: 1},
	}
	described, err := (&pgproto3.RowDescription{Fields: fields}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	schema, err := NewSchema(described[5:], false)
	if err != nil {
		t.Fatal(err)
	}
	good := [][]byte{[]byte("a"), {0, 0, 0, 7}, make([]byte, numericHeaderSize),
		{0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, oidInt4, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 4, 0, 0, 0, 9}, {1}}
	with := func(column int, value []byte) []byte {
		values := append([][]byte(nil), good...)
		values[column] = value
		line, _ := (&pgproto3.DataRow{Values: values}).Encode(nil)
		return line[5:]
	}
	whole := with(0, good[0])
	for name, rejected := range map[string][]byte{
		"no columns":         {0, 0},
		"first value cut":    whole[:6],
		"last value cut":     whole[:len(whole)-1],
		"bytes too many":     append(append([]byte(nil), whole...), 0),
		"short number":       with(1, []byte{1, 2, 3}),
		"NaN":                with(2, []byte{0, 0, 0, 0, 0xC0, 0, 0, 0}),
		"two dimensions":     with(3, []byte{0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, oidInt4}),
		"bad element":        with(3, append(append([]byte(nil), good[3][:20]...), 0, 0, 0, 1, 5)),
		"elements cut":       with(3, good[3][:len(good[3])-2]),
		"last value is long": with(4, []byte{1, 1}),
	} {
		for before := range 3 {
			builder := NewBuilder(schema, memory.DefaultAllocator)
			for range before {
				if err := builder.AppendRow(whole); err != nil {
					t.Fatal(err)
				}
			}
			if err := builder.AppendRow(rejected); err == nil {
				t.Errorf("%s: the row was accepted", name)
			}
			checkBatch(t, name, builder, before)
			builder.Release()
		}
	}
}

// checkBatch checks that a builder makes a batch of so many equal rows.
func checkBatch(t *testing.T, name string, builder *Builder, rows int) {
	t.Helper()
	if got := builder.Rows(); got != rows {
		t.Errorf("%s: the builder has %d rows, want %d", name, got, rows)
	}
	batch := builder.Batch()
	defer batch.Release()
	if batch.NumRows() != int64(rows) {
		t.Errorf("%s: a batch of %d rows, want %d", name, batch.NumRows(), rows)
	}
	for i, column := range batch.Columns() {
		if column.Len() != rows || column.NullN() != 0 {
			t.Errorf("%s: column %d has %d values and %d nulls, want %d and 0", name, i, column.Len(),
				column.NullN(), rows)
		}
	}
	if list := batch.Column(3).(*array.List); rows > 0 {
		if from, to := list.ValueOffsets(rows - 1); to-from != 1 {
			t.Errorf("%s: the last list has %d elements, want 1", name, to-from)
		}
	}
}
