package thrift

import "encoding/binary"

// The type numbers of values in the binary protocol.
const (
	typeStop   = 0
	typeBool   = 2
	typeByte   = 3
	typeDouble = 4
	typeI16    = 6
	typeI32    = 8
	typeI64    = 10
	typeString = 11
	typeStruct = 12
	typeMap    = 13
	typeSet    = 14
	typeList   = 15
)

// appendField appends the header of a struct field: its type and its id.
func appendField(b []byte, valueType byte, id uint16) []byte {
	return binary.BigEndian.AppendUint16(append(b, valueType), id)
}

func appendString[T ~string | ~[]byte](b []byte, s T) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

func appendI32(b []byte, v int32) []byte { return binary.BigEndian.AppendUint32(b, uint32(v)) }

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// appendFields appends a struct field that is a map from strings to strings.
func appendFields(b []byte, id uint16, fields Fields) []byte {
	b = append(appendField(b, typeMap, id), typeString, typeString)
	b = appendI32(b, int32(len(fields)))
	for _, f := range fields {
		b = appendString(b, f.Name)
		b = appendString(b, f.Value)
	}
	return b
}
