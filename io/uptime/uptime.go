// Package uptime reads the machine's monotonic clock. It is shared by all processes until the next
// boot and is not affected by changes of the wall clock.
package uptime

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile contains an id that the kernel generates at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Now returns the time on the machine's monotonic clock. It is measured from an arbitrary point that is
// fixed until the next boot.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(fmt.Sprintf("read monotonic clock: %v", err)) // CLOCK_MONOTONIC exists on every Linux kernel
	}
	return time.Duration(t.Nano())
}

// BootID returns the id of the machine's current boot.
func BootID() (string, error) {
	id, err := os.ReadFile(bootIDFile)
	if err != nil {
		return "", fmt.Errorf("read boot id: %w", err)
	}
	return strings.TrimSpace(string(id)), nil
}
