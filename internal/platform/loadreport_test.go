package platform

import "testing"

// TestLoadReport checks that values are read by the names that compute nodes use and returned in the order of
// the settings, and that a value which is not a number makes the report invalid.
func TestLoadReport(t *testing.T) {
	v, ok := parseLoadReport("util:0.61;queue:3", []string{"load_share", "depth"})
	if !ok || v[0] != 0.61 || v[1] != 3 {
		t.Errorf("load report: %v, %v", v, ok)
	}
	if _, ok := parseLoadReport("util:NaN;queue:3", []string{"load_share", "depth"}); ok {
		t.Error("a report with a value that is not a number was accepted")
	}
}
