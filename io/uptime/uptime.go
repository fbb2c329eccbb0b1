// Package uptime reads the machine's clock, which every process that starts until the next
// boot reads alike, and which no setting of the time of day changes.
package uptime

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile holds an id that the kernel makes anew at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Now returns the time on the machine's clock. It is counted from an arbitrary point that
// lasts until the next boot.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(fmt.Sprintf("read the machine's clock: %v", err)) // every Linux kernel has this clock
	}
	return time.Duration(t.Nano())
}

// Boot returns the id of the machine's present boot.
func Boot() (string, error) {
	id, err := os.ReadFile(bootIDFile)
	if err != nil {
		return "", fmt.Errorf("read the id of the boot: %w", err)
	}
	return strings.TrimSpace(string(id)), nil
}
