package account

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// QuotaRow sums up the requests of one organisation that has been refused by its quota.
type QuotaRow struct {
	Organisation string
	// Requests counts all requests of the organisation, Refused those that its quota refused; Booked of
	// these were given a time to come back, Final that there is no room in the time they have left.
	Requests, Refused, Booked, Final int
	// Cost is the cost of the refused requests, Price the sum of the prices in force when they were refused.
	Cost  int64
	Price float64
	// LatestBooking is the longest time that a caller was given.
	LatestBooking time.Duration
}

// ByQuota returns the organisations whose quotas have refused requests, the most refused first.
func (l *Log) ByQuota(o Options) []QuotaRow {
	rows := map[string]*QuotaRow{}
	for _, q := range l.Requests {
		r := rows[q.Organisation]
		if r == nil {
			r = &QuotaRow{Organisation: q.Organisation}
			rows[q.Organisation] = r
		}
		r.Requests++
		if q.reason(o.Slow) != OverQuota {
			continue
		}
		r.Refused++
		r.Cost += q.Cost
		r.Price += q.Price
		r.LatestBooking = max(r.LatestBooking, q.Booked)
		switch {
		case q.Final:
			r.Final++
		case q.Booked > 0:
			r.Booked++
		}
	}
	var list []QuotaRow
	for _, r := range rows {
		if r.Refused > 0 {
			list = append(list, *r)
		}
	}
	slices.SortFunc(list, func(a, b QuotaRow) int { return b.Refused - a.Refused })
	return list
}

// writeQuotas prints why organisations were refused by their quotas, and when they could come back.
func (l *Log) writeQuotas(w io.Writer, o Options) {
	list := l.ByQuota(o)
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(w, "\nover its quota\trequests\trefused\tbooked\tfinal\tlatest booking s\tmean cost\tmean price\t")
	for _, r := range list {
		n := float64(r.Refused)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.0f\t%.0f\t\n", r.Organisation, r.Requests, r.Refused, r.Booked, r.Final,
			r.LatestBooking.Seconds(), float64(r.Cost)/n, r.Price/n)
	}
}
