// Package arrowbatch turns an engine's rows into Arrow record batches, column by column and by type OID, and
// Arrow values into parameters for an engine. Rows come as the bodies of PostgreSQL's DataRow messages,
// binary where this package reads the type's binary form and as text elsewhere. It does no I/O.
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

// arrayElementTypes are the types of arrays' elements.
var arrayElementTypes = map[uint32]uint32{
	1000: oidBool,
	1001: oidBytea,
	1003: oidName,
	1005: oidInt2,
	1007: oidInt4,
	1009: oidText,
	1014: oidBPChar,
	1015: oidVarchar,
	1016: oidInt8,
	1021: oidFloat4,
	1022: oidFloat8,
	1028: oidOID,
	1115: oidTimestamp,
	1182: oidDate,
	1183: oidTime,
	1185: oidTimestampTZ,
	1187: oidInterval,
	1231: oidNumeric,
	2951: oidUUID,
}

// arrowTypes are the Arrow types of those that need no modifier.
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

// Column is one column of an answer.
type Column struct {
	Name         string
	OID          uint32
	TypeModifier int32 // type modifier; -1: none
	Binary       bool  // its values come in binary form
	Element      uint32
	Type         arrow.DataType
}

// Schema is the shape of an answer.
type Schema struct {
	Columns []Column
	Arrow   *arrow.Schema
}

var errTruncated = errors.New("message is cut")

// arrowTypeOf is the Arrow type of a PostgreSQL type; nil: this package does not read its binary form.
func arrowTypeOf(oid uint32, mod int32) arrow.DataType {
	if oid == oidNumeric {
		// "Numeric Types": the modifier holds precision and scale, and a scale below zero or beyond the
		// precision is not Arrow's to hold. One without modifier may hold anything: it goes out as text, to
		// the last digit.
		if p, s := (mod-4)>>16&0xffff, (mod-4)&0x7ff; mod >= 4 && p <= 38 && s <= p {
			return &arrow.Decimal128Type{Precision: p, Scale: s}
		}
		return arrow.BinaryTypes.String
	}
	if e, ok := arrayElementTypes[oid]; ok {
		return arrow.ListOf(arrowTypeOf(e, mod))
	}
	return arrowTypes[oid]
}

// NewSchema reads the body of a RowDescription. inBinary: the formats told are those that Formats asks for,
// as in a statement's description, where the engine tells none.
func NewSchema(b []byte, inBinary bool) (*Schema, error) {
	if len(b) < 2 {
		return nil, errTruncated
	}
	n := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	s := &Schema{Columns: make([]Column, 0, n)}
	fields := make([]arrow.Field, 0, n)
	for range n {
		end := 0
		for end < len(b) && b[end] != 0 {
			end++
		}
		if len(b) < end+19 {
			return nil, errTruncated
		}
		c := Column{Name: string(b[:end])}
		b = b[end+1:]
		c.OID, c.TypeModifier = binary.BigEndian.Uint32(b[6:]), int32(binary.BigEndian.Uint32(b[12:]))
		c.Binary = binary.BigEndian.Uint16(b[16:]) == 1
		b = b[18:]
		c.Type, c.Element = arrowTypeOf(c.OID, c.TypeModifier), arrayElementTypes[c.OID]
		if inBinary {
			c.Binary = c.Type != nil
		}
		switch {
		case !c.Binary: // as text, whatever it is
			c.Type, c.Element = arrow.BinaryTypes.String, 0
		case c.Type == nil:
			c.Type = arrow.BinaryTypes.Binary
		}
		s.Columns = append(s.Columns, c)
		f := arrow.Field{Name: c.Name, Type: c.Type, Nullable: true}
		if c.Binary && c.OID == oidUUID { // Arrow's canonical extension types
			f.Metadata = arrow.NewMetadata([]string{"ARROW:extension:name", "ARROW:extension:metadata"},
				[]string{"arrow.uuid", ""})
		}
		fields = append(fields, f)
	}
	s.Arrow = arrow.NewSchema(fields, nil)
	return s, nil
}

// ParameterSchema reads the body of a ParameterDescription as a schema of what a client may bind, and the
// OIDs.
func ParameterSchema(b []byte) (*arrow.Schema, []uint32, error) {
	if len(b) < 2 || len(b) != 2+4*int(binary.BigEndian.Uint16(b)) {
		return nil, nil, errTruncated
	}
	var fields []arrow.Field
	var oids []uint32
	for b = b[2:]; len(b) > 0; b = b[4:] {
		oid := binary.BigEndian.Uint32(b)
		oids = append(oids, oid)
		t := arrowTypeOf(oid, -1)
		if t == nil {
			t = arrow.BinaryTypes.String
		}
		fields = append(fields, arrow.Field{Name: fmt.Sprint("parameter_", len(oids)), Type: t,
			Nullable: true})
	}
	return arrow.NewSchema(fields, nil), oids, nil
}

// AppendFormats are the result formats to ask for in a Bind ("Bind"): a count and one code for each column.
func (s *Schema) AppendFormats(out []byte) []byte {
	if s == nil {
		return binary.BigEndian.AppendUint16(out, 0)
	}
	out = binary.BigEndian.AppendUint16(out, uint16(len(s.Columns)))
	for _, c := range s.Columns {
		code := uint16(0)
		if c.Binary {
			code = 1
		}
		out = binary.BigEndian.AppendUint16(out, code)
	}
	return out
}

// Field is a table's column as a field.
func Field(name string, oid uint32, mod int32, nullable bool) arrow.Field {
	t := arrowTypeOf(oid, mod)
	if t == nil {
		t = arrow.BinaryTypes.String
	}
	return arrow.Field{Name: name, Type: t, Nullable: nullable}
}
