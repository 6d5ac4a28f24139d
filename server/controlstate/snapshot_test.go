package controlstate

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

// randomCommand returns a random command. Its names are drawn from few, so that commands often refer to existing records.
func randomCommand(rng *rand.Rand, d *driver) Command {
	pick := func(prefix string, n int) string { return fmt.Sprint(prefix, rng.IntN(n)) }
	base := changeBase(d.state.View().ConfigRevision-uint64(rng.IntN(5)/4), pick("id", 400), pick("op", 3))
	meta := control.Meta{Instance: pick("e", 3), Boot: pick("b", 3)}
	request := pick("r", 60)
	switch rng.IntN(12) {
	case 0:
		c := twoVersionCatalogue()
		c.Models[0].Versions[rng.IntN(2)].Withdrawn = rng.IntN(2) == 0
		if rng.IntN(3) == 0 {
			c.Rollouts = nil
		}
		return Command{ApplyCatalogue: &ApplyCatalogue{ChangeBase: base, Catalogue: c}}
	case 1:
		return Command{SetOrder: &SetOrder{ChangeBase: base, AvailabilityZone: pick("z", 4), Out: rng.IntN(2) == 0}}
	case 2:
		return Command{SetRollout: &SetRollout{Progress: claimsProgress(control.RolloutRunning, rng.IntN(3))}}
	case 3:
		return Command{SetRollout: &SetRollout{ChangeBase: base, Progress: claimsProgress(control.RolloutRolledBack, 0)}}
	case 4:
		return Command{LiftQuarantine: &LiftQuarantine{base, pick("f", 5)}}
	case 5:
		return Command{SetPhase: &SetPhase{BackendServer: pick("s", 5), Boot: pick("b", 3), Phase: control.PhaseCold, Limit: rng.IntN(4)}}
	case 6:
		return Command{NextFence: &NextFence{Term: rng.Uint64N(4)}}
	case 7:
		return Command{PinSession: &control.PinRequest{Workspace: "w", Session: pick("s", 50),
			Proposed: ref(pick("v", 3)), Replace: catalogue.VersionRef{Model: "claims", Version: pick("v", 3)}}}
	case 8:
		return Command{
			BeginCalls: []control.BeginCallRequest{{Meta: meta, Workspace: "w", Key: pick("k", 30), BodyHash: "h", Request: request}},
			FinishCalls: []control.FinishCallRequest{{Meta: meta, Workspace: "w", Key: pick("k", 30), Request: pick("r", 60),
				Answer: answer(request), Cancelled: rng.IntN(3) == 0, Unknown: rng.IntN(4) == 0}},
		}
	case 9:
		return Command{InstanceGone: &InstanceGone{meta.Instance, meta.Boot}}
	case 10:
		return Command{BillBatches: []control.RecordBillsRequest{{Meta: meta, Bills: []control.Bill{bill("w", pick("k", 99), request, 3)}}}}
	default:
		return Command{ReportCrash: &control.ReportCrashRequest{Fingerprint: pick("f", 5), BackendServer: pick("s", 5), Boot: pick("b", 3)}}
	}
}

