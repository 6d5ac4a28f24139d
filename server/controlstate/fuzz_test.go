package controlstate

import (
	"testing"

	"clementinetray/api/control"
)

// FuzzDecode guards against a command in the log that makes every replica panic when it is applied.
func FuzzDecode(f *testing.F) {
	seeds := []Command{
		{At: epoch, ApplyCatalogue: &ApplyCatalogue{ChangeBase: changeBase(0, "a", "anna"), Catalogue: twoVersionCatalogue()}},
		{At: epoch, SetOrder: &SetOrder{ChangeBase: changeBase(0, "a", "anna"), AvailabilityZone: "z", Out: true}},
		{At: epoch, SetRollout: &SetRollout{Progress: control.RolloutProgress{Model: "m"}}},
		{At: epoch, PinSession: &control.PinRequest{Workspace: "w", Session: "s", Proposed: ref("v1")}},
		{At: epoch, BeginCalls: []control.BeginCallRequest{{Workspace: "w", Key: "k"}}},
		{At: epoch, BillBatches: []control.RecordBillsRequest{{Bills: []control.Bill{bill("w", "k", "r", 1)}}}},
	}
	for i := range seeds {
		data, err := seeds[i].Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		s.Apply(1, data)
		c, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := c.Encode(); err != nil {
			t.Fatalf("a decoded command can't be encoded: %v", err)
		}
		snapshot, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := New().Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
