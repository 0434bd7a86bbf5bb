package daemon

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
)

const (
	pidFileMode      = 0o644
	pidDirectoryMode = 0o755
)

func pidFileContent() string { return strconv.Itoa(os.Getpid()) + "\n" }

// writePIDFile replaces the PID file atomically: a reader never sees a partial file.
func writePIDFile(path string) error {
	temporary := path + ".new"
	if err := os.MkdirAll(filepath.Dir(path), pidDirectoryMode); err != nil {
		return err
	}
	if err := os.WriteFile(temporary, []byte(pidFileContent()), pidFileMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// removePIDFile removes the PID file if it still holds the ID of this process. After a handover it holds the
// ID of the successor.
func (d *daemon) removePIDFile(path string) {
	b, err := os.ReadFile(path)
	if err != nil || string(b) != pidFileContent() {
		return
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		d.logger.Warn("PID file not removed", "path", path, "error", err)
	}
}
