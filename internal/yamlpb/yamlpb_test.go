package yamlpb

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/sardinedock/sardinedock/schema/recordspb"
)

func decode(t *testing.T, text string) (*recordspb.Record, string) {
	t.Helper()
	messages, faults := Decode([]byte(text), func() proto.Message { return &recordspb.Record{} })
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	if len(messages) == 0 {
		return nil, strings.Join(lines, "\n")
	}
	return messages[0].(*recordspb.Record), strings.Join(lines, "\n")
}

func TestDecodeReadsEveryKindOfField(t *testing.T) {
	r, faults := decode(t, `
schema_version: 1
name: dispatch
class: {urgent: true, priority: -3, max_wait_ms: 1_500, when_store_down: STORE_DOWN_RUN_UNCLAIMED}
`)
	if faults != "" {
		t.Fatal(faults)
	}
	want := &recordspb.RequestClass{
		Urgent: true, Priority: -3, MaxWaitMs: 1500, TimeoutMs: 120000,
		WhenStoreDown: recordspb.StoreDownRule_STORE_DOWN_RUN_UNCLAIMED,
	}
	if !proto.Equal(r.GetClass(), want) {
		t.Errorf("got  %v\nwant %v", r.GetClass(), want)
	}
}

func TestDecodeReportsFaultWithPathAndRemedy(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown value", "schema_version: 1\nname: a\nclass: {when_store_down: MAYBE}", `class.when_store_down: found "MAYBE"; use one of: STORE_DOWN_REFUSE`},
		{"no truth value", "schema_version: 1\nname: a\nclass: {urgent: 1}", `class.urgent: found "1"; write true or false`},
		{"written twice", "schema_version: 1\nname: a\nname: b", `mapping key "name" already defined`},
		{"in a list", "schema_version: 1\nname: a\npool: {endpoints: [{name: x, address: here}]}", "pool.endpoints[0].address: found here; write IP:port"},
		{"bad name", "schema_version: 1\nname: A/B", "name: found A/B; use lower-case letters"},
		{"newer schema", "schema_version: 0\nname: a", "schema_version: "},
		{"key hash", "schema_version: 1\nname: a\norganisation: {key_hashes: [short]}", "organisation.key_hashes: found [short]; write each key's SHA-256 sum"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, faults := decode(t, tt.text)
			if !strings.Contains(faults, tt.want) {
				t.Errorf("got  %s\nwant %s", faults, tt.want)
			}
		})
	}
}

// A pool without slots reserved for urgent requests is written with an explicit zero. If
// encoding it as the object API's JSON lost the zero, the default would apply and the pool would
// run with fewer slots than its record says.
func TestExplicitZeroSurvivesTheObjectAPI(t *testing.T) {
	r, faults := decode(t, "schema_version: 1\nname: a\npool: {urgent_slots: 0}")
	if faults != "" {
		t.Fatal(faults)
	}
	data, err := protojson.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	back := &recordspb.Record{}
	if err := protojson.Unmarshal(data, back); err != nil {
		t.Fatal(err)
	}
	if faults := Check(back); len(faults) > 0 {
		t.Fatal(faults)
	}
	if got := back.GetPool().GetUrgentSlots(); got != 0 {
		t.Errorf("urgent_slots is %d, want 0", got)
	}
}
