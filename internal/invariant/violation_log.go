package invariant

import (
	"bufio"
	"os"
	"strings"
)

// violatedMessage is the message of a violation in the log.
const violatedMessage = "invariant violated"

// maxLineBytes is the longest line of a log that is read, in bytes.
const maxLineBytes = 1 << 20

// ReadViolations returns the lines of a dispatcher's log that tell of violated invariants or of a crash.
func ReadViolations(path string) (lines []string, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		line := in.Text()
		crash := strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:")
		if crash || strings.Contains(line, violatedMessage) {
			lines = append(lines, line)
		}
	}
	return lines, in.Err()
}
