package platform

import (
	"math"
	"strconv"
	"strings"
)

// loadReportAliases are the names of a load report's values on the sockets, with those that the settings
// have.
var loadReportAliases = map[string]string{"inflight": "concurrent", "queue": "depth", "util": "load_share",
	"latency_ms": "mean_ms", "qps": "tps", "eps": "err_ps"}

// parseLoadReport reads a load report (name:value, set apart by semicolons) into the settings' order.
func parseLoadReport(text string, fields []string) ([]float64, bool) {
	if text == "" || len(fields) == 0 {
		return nil, false
	}
	values := make([]float64, len(fields))
	found := 0
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		name = strings.TrimSpace(name)
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil, false
		}
		for i, f := range fields {
			if f == name || f == loadReportAliases[name] {
				values[i] = v
				found++
			}
		}
	}
	return values, found == len(fields)
}
