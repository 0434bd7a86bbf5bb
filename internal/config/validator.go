package config

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// validator checks one file and collects its errors.
type validator struct {
	path string
	body *hclsyntax.Body
	errs []error
}

// scope is the place of a setting: a block, identified by its type and its index among the blocks of that
// type, or the file outside of blocks.
type scope struct {
	block string // type of the block; "": outside of blocks
	index int
}

var fileScope = scope{}

// inBlock returns the scope of a block that may be given once.
func inBlock(name string) scope { return scope{block: name} }

// position returns file:line:column of the value of a setting or, if the setting is missing, of its block or
// of the file.
func (v *validator) position(in scope, attribute string) string {
	location, body := v.body.SrcRange, v.body
	if in.block != "" {
		remaining := in.index
		for _, b := range v.body.Blocks {
			if b.Type != in.block {
				continue
			}
			if remaining == 0 {
				location, body = b.DefRange(), b.Body
				break
			}
			remaining--
		}
	}
	if a := body.Attributes[attribute]; a != nil {
		location = a.Expr.Range()
	}
	return fmt.Sprintf("%s:%d:%d", v.path, location.Start.Line, location.Start.Column)
}

// errorf records an error of a setting, with the setting's position.
func (v *validator) errorf(in scope, attribute, format string, args ...any) {
	v.errs = append(v.errs, fmt.Errorf("%s: %s: %s", v.position(in, attribute), attribute,
		fmt.Sprintf(format, args...)))
}

// duration parses a duration, which must not be negative. An empty or invalid value yields the default.
func (v *validator) duration(in scope, attribute, value string, defaultValue time.Duration) time.Duration {
	if value == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		v.errorf(in, attribute, "%q is no time such as \"1.5s\"", value)
		return defaultValue
	}
	return d
}

// nonNegative checks a number and returns it, or the default if the number is zero. An error has the position
// of the setting outside of blocks; for a setting of a block it has the position of the file.
func (v *validator) nonNegative(attribute string, value, defaultValue int) int {
	if value < 0 {
		v.errorf(fileScope, attribute, "%d is negative", value)
	}
	return orDefault(value, defaultValue)
}

// loopback checks that an address is on the loopback interface.
func (v *validator) loopback(in scope, attribute, addr string) {
	if err := CheckLoopback(addr); err != nil {
		v.errorf(in, attribute, "%v", err)
	}
}

// oneOf returns the choice that a value names. If there is none, the recorded error lists all names but the
// empty one.
func oneOf[T any](v *validator, in scope, attribute, value string, choices map[string]T) (choice T) {
	choice, ok := choices[value]
	if !ok {
		var names []string
		for name := range choices {
			if name != "" {
				names = append(names, name)
			}
		}
		v.errorf(in, attribute, "%q is none of %s", value,
			strings.Join(slices.Sorted(slices.Values(names)), ", "))
	}
	return choice
}

func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// diagnosticsError joins the errors of the HCL library.
func diagnosticsError(diags hcl.Diagnostics) error {
	var errs []error
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			at := "settings"
			if d.Subject != nil {
				at = fmt.Sprintf("%s:%d:%d", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
			}
			errs = append(errs, fmt.Errorf("%s: %s; %s", at, d.Summary, d.Detail))
		}
	}
	return errors.Join(errs...)
}

// CheckLoopback returns an error unless addr is host:port on the loopback interface.
func CheckLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s is not on the loopback interface; no other address is served", addr)
	}
	return nil
}
