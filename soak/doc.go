// Package soak is a randomised fault-injection test of the real program: several instances as
// separate processes, emulated endpoints and platform store, and callers that check the
// guarantees they are given. Faults are injected from outside the processes: by signals, and by
// proxies ("links") that delay, cut, blackhole and reset connections.
//
//	go test ./soak                                     the seeds of testdata/seeds.txt
//	go test ./soak -run Soak -seeds 50 -seed 1000      fifty seeds, starting with 1000
//	go test ./soak -run Soak -seed 17 -seeds 1 -keep   one seed; its logs are kept
package soak
