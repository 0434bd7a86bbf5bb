package arrowbatch

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/big"

	"github.com/apache/arrow-go/v18/arrow/decimal128"
)

// Layout of a numeric in binary form (numeric_send): the number of digits, the weight of the first, the sign
// and the scale, 2 bytes each, then the digits in base numericBase, 2 bytes each.
const (
	numericHeaderSize = 8 // bytes before the digits
	numericBase       = 10000
	baseDigits        = 4 // decimal digits of one digit in base numericBase

	signPositive         = 0
	signNegative         = 0x4000
	signNaN              = 0xC000
	signInfinity         = 0xD000
	signNegativeInfinity = 0xF000
)

// numeric is a value of PostgreSQL's type numeric.
type numeric struct {
	digits   []byte // in base numericBase, 2 bytes each
	weight   int    // of the first digit: its power of numericBase
	negative bool
	special  string // NaN, Infinity or -Infinity; "": an ordinary number
	scale    int    // decimal digits after the decimal point
}

// parseNumeric decodes a numeric in binary form; its digits share the memory of v.
func parseNumeric(v []byte) (numeric, error) {
	if len(v) < numericHeaderSize {
		return numeric{}, errTruncated
	}
	count := int(binary.BigEndian.Uint16(v))
	n := numeric{weight: int(int16(binary.BigEndian.Uint16(v[2:]))),
		scale: int(binary.BigEndian.Uint16(v[6:])), digits: v[numericHeaderSize:]}
	if len(n.digits) != 2*count {
		return n, errTruncated
	}
	switch sign := binary.BigEndian.Uint16(v[4:]); sign {
	case signPositive:
	case signNegative:
		n.negative = true
	case signNaN:
		n.special = "NaN"
	case signInfinity:
		n.special = "Infinity"
	case signNegativeInfinity:
		n.special = "-Infinity"
	default:
		return n, fmt.Errorf("numeric of sign %#x", sign)
	}
	for i := 0; i < count; i++ {
		if d := n.digit(i); d >= numericBase {
			return n, fmt.Errorf("numeric digit %d", d)
		}
	}
	return n, nil
}

// digit returns the digit at index i; 0 outside the digits that were sent.
func (n *numeric) digit(i int) int {
	if i < 0 || 2*i+1 >= len(n.digits) {
		return 0
	}
	return int(binary.BigEndian.Uint16(n.digits[2*i:]))
}

// appendText appends the number in PostgreSQL's text form, with all digits of its scale.
func (n *numeric) appendText(out []byte) []byte {
	if n.special != "" {
		return append(out, n.special...)
	}
	if n.negative {
		out = append(out, '-')
	}
	start := len(out)
	for i := 0; i <= n.weight; i++ {
		out = appendBaseDigit(out, n.digit(i))
	}
	leading := start
	for leading < len(out) && out[leading] == '0' {
		leading++
	}
	out = append(out[:start], out[leading:]...)
	if len(out) == start {
		out = append(out, '0')
	}
	if n.scale == 0 {
		return out
	}
	out = append(out, '.')
	point := len(out)
	for i := n.weight + 1; len(out)-point < n.scale; i++ {
		out = appendBaseDigit(out, n.digit(i))
	}
	return out[:point+n.scale]
}

// appendBaseDigit appends a digit in base numericBase as baseDigits decimal digits.
func appendBaseDigit(out []byte, d int) []byte {
	return append(out, byte('0'+d/1000), byte('0'+d/100%10), byte('0'+d/10%10), byte('0'+d%10))
}

// decimal converts the number exactly to Arrow's decimal. A number that does not fit is an error: rounding it
// or returning null would silently change the result.
func (n *numeric) decimal(precision, scale int32) (decimal128.Num, error) {
	if n.special != "" {
		return decimal128.Num{}, fmt.Errorf("%s does not fit decimal(%d, %d)", n.special, precision, scale)
	}
	if d, ok, err := n.smallDecimal(precision, scale); ok || err != nil {
		return d, err
	}
	v, ok := new(big.Rat).SetString(string(n.appendText(nil)))
	if !ok {
		return decimal128.Num{}, errors.New("numeric is not read")
	}
	unit := new(big.Int).Exp(big.NewInt(10), big.NewInt(int64(scale)), nil)
	v.Mul(v, new(big.Rat).SetInt(unit))
	if !v.IsInt() || v.Num().BitLen() > 127 {
		return decimal128.Num{}, errDoesNotFit(precision, scale)
	}
	d := decimal128.FromBigInt(v.Num())
	if !d.FitsInPrecision(precision) {
		return d, errDoesNotFit(precision, scale)
	}
	return d, nil
}

func errDoesNotFit(precision, scale int32) error {
	return fmt.Errorf("does not fit decimal(%d, %d)", precision, scale)
}

// smallFractionDigits is the number of decimal digits after the decimal point that smallDecimal reads: two
// digits in base numericBase.
const smallFractionDigits = 2 * baseDigits

// smallDecimal is decimal without arbitrary-precision arithmetic, for numbers of up to 16 decimal digits
// before the decimal point and 8 after it, and a scale of at most 8. ok is false for any other number or
// scale, and if the result may not fit an int64.
func (n *numeric) smallDecimal(precision, scale int32) (d decimal128.Num, ok bool, err error) {
	count := len(n.digits) / 2
	if n.weight >= 4 || n.weight < -1 || scale > smallFractionDigits || count > n.weight+3 {
		return d, false, nil
	}
	whole, fraction := int64(0), int64(0)
	for i := 0; i <= n.weight; i++ {
		whole = whole*numericBase + int64(n.digit(i))
	}
	for i := n.weight + 1; i <= n.weight+2; i++ {
		fraction = fraction*numericBase + int64(n.digit(i))
	}
	for range smallFractionDigits - scale {
		if fraction%10 != 0 {
			return d, false, fmt.Errorf("more than %d digits behind the point", scale)
		}
		fraction /= 10
	}
	unit := int64(1)
	for range scale {
		unit *= 10
	}
	if whole >= math.MaxInt64/unit-1 {
		return d, false, nil
	}
	sum := whole*unit + fraction
	if n.negative {
		sum = -sum
	}
	if d = decimal128.FromI64(sum); !d.FitsInPrecision(precision) {
		return decimal128.Num{}, false, errDoesNotFit(precision, scale)
	}
	return d, true, nil
}
