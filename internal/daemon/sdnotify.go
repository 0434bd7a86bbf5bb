package daemon

import (
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// What the service manager is notified of, by the protocol of sd_notify(3).
const (
	notifyReady     = "READY=1"
	notifyStopping  = "STOPPING=1"
	notifyReloading = "RELOADING=1"

	// notifySocketVariable is the environment variable that names the service manager's socket.
	notifySocketVariable = "NOTIFY_SOCKET"
)

// notifyServiceManager sends a notification where a service manager wants it. One that fails is logged.
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

// monotonicMicros is CLOCK_MONOTONIC in microseconds, as sd_notify(3) wants it; 0 where it cannot be read.
func monotonicMicros() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano()).Microseconds()
}
