//go:build !linux

package hosted

import "testing"

// ownPorts is only implemented on Linux.
type ownPorts struct{}

func listeningPorts(testing.TB) ownPorts { return ownPorts{} }

func (ownPorts) kernelBytes(testing.TB) uint64 { return 0 }
