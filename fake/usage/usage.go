// Package usage reports the resource usage of this process, for measurements.
package usage

import (
	"syscall"
	"time"
)

// CPUTime returns the user and system CPU time of the process so far, or 0 when it can't be read.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
