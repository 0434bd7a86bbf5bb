package wire

import (
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"

	"cresspass"
)

// parser reads typed values from the fields of one line and keeps the first error.
type parser struct {
	reader *Reader
	fields []field
	err    error
}

// find returns the value of a field, and whether the line has the field.
func (p *parser) find(name string) (string, bool) {
	for i := range p.fields {
		if p.fields[i].name == name {
			return p.fields[i].value, true
		}
	}
	return "", false
}

func (p *parser) text(name string) string {
	v, _ := p.find(name)
	return v
}

// required returns the value of a field that must not be missing or empty.
func (p *parser) required(name string) string {
	v, ok := p.find(name)
	if !ok || v == "" {
		p.invalid(name, "a value")
	}
	return v
}

// invalid records an error about a field, unless there was one before.
func (p *parser) invalid(name, want string) {
	if p.err == nil {
		v, ok := p.find(name)
		if !ok {
			v = "nothing"
		}
		p.err = p.reader.errorf("%s is %s, expected %s", name, v, want)
	}
}

// unsigned reads a whole number of at most 63 bits. A missing field is 0, or an error if the field is
// required.
func (p *parser) unsigned(name string, required bool) uint64 {
	v, ok := p.find(name)
	if !ok && !required {
		return 0
	}
	n, err := strconv.ParseUint(v, 10, 63)
	if err != nil {
		p.invalid(name, "a whole number")
	}
	return n
}

// duration reads a whole number of microseconds. A missing field is 0, or an error if the field is required.
func (p *parser) duration(name string, required bool) time.Duration {
	v, ok := p.find(name)
	if !ok && !required {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n > math.MaxInt64/1000 || n < math.MinInt64/1000 {
		p.invalid(name, "microseconds in whole numbers")
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

func (p *parser) number(name string) float64 {
	v, ok := p.find(name)
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		p.invalid(name, "a number")
	}
	return n
}

func (p *parser) flag(name string) bool {
	switch v, _ := p.find(name); v {
	case "1", "true":
		return true
	case "", "0", "false":
		return false
	}
	p.invalid(name, "1 or 0")
	return false
}

// bytes reads hex digits; "-" stands for no bytes.
func (p *parser) bytes(name string) []byte {
	v := p.text(name)
	if v == "-" || v == "" {
		return nil
	}
	b, err := hex.DecodeString(v)
	if err != nil {
		p.invalid(name, "hex digits")
	}
	return b
}

// findNumbers returns the value of a field as comma-separated numbers; false: the field is missing or empty.
func (p *parser) findNumbers(name string) ([]float64, bool) {
	v, ok := p.find(name)
	if !ok || v == "" {
		return nil, false
	}
	var out []float64
	for part := range strings.SplitSeq(v, ",") {
		n, err := strconv.ParseFloat(part, 64)
		if err != nil {
			p.invalid(name, "numbers set apart by commas")
		}
		out = append(out, n)
	}
	return out, true
}

// attemptID reads which attempt an event is about: its query, number and engine.
func (p *parser) attemptID(e *cresspass.Event) {
	e.Query = cresspass.QueryID(p.unsigned("op-id", true))
	e.Attempt = int(p.unsigned("trial", false))
	e.Engine = cresspass.EngineID(p.text("node"))
}

// parseWord reads a field whose value is one of the given words.
func parseWord[T any](p *parser, name string, words map[string]T) T {
	v, ok := words[p.text(name)]
	if !ok {
		p.invalid(name, "one of the protocol's words")
	}
	return v
}
