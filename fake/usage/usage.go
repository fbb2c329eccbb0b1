// Package usage tells what this process has used of the machine, for measurements.
package usage

import (
	"syscall"
	"time"
)

// ProcessorTime returns the processor time that the process has used so far.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
