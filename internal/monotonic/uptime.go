package monotonic

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDPath is a file with an identity of the machine's present boot (source: random(4)).
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Uptime is a reading of the machine's time since it was booted. Two readings of one boot tell how much time has passed
// between them, also between two runs of the program, whatever the wall clock did meanwhile.
type Uptime struct {
	BootID  string        // empty: unknown
	Elapsed time.Duration // since the boot, with the time during which the machine was suspended
}

// ReadUptime reads the present uptime. Where the machine does not tell it, its BootID is empty.
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

// Since returns the time since an earlier reading, and whether both are of one boot.
func (u Uptime) Since(earlier Uptime) (elapsed time.Duration, sameBoot bool) {
	sameBoot = u.BootID != "" && u.BootID == earlier.BootID && u.Elapsed >= earlier.Elapsed
	if !sameBoot {
		return 0, false
	}
	return u.Elapsed - earlier.Elapsed, true
}
