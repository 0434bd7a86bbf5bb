package invariant

import (
	"bufio"
	"os"
	"strings"
)

// The writer and the reader of a violation's log line are in one file and share one message: rehearsals and
// the soak find violations only by ReadViolations, and would miss a line that it does not recognize.

// violationMessage is the message in the log line of a violation.
const violationMessage = "invariant violated"

// crashPrefixes begin the lines that the Go runtime writes when the process crashes.
var crashPrefixes = []string{"panic:", "fatal error:"}

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

// logViolation logs a violation in a line that ReadViolations finds.
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
	defer func() { _ = file.Close() }() // only read, so an error does not matter
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
