package platform

import (
	"math"
	"strconv"
	"strings"
)

// loadReportAliases maps the names of values in load reports to their names in the settings.
var loadReportAliases = map[string]string{"inflight": "concurrent", "queue": "depth", "util": "load_share",
	"latency_ms": "mean_ms", "qps": "tps", "eps": "err_ps"}

// parseLoadReport parses a load report (name:value pairs, separated by semicolons) and returns its values in
// the order of fields. It returns false if a field is missing or a value is not a finite number.
func parseLoadReport(text string, fields []string) ([]float64, bool) {
	if text == "" || len(fields) == 0 {
		return nil, false
	}
	values := make([]float64, len(fields))
	found := 0
	for part := range strings.SplitSeq(text, ";") {
		name, number, _ := strings.Cut(part, ":")
		name = strings.TrimSpace(name)
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
			return nil, false
		}
		for i, field := range fields {
			if field == name || field == loadReportAliases[name] {
				values[i] = value
				found++
			}
		}
	}
	return values, found == len(fields)
}
