package server

import (
	"bytes"
	"strconv"
)

// parseOpenFileLimit finds the soft limit of open files in a process's list of limits (proc(5)); 0: none is
// told.
func parseOpenFileLimit(limits []byte) int {
	for _, line := range bytes.Split(limits, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("Max open files")); ok {
			if f := bytes.Fields(rest); len(f) > 0 {
				n, _ := strconv.Atoi(string(f[0]))
				return n
			}
		}
	}
	return 0
}
