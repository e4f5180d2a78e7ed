package monotonic

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDPath is a file with a unique ID of the machine's current boot (source: random(4)).
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Uptime is a reading of the time since the machine was booted. The difference of two readings of the same boot is the time
// between them, even across a restart of the program and steps of the wall clock.
type Uptime struct {
	BootID  string        // empty: unknown
	Elapsed time.Duration // since the boot, including the time for which the machine was suspended
}

// ReadUptime reads the current uptime. If the system does not provide it, BootID is empty.
func ReadUptime() Uptime {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return Uptime{}
	}
	var elapsed unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &elapsed); err != nil {
		return Uptime{}
	}
	return Uptime{BootID: strings.TrimSpace(string(id)), Elapsed: time.Duration(elapsed.Nano())}
}

// Since returns the time since an earlier reading, and whether both readings are from the same boot. It returns 0 and false if
// they are not, if either boot is unknown, or if earlier has the longer uptime.
func (u Uptime) Since(earlier Uptime) (elapsed time.Duration, sameBoot bool) {
	sameBoot = u.BootID != "" && u.BootID == earlier.BootID && u.Elapsed >= earlier.Elapsed
	if !sameBoot {
		return 0, false
	}
	return u.Elapsed - earlier.Elapsed, true
}
