// Package status writes status objects for operators, one for each pool and one for the fleet.
// They show which records are in force, which are not and why, the state of endpoints and
// rollouts, and the decisions that the system made.
package status

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/rollout"
)

// Kind is the kind of the status objects.
const Kind = "status"

// FleetName is the name of the object for everything that belongs to no pool.
const FleetName = "fleet"

// PoolName returns the name of a pool's object.
func PoolName(pool string) string { return "pool." + pool }

const (
	// maxRecords bounds the records listed in an object, so that it stays far below the size
	// limit of a value. Faulty ones are listed first.
	maxRecords = 200
	// maxDecisions bounds the decisions in an object.
	maxDecisions = 50
	// maxInstances bounds the instances listed as behind.
	maxInstances = 50
)

// Object is the content of a status object, encoded as JSON.
type Object struct {
	// WrittenBy and WrittenAt are the name of the instance that wrote the object and the time by
	// its clock.
	WrittenBy string    `json:"written_by"`
	WrittenAt time.Time `json:"written_at"`
	// Version is the highest version of a record known to the writer.
	Version uint64 `json:"version"`
	// Records are in force, refused or faulty. Omitted counts further records without a fault.
	Records []record.Condition `json:"records"`
	Omitted int                `json:"omitted,omitempty"`
	// Behind are the instances whose version is below Version.
	Behind []Instance `json:"behind,omitempty"`
	// Instances is the number of live instances.
	Instances int `json:"instances"`
	// Endpoints are those that are not live.
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	// Rollout is nil in the fleet's object.
	Rollout *rollout.Progress `json:"rollout,omitempty"`
	// Decisions are in order of time, the newest last.
	Decisions []Decision `json:"decisions,omitempty"`
}

// Instance is an instance and the version of the records in force there.
type Instance struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Endpoint is an endpoint, its status and the reason for it.
type Endpoint struct {
	Name   string `json:"name"`
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

// Decision is an automatic decision of the system.
type Decision struct {
	At   time.Time `json:"at"`
	Text string    `json:"text"`
}

// SetRecords sets Records and Omitted: all records that are refused or have warnings, and the
// newest of the others, up to maxRecords.
func (o *Object) SetRecords(list []record.Condition) {
	sort.SliceStable(list, func(i, j int) bool {
		a, b := faulty(list[i]), faulty(list[j])
		if a != b {
			return a
		}
		return list[i].Newest > list[j].Newest
	})
	kept := min(len(list), maxRecords)
	o.Records, o.Omitted = list[:kept], len(list)-kept
}

func faulty(c record.Condition) bool { return c.Refused != "" || len(c.Warnings) > 0 }

// SetInstances sets Instances and Behind from the live instances. Version has to be set before.
func (o *Object) SetInstances(list []Instance) {
	o.Instances = len(list)
	for _, i := range list {
		if i.Version < o.Version && len(o.Behind) < maxInstances {
			o.Behind = append(o.Behind, i)
		}
	}
}

// same reports whether the objects differ only in what is not worth a write: the time and the
// decisions.
func (o Object) same(other Object) bool {
	return o.comparable() == other.comparable()
}

func (o Object) comparable() string {
	o.WrittenAt, o.Decisions = time.Time{}, nil
	if o.Rollout != nil {
		p := *o.Rollout
		p.At = time.Time{}
		o.Rollout = &p
	}
	text, _ := json.Marshal(o)
	return string(text)
}

// Read reads the status objects from the object API, the fleet's first.
func Read(ctx context.Context, store objectapi.Store) ([]Named, error) {
	listing, err := store.List(ctx, Kind)
	if err != nil {
		return nil, err
	}
	list := make([]Named, 0, len(listing.Objects))
	for _, obj := range listing.Objects {
		n := Named{Name: obj.Name}
		if err := json.Unmarshal(obj.Value, &n.Object); err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "remove the object; it is written again", "status object %q", obj.Name)
		}
		list = append(list, n)
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Name == FleetName && list[j].Name != FleetName })
	return list, nil
}

// Named is a status object with its name.
type Named struct {
	Name   string `json:"name"`
	Object Object `json:"status"`
}

// WriteText writes the object as text for operators. now is the reader's time.
func (n Named) WriteText(w io.Writer, now time.Time) error {
	var b strings.Builder
	o := n.Object
	fmt.Fprintf(&b, "%s: records up to version %d, %d instances; told by %s %s\n", n.Name, o.Version, o.Instances, o.WrittenBy, ago(now, o.WrittenAt))
	for _, c := range o.Records {
		writeRecord(&b, now, c)
	}
	if o.Omitted > 0 {
		fmt.Fprintf(&b, "  and %d more records in force without a fault\n", o.Omitted)
	}
	for _, i := range o.Behind {
		fmt.Fprintf(&b, "  instance %s is at version %d\n", i.Name, i.Version)
	}
	for _, e := range o.Endpoints {
		fmt.Fprintf(&b, "  endpoint %s: %s; %s\n", e.Name, e.Status, e.Reason)
	}
	if o.Rollout != nil {
		writeRollout(&b, now, *o.Rollout)
	}
	for _, d := range o.Decisions {
		fmt.Fprintf(&b, "  %s: %s\n", ago(now, d.At), d.Text)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeRecord(b *strings.Builder, now time.Time, c record.Condition) {
	fmt.Fprintf(b, "  %s/%s: ", c.Kind, c.Name)
	if c.InForce == 0 {
		b.WriteString("not in force")
	} else {
		fmt.Fprintf(b, "version %d in force since %s", c.InForce, ago(now, c.Since))
	}
	if c.Refused != "" {
		fmt.Fprintf(b, "; version %d refused: %s", c.Newest, c.Refused)
	}
	for _, text := range c.Warnings {
		fmt.Fprintf(b, "; warning: %s", text)
	}
	b.WriteString("\n")
}

func writeRollout(b *strings.Builder, now time.Time, p rollout.Progress) {
	fmt.Fprintf(b, "  rollout of %s: %d of %d endpoints have it", strings.Join(p.Wanted, ", "), p.Converged, p.Endpoints)
	if len(p.Behind) > 0 {
		fmt.Fprintf(b, "; %d load, %d do not answer; behind since %s: %s", p.Loading, p.Unanswered, ago(now, p.Since), strings.Join(p.Behind, ", "))
	}
	if p.Refused != "" {
		fmt.Fprintf(b, "; %s", p.Refused)
	}
	b.WriteString("\n")
}

// ago formats a time relative to the reader's clock, which may differ from the writer's.
func ago(now, at time.Time) string {
	if at.IsZero() {
		return "an unknown time"
	}
	return max(now.Sub(at), 0).Round(time.Second).String() + " ago"
}
