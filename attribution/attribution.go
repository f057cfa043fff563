// Package attribution decides what a response on a connection says about the send that it was read for. It does no I/O.
//
// An endpoint may write an extra response late, where the response to the next request on the connection is due. Taken for
// a rejection of that request, it would have the request sent again, or its caller told that it has not run.
package attribution

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// maxRequests bounds the requests that one connection carries, and with them the size of a History.
const maxRequests = 512

// History is what was sent on one connection. Its zero value is that of a new connection. It is not safe for concurrent
// use.
type History struct {
	// ids are hashes of the IDs of the requests, for those that have one.
	ids []uint64
	// requests counts all.
	requests int
}

// Add records that a request is sent. id is empty for a request without one.
func (h *History) Add(id string) {
	h.requests++
	if id != "" {
		h.ids = append(h.ids, xxh3.HashString(id))
	}
}

// Carried reports whether a request with this ID was sent before.
func (h *History) Carried(id string) bool {
	return id != "" && slices.Contains(h.ids, xxh3.HashString(id))
}

// Requests returns the number of requests that were sent.
func (h *History) Requests() int { return h.requests }

// Circumstances returns those of a send of the request with the given ID that is not added yet.
func (h *History) Circumstances(id string) Circumstances {
	return Circumstances{Earlier: h.Requests(), Repeated: h.Carried(id)}
}

// Full reports whether the connection must not carry further requests.
func (h *History) Full() bool { return h.requests >= maxRequests }

// Circumstances are those under which a response was read for a send.
type Circumstances struct {
	// Earlier is the number of requests that were sent on the connection before.
	Earlier int
	// Repeated is set if the same request was one of them.
	Repeated bool
	// Early is set if the response began before the request was written to its end.
	Early bool
}

// Response is what the head of a response states.
type Response struct {
	// ID of the request that it answers; empty if it names none.
	ID string
	// Signed is set if the endpoint has signed it, NotRun if it states that the request was not run.
	Signed, NotRun bool
}

// Verdict is what a response says about a send.
type Verdict int

// The verdicts.
const (
	// OtherRequest: the response names another request and says nothing about this one.
	OtherRequest Verdict = iota
	// Result: the endpoint has run the request.
	Result
	// NotRun: the endpoint has not run the request and will not.
	NotRun
	// Ambiguous: the response may belong to something else; the request may have run or may still do so.
	Ambiguous
)

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return [...]string{"other request", "result", "not run", "ambiguous"}[v]
}

// Judge returns what a response says about the send of the request with the given ID.
//
// A rejection that names the request may be an extra copy for an earlier send of it on the same connection, and one that
// names none may belong to anything that the connection has carried. A response that names none and began before the request
// was written whole may have been caused by something else.
func Judge(id string, r Response, c Circumstances) Verdict {
	named := r.ID != ""
	switch {
	case named && r.ID != id, !named && r.Signed:
		return OtherRequest
	case !r.NotRun && named && r.Signed:
		return Result
	case !r.NotRun:
		return Ambiguous
	case named && !c.Repeated, !named && c.Earlier == 0 && !c.Early:
		return NotRun
	}
	return Ambiguous
}
