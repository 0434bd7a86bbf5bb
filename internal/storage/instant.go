package storage

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDPath names the machine's present boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Instant is a moment that can be compared across restarts of a process. The wall clock may step between two
// incarnations; the time since the machine's boot does not, and is comparable as long as the boot is the
// same.
type Instant struct {
	Wall      time.Time
	BootID    string        // names the machine's boot; "": not known
	SinceBoot time.Duration // meaningless without BootID
}

// Now returns the present moment.
func Now() Instant {
	now := Instant{Wall: time.Now()}
	bootID, err := os.ReadFile(bootIDPath)
	var sinceBoot unix.Timespec
	if err == nil && unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) == nil {
		now.BootID, now.SinceBoot = strings.TrimSpace(string(bootID)), time.Duration(sinceBoot.Nano())
	}
	return now
}

// Sub returns the time from then to now, at least zero. Where the machine was booted between the two, or the
// clock says that then lies ahead, the time is not known and counts as zero: what is remembered for a window
// is then remembered for the whole of it.
func (now Instant) Sub(then Instant) time.Duration {
	switch {
	case now.BootID != then.BootID:
		return 0
	case now.BootID != "":
		return max(now.SinceBoot-then.SinceBoot, 0)
	}
	return max(now.Wall.Sub(then.Wall), 0)
}
