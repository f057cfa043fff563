// Package soak holds a randomized run of the real program: several instances as
// separate processes, stand-ins for the platform's store and for endpoints, and
// callers that check what they are promised. Faults come from outside the
// processes: signals, and links that delay, cut, silence and reset connections.
//
//	go test ./soak                                     the seeds of testdata/seeds.txt
//	go test ./soak -run Soak -seeds 50 -seed 1000      fifty seeds from 1000 on
//	go test ./soak -run Soak -seed 17 -seeds 1 -keep   one seed; its logs are kept
package soak
