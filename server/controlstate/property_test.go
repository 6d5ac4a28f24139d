package controlstate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

// applyCommand is driver.apply without gomega, for property tests.
func applyCommand(t *rapid.T, s *State, index *uint64, at time.Time, c Command) any {
	c.At = at
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	*index++
	return s.Apply(*index, data)
}

// maybeRestart returns the state or, at random, a copy restored from its snapshot, as after a restart of the replica.
func maybeRestart(t *rapid.T, s *State) *State {
	if !rapid.Bool().Draw(t, "restart") {
		return s
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := New()
	if err := next.Restore(data); err != nil {
		t.Fatal(err)
	}
	return next
}

// TestAtMostOnce guards against a second dispatch of a non-idempotent call. Whatever is repeated, lost, cancelled or
// declared gone, only one request of one boot gets CallNew for a key, until that request reports by Cancelled that nothing
// was written.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, index, at := New(), uint64(0), epoch
		holders := map[string]string{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
			key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
			request := rapid.SampledFrom([]string{"r1", "r2", "r3", "r4"}).Draw(t, "request")
			boot := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "boot")
			meta := control.Meta{Instance: "e1", Boot: boot}
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1, 2:
				in := control.BeginCallRequest{Meta: meta, Workspace: "w", Key: key, BodyHash: "h", Request: request}
				out := applyCommand(t, s, &index, at, Command{BeginCalls: []control.BeginCallRequest{in}}).(BatchResult).Begins[0]
				if out.State != control.CallNew {
					continue
				}
				if got, held := holders[key]; held && got != request+"/"+boot {
					t.Fatalf("key %s: %s/%s got CallNew although %s may have dispatched the call", key, request, boot, got)
				}
				holders[key] = request + "/" + boot
			case 3:
				in := control.FinishCallRequest{Meta: meta, Workspace: "w", Key: key, Request: request}
				in.Cancelled = rapid.Bool().Draw(t, "cancelled")
				in.Unknown = rapid.Bool().Draw(t, "unknown")
				if rapid.Bool().Draw(t, "answered") {
					in.Answer = answer("x")
				}
				done := s.calls.records.get(keyOf("w", key))
				final := done != nil && done.state == control.CallDone
				applyCommand(t, s, &index, at, Command{FinishCalls: []control.FinishCallRequest{in}})
				if in.Cancelled && !final && len(holders[key]) > 0 && holders[key][:2] == request {
					delete(holders, key)
				}
			case 4:
				applyCommand(t, s, &index, at, Command{InstanceGone: &InstanceGone{"e1", boot}})
			case 5:
				s = maybeRestart(t, s)
			}
		}
	})
}

// TestBilledOnce guards against bills that are recorded twice or lost. Whatever is repeated, the number of bills of a
// workspace is the number of distinct keys, and the ledger holds each of them once.
func TestBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, index := New(), uint64(0)
		keys := map[string]bool{}
		ledger := &fakeLedger{}
		s.SetLedger(ledger)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var bills []control.Bill
			for range rapid.IntRange(0, 4).Draw(t, "bills") {
				key := fmt.Sprint("k", rapid.IntRange(0, 20).Draw(t, "key"))
				request := rapid.SampledFrom([]string{key, "r1", "r2"}).Draw(t, "request")
				bills = append(bills, bill("w", key, request, 1))
				keys[key] = true
			}
			boot := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "boot")
			batch := control.RecordBillsRequest{Meta: control.Meta{Instance: "e1", Boot: boot}, Bills: bills}
			applyCommand(t, s, &index, epoch, Command{BillBatches: []control.RecordBillsRequest{batch}})
			s = maybeRestart(t, s)
			s.SetLedger(ledger)
		}
		if got := s.bills.totals["w"].Bills; got != uint64(len(keys)) {
			t.Fatalf("%d bills for %d keys", got, len(keys))
		}
		next := uint64(1)
		for _, e := range ledger.entries {
			if e.Sequence != next {
				t.Fatalf("expected bill %d next in the ledger, got %d", next, e.Sequence)
			}
			next += uint64(len(e.Bills))
		}
		if next != uint64(len(keys))+1 {
			t.Fatalf("the ledger holds %d bills for %d keys", next-1, len(keys))
		}
	})
}

// TestSessionKeepsVersion guards against a session that changes its version while that version is in service.
func TestSessionKeepsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, index := New(), uint64(0)
		version := rapid.SampledFrom([]string{"v1", "v2", "v3"})
		withdrawn := map[string]bool{}
		pinned := ""
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				c := catalogue.Catalogue{Models: []catalogue.Model{{Name: "claims"}}}
				for _, name := range []string{"v1", "v2", "v3"} {
					withdrawn[name] = rapid.Bool().Draw(t, "withdrawn")
					c.Models[0].Versions = append(c.Models[0].Versions, catalogue.Version{Name: name, Withdrawn: withdrawn[name]})
				}
				change := changeBase(s.View().ConfigRevision, fmt.Sprint(index), "anna")
				applyCommand(t, s, &index, epoch, Command{ApplyCatalogue: &ApplyCatalogue{ChangeBase: change, Catalogue: c}})
			case 1:
				s = maybeRestart(t, s)
			default:
				in := &control.PinRequest{Workspace: "w", Session: "s", Proposed: ref(version.Draw(t, "proposed"))}
				if rapid.Bool().Draw(t, "replace") {
					in.Replace = ref(version.Draw(t, "replaced"))
				}
				got := applyCommand(t, s, &index, epoch, Command{PinSession: in}).(control.PinReply).Pinned.Version
				inService := s.View().ConfigRevision > 0 && !withdrawn[pinned]
				if pinned != "" && got != pinned && inService {
					t.Fatalf("the session moved from %s to %s although the former is in service", pinned, got)
				}
				pinned = got
			}
		}
	})
}
