package record

import "time"

// Condition is the state of one record at this instance: which version is in force
// and why the newest is not.
type Condition struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// InForce is the store version in force, or 0 if none is.
	InForce uint64    `json:"in_force"`
	Since   time.Time `json:"since"`
	// Newest is the highest store version received.
	Newest uint64 `json:"newest"`
	// Refused is the reason why the newest version is not in force, if it is not.
	Refused string `json:"refused,omitempty"`
	// Warnings are faults for which the record was not refused.
	Warnings []string `json:"warnings,omitempty"`
}

// Conditions returns the condition of each existing record, sorted by kind and
// name.
func (k *Registry) Conditions() []Condition {
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

// findWarnings returns the warnings about the snapshot in force. They are cached for
// each snapshot, because lease holders call Conditions every few seconds.
func (k *Registry) findWarnings() map[entryKey][]string {
	if k.warnedSnapshot == k.snapshot {
		return k.warnings
	}
	k.warnedSnapshot, k.warnings = k.snapshot, map[entryKey][]string{}
	endpointCounts := countEndpointNames(k.snapshot)
	for key, e := range k.entries {
		if e.record == nil {
			continue
		}
		if list := warnings(k.snapshot, endpointCounts, key.kind, key.name); len(list) > 0 {
			k.warnings[key] = list
		}
	}
	return k.warnings
}

// RegistryDump is the Registry's part of the state dump.
type RegistryDump struct {
	Complete bool        `json:"complete"`
	Version  uint64      `json:"version"`
	Records  []Condition `json:"records"`
}

// Dump returns the registry's state.
func (k *Registry) Dump() RegistryDump {
	return RegistryDump{Complete: k.Complete(), Version: k.Version(), Records: k.Conditions()}
}