var _ = Describe("snapshots", func() {
	// Guards against replicas that diverge: after a restart one replays the log, another starts from a snapshot.
	DescribeTable("replay, snapshot and restore give the same state",
		func(seed uint64) {
			rng := rand.New(rand.NewPCG(seed, 1))
			d := newDriver()
			restored := New()
			for i := range 2000 {
				c := randomCommand(rng, d)
				// Time passes each expiry and sometimes moves backwards, as the clocks of leaders differ.
				d.at = d.at.Add(time.Duration(rng.IntN(120)-5) * time.Minute / 4)
				want := d.apply(c)
				got := restored.Apply(d.index, d.log[i])
				if _, isError := want.(error); isError {
					Expect(got.(error).Error()).To(Equal(want.(error).Error()))
				} else {
					Expect(reflect.DeepEqual(got, want)).To(BeTrue(), "result of command %d: %v, replayed %v", i, want, got)
				}
				if i%97 == 0 {
					data, err := restored.Snapshot()
					Expect(err).NotTo(HaveOccurred())
					restored = New()
					Expect(restored.Restore(data)).To(Succeed())
				}
			}
			replayed := New()
			for i, data := range d.log {
				replayed.Apply(uint64(i+1), data)
			}
			want, err := d.state.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			Expect(replayed.Snapshot()).To(Equal(want))
			Expect(restored.Snapshot()).To(Equal(want))
			Expect(restored.OpenCallsByHolder()).To(Equal(d.state.OpenCallsByHolder()))
			Expect(restored.calls.answerBytes).To(Equal(d.state.calls.answerBytes))
			Expect(restored.View().Quarantine).To(Equal(d.state.View().Quarantine))
			Expect(restored.View().Orders).To(Equal(d.state.View().Orders))
			Expect(restored.View().Revision).To(Equal(d.state.View().Revision))
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)), Entry("seed 4", uint64(4)),
		Entry("seed 5", uint64(5)), Entry("seed 6", uint64(6)), Entry("seed 7", uint64(7)), Entry("seed 8", uint64(8)),
	)
	DescribeTable("a malformed snapshot is refused and leaves the state unchanged",
		func(damage func([]byte) []byte) {
			d := newDriver()
			d.orderZone(0, "a", "anna", "muc-1", true)
			good, err := d.state.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			err = d.state.Restore(damage(good))
			Expect(Error.Has(err)).To(BeTrue())
			Expect(d.state.Snapshot()).To(Equal(good))
			Expect(d.state.View().Orders.ZonesOut).To(HaveKey("muc-1"))
		},
		Entry("empty", func([]byte) []byte { return nil }),
		Entry("truncated", func(b []byte) []byte { return b[:len(b)/2] }),
		Entry("other bytes", func([]byte) []byte { return []byte("snapshot") }),
	)
	It("refuses a table with inconsistent parts", func() {
		_, err := importTable(5, records[lastBatch]{Keys: make([]byte, 31), At: []int64{1, 2}, Values: make([]lastBatch, 2)})
		Expect(err).To(HaveOccurred())
		_, err = importTable(5, records[lastBatch]{Keys: make([]byte, 32), At: []int64{1, 2}, Values: make([]lastBatch, 2)})
		Expect(err).To(HaveOccurred(), "a repeated key")
		_, err = importTable(0, records[lastBatch]{Keys: make([]byte, 16), At: []int64{2}, Values: make([]lastBatch, 1)})
		Expect(err).To(HaveOccurred(), "more records than the limit")
	})
	It("refuses each truncation of a packed table and never reads beyond it", func() {
		d := newDriver()
		d.beginCall("r1", "b1", "h")
		d.finishCall(control.FinishCallRequest{Request: "r1", Answer: answer("yes")})
		d.beginCallWithKey("other", "r2", "b1", "h")
		whole := packTable(d.state.calls.records, callCodec)
		restored, err := unpackTable(MaxCalls, whole, callCodec)
		Expect(err).NotTo(HaveOccurred())
		Expect(*restored.get(keyOf("w", "key"))).To(Equal(*d.state.calls.records.get(keyOf("w", "key"))))
		for cut := range whole.Values {
			p := whole
			p.Values = whole.Values[:cut]
			_, err := unpackTable(MaxCalls, p, callCodec)
			Expect(err).To(HaveOccurred(), "%d of %d bytes", cut, len(whole.Values))
		}
		for cut := range whole.At {
			p := whole
			p.At = whole.At[:cut]
			_, err := unpackTable(MaxCalls, p, callCodec)
			Expect(err).To(HaveOccurred())
		}
		for _, n := range []int{-1, 1, 3, MaxCalls + 1} {
			p := whole
			p.N = n
			_, err := unpackTable(MaxCalls, p, callCodec)
			Expect(err).To(HaveOccurred())
		}
		_, err = unpackTable(1, whole, callCodec)
		Expect(err).To(HaveOccurred(), "more records than the limit")
		repeated := whole
		repeated.Keys = append(append([]byte(nil), whole.Keys[:16]...), whole.Keys[:16]...)
		_, err = unpackTable(MaxCalls, repeated, callCodec)
		Expect(err).To(HaveOccurred(), "a repeated key")
	})
	It("uses the largest time of all commands, so that a new leader's slow clock neither delays nor repeats expiry", func() {
		d := newDriver()
		d.pinSession("s", "v1", "")
		d.at = d.at.Add(-time.Hour)
		d.pinSession("t", "v1", "")
		Expect(d.state.Time()).To(Equal(epoch))
		data, err := d.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		d.state = New()
		Expect(d.state.Restore(data)).To(Succeed())
		d.pinSession("u", "v1", "")
		Expect(d.state.Time()).To(Equal(epoch), "a restart must not set the time back either")
	})
})
