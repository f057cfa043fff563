// Package crowd tests the program against crowds of clients that stay outside the limits for callers, or use them up: it starts
// the program's own processes on loopback addresses and checks their memory, their descriptors and an ordinary caller.
package crowd
