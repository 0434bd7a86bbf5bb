// Package arrowbatch converts an engine's rows into Arrow record batches, column by column and by type OID,
// and Arrow values into parameters for an engine. Rows are the bodies of PostgreSQL's DataRow messages.
// Values are in binary form if this package decodes the binary form of their type, and in text form
// otherwise. The package does no I/O.
package arrowbatch

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/apache/arrow-go/v18/arrow"
)

// OIDs of PostgreSQL's types (pg_type.dat).
const (
	oidBool, oidBytea, oidName, oidInt8, oidInt2, oidInt4, oidText, oidOID = 16, 17, 19, 20, 21, 23, 25, 26
	oidFloat4, oidFloat8, oidBPChar, oidVarchar                            = 700, 701, 1042, 1043
	oidDate, oidTime, oidTimestamp, oidTimestampTZ, oidInterval            = 1082, 1083, 1114, 1184, 1186
	oidNumeric, oidUUID, oidChar                                           = 1700, 2950, 18
)

// arrayElementTypes maps the OID of an array type to that of its elements.
var arrayElementTypes = map[uint32]uint32{1000: oidBool, 1001: oidBytea, 1003: oidName, 1005: oidInt2,
	1007: oidInt4,
	1009: oidText, 1014: oidBPChar, 1015: oidVarchar, 1016: oidInt8, 1021: oidFloat4, 1022: oidFloat8,
	1028: oidOID, 1115: oidTimestamp, 1182: oidDate, 1183: oidTime, 1185: oidTimestampTZ, 1187: oidInterval,
	1231: oidNumeric, 2951: oidUUID}

// arrowTypes maps the OID of a type to its Arrow type, for types whose Arrow type does not depend on the
// modifier.
var arrowTypes = map[uint32]arrow.DataType{oidBool: arrow.FixedWidthTypes.Boolean,
	oidBytea: arrow.BinaryTypes.Binary, oidInt8: arrow.PrimitiveTypes.Int64,
	oidInt2: arrow.PrimitiveTypes.Int16, oidInt4: arrow.PrimitiveTypes.Int32,
	oidOID: arrow.PrimitiveTypes.Uint32, oidFloat4: arrow.PrimitiveTypes.Float32,
	oidFloat8: arrow.PrimitiveTypes.Float64, oidText: arrow.BinaryTypes.String,
	oidName: arrow.BinaryTypes.String, oidChar: arrow.BinaryTypes.String,
	oidBPChar: arrow.BinaryTypes.String, oidVarchar: arrow.BinaryTypes.String,
	oidDate: arrow.FixedWidthTypes.Date32, oidTime: arrow.FixedWidthTypes.Time64us,
	oidTimestamp:   &arrow.TimestampType{Unit: arrow.Microsecond},
	oidTimestampTZ: arrow.FixedWidthTypes.Timestamp_us,
	oidInterval:    arrow.FixedWidthTypes.MonthDayNanoInterval,
	oidUUID:        &arrow.FixedSizeBinaryType{ByteWidth: 16}}

// Column is one column of a result.
type Column struct {
	Name         string
	OID          uint32
	TypeModifier int32  // -1: none
	Binary       bool   // its values are sent in binary form
	Element      uint32 // OID of the type of an array's elements; 0: no array
	Type         arrow.DataType
}

// Schema describes the rows of a result, as the engine sends them and as Arrow holds them.
type Schema struct {
	Columns []Column
	Arrow   *arrow.Schema
}

var errTruncated = errors.New("message is cut")

// noModifier is the type modifier that means none.
const noModifier = -1

// The modifier of a numeric is its precision and scale, plus numericModifierOffset ("Numeric Types").
const (
	numericModifierOffset = 4
	numericPrecisionShift = 16
	numericPrecisionMask  = 0xffff
	numericScaleMask      = 0x7ff
	maxDecimalDigits      = 38 // of Arrow's Decimal128
)

// arrowTypeOf returns the Arrow type of a PostgreSQL type; nil: this package does not decode its binary form.
func arrowTypeOf(oid uint32, modifier int32) arrow.DataType {
	if oid == oidNumeric {
		return numericType(modifier)
	}
	if element, ok := arrayElementTypes[oid]; ok {
		return arrow.ListOf(arrowTypeOf(element, modifier))
	}
	return arrowTypes[oid]
}

