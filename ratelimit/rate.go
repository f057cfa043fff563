// Package ratelimit decides, from the rate limits that overloaded endpoints advertise in their
// responses, which requests stay within them over the whole fleet. It does no I/O and takes the
// time as an argument.
package ratelimit

import (
	"math"
	"strconv"
	"strings"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/selfreport"
)

// Rate is the rate limit of an endpoint for all instances together. The zero value is
// unlimited.
type Rate struct {
	Limited bool `json:"limited"`
	// PerSecond is in requests per second.
	PerSecond float64 `json:"per_second"`
}

// String implements fmt.Stringer.
func (r Rate) String() string {
	if !r.Limited {
		return "none"
	}
	return strconv.FormatFloat(r.PerSecond, 'g', -1, 64)
}

// ParseRate parses a decimal number of requests per second; 0 means that the endpoint takes
// none. The error is of kind fault.Broken.
func ParseRate(text string) (Rate, error) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Rate{}, fault.New(fault.Broken, "look at the endpoint's settings", "%.40q is no number of requests a second", text)
	}
	return Rate{Limited: true, PerSecond: perSecond}, nil
}

// Statement is the rate limit that an endpoint advertised in one response.
type Statement = selfreport.Statement[Rate]

// Change is the effect of a statement on an endpoint's limit.
type Change = selfreport.Change[Rate]

// stricter reports whether a limit is lower than another one.
func stricter(a, b Rate) bool {
	return a.Limited && (!b.Limited || a.PerSecond < b.PerSecond)
}
