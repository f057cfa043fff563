// Package owner is the state machine of the endpoints that an instance owns: the requests
// running on each, the requests queued for it, and a model of its prefix cache. Methods
// take events and the current time and return decisions; they do no I/O and start no
// goroutines. A Registry and its endpoints must be used by one goroutine only.
package owner

import "github.com/sardinedock/sardinedock/rendezvous"

// Of returns the member that owns an endpoint, or an empty string if there are no members.
// It uses rendezvous hashing of the names alone, so instances agree as soon as their member
// lists do. While lists differ, an endpoint may have two owners or none; that makes
// placement less accurate but is otherwise harmless.
func Of(endpoint string, members []string) string { return rendezvous.First(endpoint, members) }