// numericType returns the Arrow type of a numeric. A numeric without a modifier may hold any number. Arrow's
// Decimal128 has at most maxDecimalDigits digits, and no scale below zero or above the precision. Numerics
// that it cannot hold are strings, with all their digits.
func numericType(modifier int32) arrow.DataType {
	precision := (modifier - numericModifierOffset) >> numericPrecisionShift & numericPrecisionMask
	scale := (modifier - numericModifierOffset) & numericScaleMask
	if modifier >= numericModifierOffset && precision <= maxDecimalDigits && scale <= precision {
		return &arrow.Decimal128Type{Precision: precision, Scale: scale}
	}
	return arrow.BinaryTypes.String
}

// NewSchema decodes the body of a RowDescription. If assumeBinary is set, the formats in the message are
// ignored, and the columns have those that AppendFormats asks for: an engine that describes a statement does
// not know the formats yet.
func NewSchema(b []byte, assumeBinary bool) (*Schema, error) {
	if len(b) < 2 {
		return nil, errTruncated
	}
	n := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	s := &Schema{Columns: make([]Column, 0, n)}
	fields := make([]arrow.Field, 0, n)
	for range n {
		c, rest, err := parseColumn(b)
		if err != nil {
			return nil, err
		}
		b = rest
		c.resolveType(assumeBinary)
		s.Columns = append(s.Columns, c)
		fields = append(fields, c.field())
	}
	s.Arrow = arrow.NewSchema(fields, nil)
	return s, nil
}

// columnTailSize is the size in bytes of a column's description after its zero-terminated name.
const columnTailSize = 18

// parseColumn decodes one column of a RowDescription and returns the bytes after it.
func parseColumn(b []byte) (c Column, rest []byte, err error) {
	end := 0
	for end < len(b) && b[end] != 0 {
		end++
	}
	if len(b) < end+1+columnTailSize {
		return c, nil, errTruncated
	}
	c.Name = string(b[:end])
	b = b[end+1:]
	c.OID = binary.BigEndian.Uint32(b[6:]) // after the table's OID and the column's number
	c.TypeModifier = int32(binary.BigEndian.Uint32(b[12:]))
	c.Binary = binary.BigEndian.Uint16(b[16:]) == formatBinary
	return c, b[columnTailSize:], nil
}

// Format codes of values ("Formats and Format Codes").
const (
	formatText   = 0
	formatBinary = 1
)

// resolveType sets the Arrow type and the element type of a column.
func (c *Column) resolveType(assumeBinary bool) {
	c.Type, c.Element = arrowTypeOf(c.OID, c.TypeModifier), arrayElementTypes[c.OID]
	if assumeBinary {
		c.Binary = c.Type != nil
	}
	switch {
	case !c.Binary: // text form, for any type
		c.Type, c.Element = arrow.BinaryTypes.String, 0
	case c.Type == nil:
		c.Type = arrow.BinaryTypes.Binary
	}
}

// field returns the column as an Arrow field. A uuid has one of Arrow's canonical extension types.
func (c *Column) field() arrow.Field {
	f := arrow.Field{Name: c.Name, Type: c.Type, Nullable: true}
	if c.Binary && c.OID == oidUUID {
		f.Metadata = arrow.NewMetadata([]string{"ARROW:extension:name", "ARROW:extension:metadata"},
			[]string{"arrow.uuid", ""})
	}
	return f
}

// ParameterSchema decodes the body of a ParameterDescription into the schema of the parameters that a client
// may bind.
func ParameterSchema(b []byte) (*arrow.Schema, error) {
	if len(b) < 2 || len(b) != 2+4*int(binary.BigEndian.Uint16(b)) {
		return nil, errTruncated
	}
	var fields []arrow.Field
	for b = b[2:]; len(b) > 0; b = b[4:] {
		name := fmt.Sprint("parameter_", len(fields)+1)
		fields = append(fields, Field(name, binary.BigEndian.Uint32(b), noModifier, true))
	}
	return arrow.NewSchema(fields, nil), nil
}

// Field returns a column of a table, or a parameter, as an Arrow field. Types that arrowTypeOf does not know
// become strings.
func Field(name string, oid uint32, modifier int32, nullable bool) arrow.Field {
	t := arrowTypeOf(oid, modifier)
	if t == nil {
		t = arrow.BinaryTypes.String
	}
	return arrow.Field{Name: name, Type: t, Nullable: nullable}
}

// AppendFormats appends the result formats of a Bind message: their number, and one for each column. A nil
// schema asks for text form.
func (s *Schema) AppendFormats(out []byte) []byte {
	if s == nil {
		return binary.BigEndian.AppendUint16(out, 0)
	}
	out = binary.BigEndian.AppendUint16(out, uint16(len(s.Columns)))
	for _, c := range s.Columns {
		format := uint16(formatText)
		if c.Binary {
			format = formatBinary
		}
		out = binary.BigEndian.AppendUint16(out, format)
	}
	return out
}
