package arrowbatch

import (
	"encoding/binary"
	"fmt"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/memory"
)

// Builder collects rows into record batches. It is not safe for concurrent use.
type Builder struct {
	schema    *Schema
	record    *array.RecordBuilder
	appenders []appender // one for each column
	rows      int        // since the last batch
	bytes     int        // of these rows, as the engine sent them
	rejected  bool       // behind these rows, the columns hold a row that was rejected

	// Sizes of the previous batch, by which memory for the next is reserved.

	previousRows      int
	previousDataSizes []int // bytes of each column with values of variable length; 0 for other columns
}

// NewBuilder returns a builder for the rows of a schema. The caller releases it.
func NewBuilder(s *Schema, mem memory.Allocator) *Builder {
	b := &Builder{schema: s, record: array.NewRecordBuilder(mem, s.Arrow)}
	for i := range s.Columns {
		c := &s.Columns[i]
		f := b.record.Field(i)
		switch {
		case !c.Binary:
			b.appenders = append(b.appenders, textAppender(f.(*array.StringBuilder)))
		case c.Element != 0:
			b.appenders = append(b.appenders, listAppender(f.(*array.ListBuilder), c.Element))
		default:
			b.appenders = append(b.appenders, scalarAppender(f, c.OID))
		}
	}
	return b
}

// Release frees the memory of the builder, except that of batches.
func (b *Builder) Release() { b.record.Release() }

// Rows returns the number of rows since the last batch.
func (b *Builder) Rows() int { return b.rows }

// Bytes returns the size in bytes of the rows since the last batch, as the engine sent them.
func (b *Builder) Bytes() int { return b.bytes }

// Batch returns a batch of the rows since the last batch and starts a new one. The caller releases it.
func (b *Builder) Batch() arrow.RecordBatch {
	b.previousRows, b.rows, b.bytes = b.rows, 0, 0
	b.previousDataSizes = b.previousDataSizes[:0]
	for _, f := range b.record.Fields() {
		size := 0
		switch f := f.(type) {
		case *array.BinaryBuilder:
			size = f.DataLen()
		case *array.StringBuilder:
			size = f.DataLen()
		}
		b.previousDataSizes = append(b.previousDataSizes, size)
	}
	batch := b.record.NewRecordBatch()
	if !b.rejected {
		return batch
	}
	defer batch.Release()
	b.rejected = false
	return batch.NewSlice(0, int64(b.previousRows))
}

// reserve reserves as much memory as the previous batch took, instead of growing by doubling.
func (b *Builder) reserve() {
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

// AppendRow adds the row of a DataRow's body. After an error, which adds no row, Batch must be called before
// the next row.
func (b *Builder) AppendRow(row []byte) error {
	if len(row) < 2 || int(binary.BigEndian.Uint16(row)) != len(b.appenders) {
		return fmt.Errorf("row does not have the %d columns described", len(b.appenders))
	}
	if b.rows == 0 && b.previousRows > 0 {
		b.reserve()
	}
	if err := b.appendValues(row[2:]); err != nil {
		b.completeRejectedRow()
		return err
	}
	b.rows++
	b.bytes += len(row)
	return nil
}

// completeRejectedRow gives all columns the same length after a row that was rejected halfway: Arrow can't
// remove the values that were added, and panics on columns of unequal length.
func (b *Builder) completeRejectedRow() {
	b.rejected = true
	for _, field := range b.record.Fields() {
		if field.Len() == b.rows {
			field.AppendNull()
		}
	}
}

// appendValues adds the values of a row to the columns.
func (b *Builder) appendValues(row []byte) error {
	for i, appendValue := range b.appenders {
		v, rest, err := nextValue(row)
		if err != nil {
			return err
		}
		row = rest
		if v == nil {
			b.record.Field(i).AppendNull()
		} else if err := appendValue(v); err != nil {
			return fmt.Errorf("column %q: %w", b.schema.Columns[i].Name, err)
		}
	}
	if len(row) > 0 {
		return fmt.Errorf("row has %d bytes too many", len(row))
	}
	return nil
}
