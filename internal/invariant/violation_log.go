package invariant

import (
	"bufio"
	"os"
	"strings"
)

// The writer and the reader of a violation's log line stand side by side, on one message: rehearsals and the
// soak find violations by ReadViolations alone, so a line that it does not know would pass unseen.

// violationMessage is the message of a violation's log line.
const violationMessage = "invariant violated"

// crashPrefixes begin the lines that the Go runtime writes when the process crashes.
var crashPrefixes = []string{"panic:", "fatal error:"}

// maxLineBytes is the longest line of a log that can be read.
const maxLineBytes = 1 << 20

// logViolation logs a violation, for ReadViolations to find.
func (c *Counter) logViolation(result Result, requestID string) {
	c.log.Error(violationMessage, "invariant", string(result.Name), "request", requestID,
		"detail", result.Detail)
}

// ReadViolations returns the lines of a dispatcher's log that report a violated invariant or a crash.
func ReadViolations(path string) (lines []string, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read: nothing is lost
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line := scanner.Text(); reportsViolation(line) {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func reportsViolation(line string) bool {
	for _, prefix := range crashPrefixes {
		if strings.HasPrefix(line, prefix) {
			return true
		}
	}
	return strings.Contains(line, violationMessage)
}
