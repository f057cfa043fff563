package hosted

const (
	// callersShare and forwardedShare are the shares of the process's descriptors that connections of callers and of other instances
	// may use. The rest is for endpoints, the store, readiness, metrics and files.
	callersShare   = 0.5
	forwardedShare = 0.1
	// defaultDescriptors is the number of descriptors if none is stated.
	defaultDescriptors = 4096
)

// shareOf returns a share of the descriptors.
func shareOf(descriptors int, share float64) int { return int(float64(descriptors) * share) }
