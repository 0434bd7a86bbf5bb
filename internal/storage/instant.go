package storage

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDPath is the file with the ID of the machine's current boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Instant is a point in time that can be compared across restarts of a process. The wall clock may step
// between two incarnations. The time since the machine's boot does not step, and is comparable as long as the
// machine was not rebooted.
type Instant struct {
	Wall      time.Time
	BootID    string        // ID of the machine's boot; "": not known
	SinceBoot time.Duration // valid if BootID is known
}

// Now returns the current time. BootID is empty if it or the time since boot cannot be read.
func Now() Instant {
	now := Instant{Wall: time.Now()}
	bootID, err := os.ReadFile(bootIDPath)
	var sinceBoot unix.Timespec
	if err == nil && unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) == nil {
		now.BootID, now.SinceBoot = strings.TrimSpace(string(bootID)), time.Duration(sinceBoot.Nano())
	}
	return now
}

// Sub returns the time from then to now, at least zero. The time counts as zero if it is not known: if the
// machine was rebooted in between, if only one of the boot IDs is known, or if then is in the future by the
// clock. A record that is kept for a window is then kept for a whole window from now on.
func (now Instant) Sub(then Instant) time.Duration {
	switch {
	case now.BootID != then.BootID:
		return 0
	case now.BootID != "":
		return max(now.SinceBoot-then.SinceBoot, 0)
	}
	return max(now.Wall.Sub(then.Wall), 0)
}
