package daemon

import (
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// The messages to the service manager, in the protocol of sd_notify(3).
const (
	notifyReady     = "READY=1"
	notifyStopping  = "STOPPING=1"
	notifyReloading = "RELOADING=1"

	// notifySocketVariable is the environment variable that names the service manager's socket.
	notifySocketVariable = "NOTIFY_SOCKET"
)

// notifyServiceManager sends a message to the service manager, if the environment names its socket. A failure
// is logged.
func (d *daemon) notifyServiceManager(text string) {
	path := os.Getenv(notifySocketVariable)
	if path == "" {
		return
	}
	if err := sendNotification(path, text); err != nil {
		d.logger.Warn("service manager not notified", "error", err)
	}
}

func sendNotification(path, text string) error {
	if path[0] == '@' { // a socket in the abstract namespace
		path = "\x00" + path[1:]
	}
	c, err := net.DialUnix("unixgram", nil, &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = c.Write([]byte(text))
	return err
}

// monotonicMicros returns CLOCK_MONOTONIC in microseconds, the unit that sd_notify(3) prescribes for
// MONOTONIC_USEC, or 0 if the clock cannot be read.
func monotonicMicros() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano()).Microseconds()
}
