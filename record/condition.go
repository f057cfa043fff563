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
func (reg *Registry) Conditions() []Condition {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	found := reg.findWarnings()
	list := make([]Condition, 0, len(reg.entries))
	for _, key := range reg.sortedKeys() {
		e := reg.entries[key]
		if e.newest.Deleted {
			continue
		}
		c := Condition{Kind: key.kind, Name: key.name, Since: e.since, Newest: e.newest.Version, Refused: e.refused}
		if e.record != nil && reg.snapshot != nil {
			c.InForce = e.accepted.Version
			c.Warnings = found[key]
		}
		list = append(list, c)
	}
	return list
}

// findWarnings returns the warnings about the snapshot in force. They are cached for
// each snapshot, because lease holders call Conditions every few seconds.
func (reg *Registry) findWarnings() map[entryKey][]string {
	if reg.warnedSnapshot == reg.snapshot {
		return reg.warnings
	}
	reg.warnedSnapshot, reg.warnings = reg.snapshot, map[entryKey][]string{}
	endpointCounts := countEndpointNames(reg.snapshot)
	for key, e := range reg.entries {
		if e.record == nil {
			continue
		}
		if list := warnings(reg.snapshot, endpointCounts, key.kind, key.name); len(list) > 0 {
			reg.warnings[key] = list
		}
	}
	return reg.warnings
}

// RegistryDump is the Registry's part of the state dump.
type RegistryDump struct {
	Complete bool        `json:"complete"`
	Version  uint64      `json:"version"`
	Records  []Condition `json:"records"`
}

// Dump returns the registry's state.
func (reg *Registry) Dump() RegistryDump {
	return RegistryDump{Complete: reg.Complete(), Version: reg.Version(), Records: reg.Conditions()}
}
