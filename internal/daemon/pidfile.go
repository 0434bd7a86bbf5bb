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

// writePIDFile writes the file whole or not at all.
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

// removePIDFile removes the file where it is still ours: a successor has written its own.
func (d *daemon) removePIDFile(path string) {
	b, err := os.ReadFile(path)
	if err != nil || string(b) != pidFileContent() {
		return
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		d.logger.Warn("PID file not removed", "path", path, "error", err)
	}
}
