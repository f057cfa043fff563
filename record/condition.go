package record

import "time"

// Condition says of one record what is in force here and what is not.
type Condition struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// InForce is the store version in force; 0 if the record is not.
	InForce uint64    `json:"in_force"`
	Since   time.Time `json:"since"`
	// Newest is the highest store version that was heard of.
	Newest uint64 `json:"newest"`
	// Refused says why the newest is not in force.
	Refused string `json:"refused,omitempty"`
	// Warnings are faults that did not keep the record from being in force.
	Warnings []string `json:"warnings,omitempty"`
}

// Conditions returns the condition of each record that exists, in order of
// kind and name.
func (k *Keeper) Conditions() []Condition {
	k.mu.Lock()
	defer k.mu.Unlock()
	found := k.findWarnings()
	list := make([]Condition, 0, len(k.entries))
	for _, key := range k.sortedKeys() {
		e := k.entries[key]
		if e.newest.Deleted {
			continue
		}
		c := Condition{Kind: key.kind, Name: key.name, Since: e.since, Newest: e.newest.Version, Refused: e.refused}
		if e.record != nil && k.snapshot != nil {
			c.InForce = e.accepted.Version
			c.Warnings = found[key]
		}
		list = append(list, c)
	}
	return list
}

// findWarnings returns the warnings of the snapshot in force. They are found
// once for each snapshot: the holders of leases ask every few seconds.
func (k *Keeper) findWarnings() map[entryKey][]string {
	if k.warned == k.snapshot {
		return k.warnings
	}
	k.warned, k.warnings = k.snapshot, map[entryKey][]string{}
	named := endpointNames(k.snapshot)
	for key, e := range k.entries {
		if e.record == nil {
			continue
		}
		if list := warnings(k.snapshot, named, key.kind, key.name); len(list) > 0 {
			k.warnings[key] = list
		}
	}
	return k.warnings
}

// KeeperDump is the keeper's part of the state dump.
type KeeperDump struct {
	Complete bool        `json:"complete"`
	Version  uint64      `json:"version"`
	Records  []Condition `json:"records"`
}

// Dump returns the keeper's state.
func (k *Keeper) Dump() KeeperDump {
	return KeeperDump{Complete: k.Complete(), Version: k.Version(), Records: k.Conditions()}
}
