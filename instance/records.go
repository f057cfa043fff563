package instance

import (
	"context"
	"time"

	"github.com/sardinedock/sardinedock/platform"
	"github.com/sardinedock/sardinedock/record"
	"github.com/sardinedock/sardinedock/schema/recordspb"
)

func (i *Instance) provisionStore() {
	p := i.settings.GetPlatform()
	i.store = platform.NewClient(platform.Config{
		Address:  p.GetAddress(),
		Instance: i.settings.GetInstance(),
		Timeout:  time.Duration(p.GetTimeoutMs()) * time.Millisecond,
		Fleet:    platform.Rates{Reads: float64(p.GetReadsPerSecond()), Writes: float64(p.GetWritesPerSecond())},
	})
}

// startRecords puts the operators' records in force.
func (i *Instance) startRecords(ctx context.Context) error {
	snapshot, err := loadRecords(ctx, i.store)
	if err != nil {
		return err
	}
	i.entry.SetRecords(snapshot)
	return nil
}

func loadRecords(ctx context.Context, store *platform.Client) (*record.Snapshot, error) {
	var records []*recordspb.Record
	var version platform.Version
	for _, kind := range record.Kinds {
		listing, err := store.List(ctx, string(kind))
		if err != nil {
			return nil, err
		}
		version = max(version, listing.Version)
		for _, obj := range listing.Objects {
			if r, err := record.Unmarshal(obj.Value); err == nil {
				records = append(records, r)
			}
		}
	}
	return record.NewSnapshot(uint64(version), records), nil
}
