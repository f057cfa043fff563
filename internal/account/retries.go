package account

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// RetryRow sums up the retries of one route's requests over all instances.
type RetryRow struct {
	// Requests counts all requests that were sent to an endpoint, Retries the sends after the first that were charged to the
	// fleet's retry limit.
	Requests, Retries int
	// Refused counts the requests that the limit prevented from being sent again, RefusedStarting those of them at processes
	// that had not run for a window.
	Refused, RefusedStarting int
}

// ByRetries returns the routes whose requests were sent again, or were refused that, by name.
func (l *Log) ByRetries() map[string]RetryRow {
	rows := map[string]RetryRow{}
	for _, q := range l.Requests {
		if q.Sends == 0 {
			continue
		}
		r := rows[q.Route]
		r.Requests++
		r.Retries += q.Retried
		if q.RetryLimit != "" {
			r.Refused++
		}
		if q.RetryLimit == "recent start" {
			r.RefusedStarting++
		}
		rows[q.Route] = r
	}
	maps.DeleteFunc(rows, func(_ string, r RetryRow) bool { return r.Retries+r.Refused == 0 })
	return rows
}

// writeRetries prints how often requests were sent again, and refused that.
func (l *Log) writeRetries(w io.Writer) {
	rows := l.ByRetries()
	if len(rows) == 0 {
		return
	}
	fmt.Fprintln(w, "\nsent again\trequests\tretries\trefused\tof these after a recent start\t")
	for _, route := range slices.Sorted(maps.Keys(rows)) {
		r := rows[route]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t\n", route, r.Requests, r.Retries, r.Refused, r.RefusedStarting)
	}
}
