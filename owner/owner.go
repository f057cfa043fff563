// Package owner is the state of the endpoints that an instance owns: what runs
// on each, who waits for it, and what its cache holds. The state machines take
// events and the time and return decisions; they do no I/O and start no
// goroutine. One goroutine may use a Book and its endpoints.
package owner

import "github.com/sardinedock/sardinedock/rendezvous"

// Of returns the owner of an endpoint among the members, by rendezvous hashing
// of the names alone, so that instances agree as soon as their lists do. Two
// owners of one endpoint, or none, cost accuracy and nothing else. Without
// members it returns an empty string.
func Of(endpoint string, members []string) string { return rendezvous.First(endpoint, members) }
