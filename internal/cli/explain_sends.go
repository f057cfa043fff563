package cli

import (
	"encoding/json"
	"fmt"
	"strings"
)

// loggedSend is one entry of send_results in a request's line.
type loggedSend struct {
	Endpoint, Result, ID, Why string
	Status, Earlier           int
	Repeated, Early           bool
}

// sendsOf returns the sends that a request's line lists.
func sendsOf(request logEntry) []loggedSend {
	raw, err := json.Marshal(request.fields["send_results"])
	var sends []loggedSend
	if err != nil || json.Unmarshal(raw, &sends) != nil {
		return nil
	}
	return sends
}

// sendsReason states what each send of a request came to, and by what that is known; empty if the line lists none.
func sendsReason(request logEntry) string {
	sends := sendsOf(request)
	if len(sends) == 0 {
		return ""
	}
	lines := []string{fmt.Sprintf("request %s at %s:", request.stringField("request"), request.stringField("instance"))}
	for _, s := range sends {
		lines = append(lines, "  "+s.String())
	}
	return strings.Join(lines, "\n")
}

// String implements fmt.Stringer.
func (s loggedSend) String() string {
	text := fmt.Sprintf("%s: %s", s.Endpoint, s.Result)
	if s.Status == 0 {
		return text + ", " + s.Why
	}
	names := map[string]string{"own": "names the request", "other": "names another request", "none": "names no request"}[s.ID]
	text += fmt.Sprintf(", status %d, %s, ", s.Status, names)
	if s.Earlier == 0 {
		text += "on a new connection"
	} else {
		text += fmt.Sprintf("on a connection that had carried %d requests", s.Earlier)
	}
	if s.Repeated {
		text += ", this one too"
	}
	if s.Early {
		text += ", before the request was written"
	}
	return text
}
