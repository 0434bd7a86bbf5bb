package platform

import "testing"

// TestLoadReport: values are read by the names that compute nodes give them, into the order of the
// settings; one that is no number makes the report invalid.
func TestLoadReport(t *testing.T) {
	v, ok := parseLoadReport("util:0.61;queue:3", []string{"load_share", "depth"})
	if !ok || v[0] != 0.61 || v[1] != 3 {
		t.Errorf("load report: %v, %v", v, ok)
	}
	if _, ok := parseLoadReport("util:NaN;queue:3", []string{"load_share", "depth"}); ok {
		t.Error("a report that is no number was accepted")
	}
}
