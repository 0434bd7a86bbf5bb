package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
)

const (
	maxDepth = 16 // nesting of structs and containers in a skipped value

	// MaxFields is the largest number of entries in the Fields of a dispatch call.
	MaxFields = 64
)

var (
	errTruncated = errors.New("thrift: message ends inside a value")
	errTooDeep   = errors.New("thrift: values lie too deep in one another")
)

// decoder reads values of the binary protocol from data, beginning at offset.
type decoder struct {
	data   []byte
	offset int
}

// left returns the number of bytes that are not read yet.
func (d *decoder) left() int { return len(d.data) - d.offset }

// take returns the next n bytes. The slice shares memory with the data.
func (d *decoder) take(n int) ([]byte, error) {
	if n < 0 || n > d.left() {
		return nil, errTruncated
	}
	b := d.data[d.offset : d.offset+n]
	d.offset += n
	return b, nil
}

func (d *decoder) u8() (byte, error) {
	b, err := d.take(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

func (d *decoder) u16() (uint16, error) {
	b, err := d.take(2)
	if err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint16(b), nil
}

func (d *decoder) i32() (int32, error) {
	b, err := d.take(4)
	if err != nil {
		return 0, err
	}
	return int32(binary.BigEndian.Uint32(b)), nil
}

func (d *decoder) bytes() ([]byte, error) {
	n, err := d.i32()
	if err != nil {
		return nil, err
	}
	return d.take(int(n))
}

// fields reads a map from strings to strings with at most MaxFields entries.
func (d *decoder) fields() (Fields, error) {
	keyType, err := d.u8()
	if err != nil {
		return nil, err
	}
	valueType, err := d.u8()
	if err != nil {
		return nil, err
	}
	n, err := d.i32()
	if err != nil {
		return nil, err
	}
	if n < 0 || n > MaxFields || n > 0 && (keyType != typeString || valueType != typeString) {
		return nil, fmt.Errorf("thrift: a map of %d entries of types %d and %d, want at most %d of texts", n,
			keyType, valueType, MaxFields)
	}
	fields := make(Fields, 0, n)
	for range n {
		name, err := d.bytes()
		if err != nil {
			return nil, err
		}
		value, err := d.bytes()
		if err != nil {
			return nil, err
		}
		fields = append(fields, Field{Name: string(name), Value: string(value)})
	}
	return fields, nil
}

// skip reads past a value of a type without decoding it. depth counts the values that contain it.
func (d *decoder) skip(valueType byte, depth int) (err error) {
	if depth > maxDepth {
		return errTooDeep
	}
	switch valueType {
	case typeBool, typeByte:
		_, err = d.take(1)
	case typeI16:
		_, err = d.take(2)
	case typeI32:
		_, err = d.take(4)
	case typeI64, typeDouble:
		_, err = d.take(8)
	case typeString:
		_, err = d.bytes()
	case typeStruct:
		err = d.skipStruct(depth)
	case typeMap, typeSet, typeList:
		err = d.skipContainer(valueType, depth)
	default:
		err = fmt.Errorf("thrift: value of type %d", valueType)
	}
	return err
}

// skipStruct reads past the fields of a struct, up to its end.
func (d *decoder) skipStruct(depth int) error {
	for {
		fieldType, err := d.u8()
		if err != nil || fieldType == typeStop {
			return err
		}
		if _, err = d.u16(); err != nil {
			return err
		}
		if err = d.skip(fieldType, depth+1); err != nil {
			return err
		}
	}
}

// skipContainer reads past a list, a set or a map.
func (d *decoder) skipContainer(containerType byte, depth int) error {
	elementType, err := d.u8()
	if err != nil {
		return err
	}
	elementTypes := append(make([]byte, 0, 2), elementType)
	if containerType == typeMap {
		valueType, err := d.u8()
		if err != nil {
			return err
		}
		elementTypes = append(elementTypes, valueType)
	}
	n, err := d.i32()
	if err != nil {
		return err
	}
	if int(n) < 0 || int(n) > d.left() { // each element takes at least one byte
		return errTruncated
	}
	for range n {
		for _, t := range elementTypes {
			if err := d.skip(t, depth+1); err != nil {
				return err
			}
		}
	}
	return nil
}
