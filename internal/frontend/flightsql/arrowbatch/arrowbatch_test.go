package arrowbatch

import (
	"errors"
	"fmt"
	"math/big"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"pgregory.net/rapid"
)

var ten = big.NewInt(10)

// description returns the body of a RowDescription of one column in binary format.
func description(oid uint32, modifier int32) []byte {
	m := &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("c"), DataTypeOID: oid,
		TypeModifier: modifier, Format: 1}}}
	b, _ := m.Encode(nil)
	return b[5:]
}

// row returns the body of a DataRow of one value.
func row(v []byte) []byte {
	b, _ := (&pgproto3.DataRow{Values: [][]byte{v}}).Encode(nil)
	return b[5:]
}

// TestNumeric checks that any numeric is converted exactly, to text and to decimal, and that one that the
// decimal type cannot hold is an error, never another number.
func TestNumeric(t *testing.T) {
	m := pgtype.NewMap()
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`-?(0|[1-9][0-9]{0,22})(\.[0-9]{1,12})?`).Draw(t, "number")
		var n pgtype.Numeric
		if err := n.Scan(text); err != nil {
			t.Fatal(err)
		}
		b, err := m.Encode(pgtype.NumericOID, 1, n, nil)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := parseNumeric(b)
		if err != nil {
			t.Fatal(err)
		}
		var back pgtype.Numeric
		if err := back.Scan(string(parsed.appendText(nil))); err != nil {
			t.Fatal(err)
		}
		same := func(a, b pgtype.Numeric) bool {
			x, _ := a.Value()
			y, _ := b.Value()
			var p, q pgtype.Numeric
			if err := errors.Join(p.Scan(x), q.Scan(y)); err != nil {
				t.Fatal(err)
			}
			for p.Exp > q.Exp {
				p.Int.Mul(p.Int, ten)
				p.Exp--
			}
			for q.Exp > p.Exp {
				q.Int.Mul(q.Int, ten)
				q.Exp--
			}
			return p.Int.Cmp(q.Int) == 0
		}
		if !same(n, back) {
			t.Fatalf("numeric %s converted to text %s", text, parsed.appendText(nil))
		}
		scale := int32(rapid.IntRange(0, 15).Draw(t, "scale"))
		d, err := parsed.decimal(38, scale)
		if err != nil {
			if fits := len(text) < 20 && int(-n.Exp) <= int(scale); fits {
				t.Fatalf("numeric %s converted to decimal(38, %d): error %v", text, scale, err)
			}
			return
		}
		back = pgtype.Numeric{}
		if err := back.Scan(d.ToString(scale)); err != nil || !same(n, back) {
			t.Fatalf("numeric %s converted to decimal %s of scale %d", text, d.ToString(scale), scale)
		}
	})
}

// FuzzRow checks that a row with any bytes as a value of any type is accepted or rejected without a panic.
func FuzzRow(f *testing.F) {
	for oid := range arrayElementTypes {
		f.Add(oid, int32(-1), []byte{0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 25, 0, 0, 0, 1, 0, 0, 0, 1})
	}
	for oid := range arrowTypes {
		f.Add(oid, int32(-1), []byte{0, 0, 0, 1, 0, 0, 0, 0})
	}
	f.Add(uint32(oidNumeric), int32(655366), []byte{0, 1, 0, 0, 0, 0, 0, 0, 0, 5})
	f.Fuzz(func(t *testing.T, oid uint32, modifier int32, v []byte) {
		s, err := NewSchema(description(oid, modifier), false)
		if err != nil {
			t.Fatal(err)
		}
		b := NewBuilder(s, memory.DefaultAllocator)
		defer b.Release()
		if err := b.AppendRow(row(v)); err != nil {
			return
		}
		r := b.Batch()
		defer r.Release()
		if r.NumRows() != 1 {
			t.Fatalf("batch of %d rows after one row, want 1", r.NumRows())
		}
		_, _, _ = PostgresText(r.Column(0), 0) // any result will do, but no panic
	})
}

// BenchmarkBatch measures the conversion of rows into batches and the allocations for each batch.
func BenchmarkBatch(b *testing.B) {
	m := &pgproto3.RowDescription{}
	data := &pgproto3.DataRow{}
	for _, oid := range []uint32{oidInt8, oidFloat8, oidText, oidTimestamp} {
		m.Fields = append(m.Fields, pgproto3.FieldDescription{Name: fmt.Append(nil, oid), DataTypeOID: oid,
			TypeModifier: -1, Format: 1})
		v := []byte("eight by")
		data.Values = append(data.Values, v)
	}
	d, _ := m.Encode(nil)
	s, err := NewSchema(d[5:], false)
	if err != nil {
		b.Fatal(err)
	}
	line, _ := data.Encode(nil)
	line = line[5:]
	const rows = 8192
	builder := NewBuilder(s, memory.DefaultAllocator)
	defer builder.Release()
	b.SetBytes(int64(rows * len(line)))
	b.ReportAllocs()
	for b.Loop() {
		for range rows {
			if err := builder.AppendRow(line); err != nil {
				b.Fatal(err)
			}
		}
		builder.Batch().Release()
	}
}
