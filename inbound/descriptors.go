package inbound

import (
	"math"
	"syscall"
)

// MaxDescriptors returns how many descriptors the process may have open: the stated number, or its own limit if that is lower or none is
// stated. 0 means that neither is known.
func MaxDescriptors(stated int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return stated
	}
	if stated > 0 {
		return min(stated, int(limit.Cur))
	}
	return int(limit.Cur)
}
