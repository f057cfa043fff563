package hosted

import (
	"math"
	"syscall"

	"github.com/sardinedock/sardinedock/schema/settingspb"
)

const (
	// callersShare and forwardedShare are the shares of the process's descriptors that connections of callers and of other instances
	// may use. The rest is for endpoints, the store, readiness, metrics and files.
	callersShare   = 0.5
	forwardedShare = 0.1
)

// maxDescriptors returns how many descriptors the process may have open; 0 if that is not known.
func maxDescriptors(s *settingspb.Hosted) int {
	stated := int(s.GetMaxDescriptors())
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return stated
	}
	if stated > 0 {
		return min(stated, int(limit.Cur))
	}
	return int(limit.Cur)
}

// shareOf returns a share of the descriptors, and 0, for no bound, if their number is not known.
func shareOf(descriptors int, share float64) int { return int(float64(descriptors) * share) }
