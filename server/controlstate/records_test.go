package controlstate

import (
	"fmt"
	"strings"
	"time"
	"unique"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

var _ = Describe("session pins", func() {
	var d *driver
	BeforeEach(func() {
		d = newDriver()
		d.applyCatalogue(0, "a", "anna", claimsCatalogue(catalogue.Version{Name: "v1"}, catalogue.Version{Name: "v2"}, catalogue.Version{Name: "v3"}))
	})
	withdraw := func(name string) {
		c := claimsCatalogue(catalogue.Version{Name: "v1"}, catalogue.Version{Name: "v2"}, catalogue.Version{Name: "v3"})
		c.FindVersion(ref(name)).Withdrawn = true
		Expect(d.applyCatalogue(d.state.View().ConfigRevision, "withdraw "+name, "anna", c).Conflict).To(BeNil())
	}

	It("keeps the version of the first pin", func() {
		Expect(d.pinSession("s", "v1", "").Pinned).To(Equal(ref("v1")))
		Expect(d.pinSession("s", "v2", "").Pinned).To(Equal(ref("v1")))
	})
	DescribeTable("moving a pin",
		func(withdrawn, replace, want string) {
			d.pinSession("s", "v1", "")
			if withdrawn != "" {
				withdraw(withdrawn)
			}
			Expect(d.pinSession("s", "v2", replace).Pinned).To(Equal(ref(want)))
		},
		Entry("from the withdrawn version", "v1", "v1", "v2"),
		Entry("not from a version still in service", "", "v1", "v1"),
		Entry("not when Replace is another withdrawn version", "v3", "v3", "v1"),
		Entry("not without Replace", "v1", "", "v1"),
	)
	It("moves once when two entry instances replace at the same time", func() {
		d.pinSession("s", "v1", "")
		withdraw("v1")
		Expect(d.pinSession("s", "v2", "v1").Pinned).To(Equal(ref("v2")))
		Expect(d.pinSession("s", "v3", "v1").Pinned).To(Equal(ref("v2")))
	})
	It("moves away from a rolled back version", func() {
		d.pinSession("s", "v2", "")
		d.advanceRollout(nil, claimsProgress(control.RolloutRolledBack, 0))
		Expect(d.pinSession("s", "v1", "v2").Pinned).To(Equal(ref("v1")))
	})
	It("expires 12 h after the last renewal, not after the first pin", func() {
		d.pinSession("s", "v1", "")
		d.pinSession("idle", "v1", "")
		d.at = d.at.Add(SessionTTL - time.Second)
		d.pinSession("s", "v2", "")
		d.at = d.at.Add(2 * time.Second)
		Expect(d.pinSession("s", "v2", "").Pinned).To(Equal(ref("v1")))
		Expect(d.pinSession("idle", "v2", "").Pinned).To(Equal(ref("v2")))
	})
	It("refuses new sessions when 200,000 are pinned and still renews existing pins", func() {
		d.pinSession("known", "v1", "")
		for i := range MaxSessions - 1 {
			d.state.sessions.put(keyOf("fill", fmt.Sprint(i)), unique.Make(ref("v1")), d.state.nowMillis)
		}
		full := d.apply(Command{PinSession: &control.PinRequest{Workspace: "w", Session: "new", Proposed: ref("v1")}})
		Expect(control.ErrTableFull.Has(full.(error))).To(BeTrue())
		Expect(d.pinSession("known", "v2", "").Pinned).To(Equal(ref("v1")))
		d.at = d.at.Add(SessionTTL)
		Expect(d.pinSession("new", "v1", "").Pinned).To(Equal(ref("v1")), "expired pins must free space")
	})
	It("keeps sessions of the same name in different workspaces apart", func() {
		Expect(keyOf("ab", "c")).NotTo(Equal(keyOf("a", "bc")))
	})
})

var _ = Describe("non-idempotent calls", func() {
	var d *driver
	BeforeEach(func() { d = newDriver() })

	type step func()
	begin := func(request, boot, body string, want control.CallState) step {
		return func() { Expect(d.beginCall(request, boot, body).State).To(Equal(want), request+" "+boot) }
	}
	finish := func(f control.FinishCallRequest) step { return func() { d.finishCall(f) } }
	gone := func(boot string, calls int) step {
		return func() {
			Expect(d.apply(Command{InstanceGone: &InstanceGone{"e1", boot}})).To(Equal(calls))
		}
	}
	done := control.FinishCallRequest{Request: "r1", Answer: answer("yes")}

	DescribeTable("states of a call",
		func(steps ...step) {
			for _, s := range steps {
				s()
			}
		},
		Entry("the same request and boot gets CallNew again, as the first reply may be lost",
			begin("r1", "b1", "h", control.CallNew), begin("r1", "b1", "h", control.CallNew)),
		Entry("another boot of the same instance must not dispatch",
			begin("r1", "b1", "h", control.CallNew), begin("r1", "b2", "h", control.CallInProgress)),
		Entry("another request must not dispatch",
			begin("r1", "b1", "h", control.CallNew), begin("r2", "b1", "h", control.CallInProgress)),
		Entry("another body under the same key is refused in each state",
			begin("r1", "b1", "h", control.CallNew), begin("r2", "b1", "other", control.CallKeyReused),
			finish(done), begin("r3", "b1", "other", control.CallKeyReused)),
		Entry("a finished call is answered from the record, also to its holder",
			begin("r1", "b1", "h", control.CallNew), finish(done),
			begin("r2", "b2", "h", control.CallDone), begin("r1", "b1", "h", control.CallDone)),
		Entry("the outcome of a call whose holder is gone stays unknown, also for the holder",
			begin("r1", "b1", "h", control.CallNew), gone("b1", 1),
			begin("r2", "b2", "h", control.CallOutcomeUnknown), begin("r1", "b1", "h", control.CallOutcomeUnknown)),
		Entry("the loss of another boot does not change the call",
			begin("r1", "b1", "h", control.CallNew), gone("b2", 0), begin("r2", "b2", "h", control.CallInProgress)),
		Entry("an answer that arrives after its holder was declared gone is stored",
			begin("r1", "b1", "h", control.CallNew), gone("b1", 1), finish(done), begin("r2", "b2", "h", control.CallDone)),
		Entry("a finished call keeps its answer when its holder is gone",
			begin("r1", "b1", "h", control.CallNew), finish(done), gone("b1", 0), begin("r2", "b2", "h", control.CallDone)),
		Entry("a call with an unknown outcome is never dispatched again",
			begin("r1", "b1", "h", control.CallNew), finish(control.FinishCallRequest{Request: "r1", Unknown: true}),
			begin("r2", "b1", "h", control.CallOutcomeUnknown)),
		Entry("a finish without an answer is an unknown outcome",
			begin("r1", "b1", "h", control.CallNew), finish(control.FinishCallRequest{Request: "r1"}),
			begin("r2", "b1", "h", control.CallOutcomeUnknown)),
		Entry("a cancelled call may be dispatched by another request",
			begin("r1", "b1", "h", control.CallNew), finish(control.FinishCallRequest{Request: "r1", Cancelled: true}),
			begin("r2", "b1", "h", control.CallNew)),
		Entry("a delayed begin of a cancelled request does not block the key",
			begin("r1", "b1", "h", control.CallNew), finish(control.FinishCallRequest{Request: "r1", Cancelled: true}),
			begin("r1", "b1", "h", control.CallOutcomeUnknown), begin("r2", "b1", "h", control.CallNew)),
		Entry("only the holder's request ends the call",
			begin("r1", "b1", "h", control.CallNew), finish(control.FinishCallRequest{Request: "r2", Cancelled: true}),
			begin("r2", "b1", "h", control.CallInProgress)),
		Entry("the first answer is kept",
			begin("r1", "b1", "h", control.CallNew), finish(done),
			finish(control.FinishCallRequest{Request: "r1", Cancelled: true}), begin("r2", "b1", "h", control.CallDone)),
		Entry("a finish without a begin records nothing",
			finish(done), begin("r2", "b1", "h", control.CallNew)),
	)
	It("returns the stored answer and the holder's request", func() {
		d.beginCall("r1", "b1", "h")
		d.finishCall(done)
		reply := d.beginCall("r2", "b1", "h")
		Expect(reply.Answer).To(Equal(answer("yes")))
		Expect(reply.Holder).To(Equal("r1"))
	})
	It("expires records 24 h after their end", func() {
		d.beginCall("r1", "b1", "h")
		d.at = d.at.Add(time.Hour)
		d.finishCall(done)
		d.at = d.at.Add(CallTTL - time.Second)
		Expect(d.beginCall("r2", "b1", "h").State).To(Equal(control.CallDone))
		d.at = d.at.Add(time.Second)
		Expect(d.beginCall("r3", "b1", "h").State).To(Equal(control.CallNew))
		Expect(d.state.calls.answerBytes).To(BeZero())
	})
	It("returns the holders of calls until the calls end or expire", func() {
		d.beginCall("r1", "b1", "h")
		Expect(d.state.OpenCallsByHolder()).To(Equal(map[Holder]int{{"e1", "b1"}: 1}))
		d.at = d.at.Add(CallTTL)
		d.pinSession("any", "v1", "")
		Expect(d.state.OpenCallsByHolder()).To(BeEmpty())
	})
	It("answers table_full when 200,000 records are kept", func() {
		for i := range MaxCalls {
			d.state.calls.records.put(keyOf("fill", fmt.Sprint(i)), callRecord{state: control.CallOutcomeUnknown}, epoch.UnixMilli())
		}
		Expect(d.beginCall("r1", "b1", "h").State).To(Equal(control.CallTableFull))
	})
	It("stores answer bodies of up to 64 KiB, and drops the oldest ones beyond 64 MiB in total", func() {
		large := &control.CallAnswer{Status: 200, Body: make([]byte, control.MaxStoredAnswerBytes+1)}
		d.beginCall("r1", "b1", "h")
		d.finishCall(control.FinishCallRequest{Request: "r1", Answer: large})
		reply := d.beginCall("r2", "b1", "h")
		Expect(reply.Answer.Truncated).To(BeTrue())
		Expect(reply.Answer.Body).To(BeEmpty())

		body := strings.Repeat("x", control.MaxStoredAnswerBytes)
		for i := range MaxAnswerBytes/control.MaxStoredAnswerBytes + 3 {
			key := fmt.Sprint(i)
			d.state.calls.beginCall(&control.BeginCallRequest{Workspace: "w", Key: key, Request: "r"}, d.state.nowMillis)
			d.state.calls.finishCall(&control.FinishCallRequest{Workspace: "w", Key: key, Request: "r", Answer: answer(body)}, d.state.nowMillis)
		}
		Expect(d.state.calls.answerBytes).To(BeNumerically("<=", MaxAnswerBytes))
		first := d.state.calls.beginCall(&control.BeginCallRequest{Workspace: "w", Key: "0", Request: "x"}, d.state.nowMillis)
		Expect(first.State).To(Equal(control.CallDone), "a call whose answer body was dropped must not be dispatched again")
		Expect(first.Answer.Truncated).To(BeTrue())
	})
})

func bill(workspace, key, request string, tokens int) control.Bill {
	return control.Bill{Workspace: workspace, Key: key, Request: request, Complete: true,
		Lines: []control.BillLine{{VersionRef: ref("v1"), OutputTokens: tokens, CostMicros: int64(tokens) * 10}}}
}

type fakeLedger struct {
	entries []LedgerEntry
	err     error
}

func (l *fakeLedger) Append(e LedgerEntry) { l.entries = append(l.entries, e) }
func (l *fakeLedger) Sync() error          { return l.err }

var _ = Describe("bills", func() {
	var d *driver
	BeforeEach(func() { d = newDriver() })
	record := func(boot string, bills ...control.Bill) control.RecordBillsReply {
		in := control.RecordBillsRequest{Meta: control.Meta{Instance: "e1", Boot: boot}, Bills: bills}
		return d.apply(Command{BillBatches: []control.RecordBillsRequest{in}}).(BatchResult).Bills[0]
	}
	total := func(workspace string) control.WorkspaceBill { return d.state.bills.totals[workspace] }

	It("bills each workspace and key once", func() {
		Expect(record("b1", bill("w", "k", "r1", 5), bill("w", "k", "r2", 7), bill("x", "k", "r3", 1)).Duplicates).To(Equal(1))
		Expect(record("b2", bill("w", "k", "r4", 9)).Recorded).To(BeZero(), "another entry instance may not bill the key again")
		Expect(total("w")).To(Equal(control.WorkspaceBill{Workspace: "w", Bills: 1, OutputTokens: 5, CostMicros: 50}))
		Expect(total("x").Bills).To(Equal(uint64(1)))
	})
	It("gives a repeated batch its first result", func() {
		bills := []control.Bill{bill("w", "a", "a", 1), bill("w", "b", "b", 1)}
		Expect(record("b1", bills...)).To(Equal(control.RecordBillsReply{Recorded: 2}))
		Expect(record("b1", bills...)).To(Equal(control.RecordBillsReply{Recorded: 2}))
		Expect(total("w").Bills).To(Equal(uint64(2)))
	})
	It("recognizes a repeated batch even when its keys were evicted from the window", func() {
		bills := []control.Bill{bill("w", "a", "a", 1)}
		record("b1", bills...)
		for i := range MaxBillingKeys {
			d.state.bills.requestKeys.putEvictingOldest(keyOf("fill", fmt.Sprint(i)), struct{}{}, d.state.nowMillis)
		}
		Expect(d.state.bills.requestKeys.len()).To(Equal(MaxBillingKeys))
		record("b1", bills...)
		Expect(total("w").Bills).To(Equal(uint64(1)))
	})
	It("keeps callers' keys when the window of request ids is full", func() {
		record("b1", bill("w", "k", "r1", 5))
		for i := range MaxBillingKeys + 1 {
			d.state.bills.requestKeys.putEvictingOldest(keyOf("fill", fmt.Sprint(i)), struct{}{}, d.state.nowMillis)
		}
		Expect(record("b1", bill("w", "k", "r2", 5)).Duplicates).To(Equal(1))
	})
	It("removes keys after 24 h", func() {
		record("b1", bill("w", "k", "r1", 5))
		d.at = d.at.Add(BillingKeyTTL)
		Expect(record("b2", bill("w", "k", "r2", 5)).Recorded).To(Equal(1))
	})
	It("counts incomplete answers and ignores negative token counts", func() {
		b := bill("w", "", "r1", -5)
		b.Complete = false
		Expect(record("b1", b).Recorded).To(Equal(1))
		Expect(total("w")).To(Equal(control.WorkspaceBill{Workspace: "w", Bills: 1, Incomplete: 1, CostMicros: -50}))
	})
	It("loses no amount when there are too many workspaces", func() {
		for i := range MaxBilledWorkspaces {
			d.state.bills.totals[fmt.Sprint(i)] = control.WorkspaceBill{}
		}
		record("b1", bill("w", "k", "r", 5))
		Expect(total("").OutputTokens).To(Equal(uint64(5)))
	})
	It("appends each recorded bill to the ledger with consecutive sequence numbers, and no duplicates", func() {
		l := &fakeLedger{}
		d.state.SetLedger(l)
		record("b1", bill("w", "a", "a", 1), bill("w", "a", "b", 1))
		record("b1", bill("w", "a", "c", 1))
		d.pinSession("s", "v1", "")
		record("b1", bill("w", "d", "d", 1), bill("w", "e", "e", 1))
		Expect(l.entries).To(HaveLen(2))
		Expect(l.entries[0].Bills).To(HaveLen(1))
		Expect(l.entries[1].Sequence).To(Equal(uint64(2)))
		Expect(l.entries[1].Index).To(Equal(uint64(4)))
		Expect(l.entries[1].Bills).To(HaveLen(2))
		data, err := d.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(d.state.Restore(data)).To(Succeed())
		record("b1", bill("w", "f", "f", 1))
		Expect(l.entries[2].Sequence).To(Equal(uint64(4)))
	})
	It("returns no snapshot, after which the log would be truncated, while the ledger is not durable", func() {
		l := &fakeLedger{err: Error.New("disk full")}
		d.state.SetLedger(l)
		_, err := d.state.Snapshot()
		Expect(err).To(HaveOccurred())
	})
	It("handles a single RecordBills command like a batch", func() {
		in := &control.RecordBillsRequest{Bills: []control.Bill{bill("w", "k", "r", 5)}}
		Expect(d.apply(Command{RecordBills: in})).To(Equal(control.RecordBillsReply{Recorded: 1}))
	})
})

var _ = Describe("crash records", func() {
	var d *driver
	BeforeEach(func() { d = newDriver() })
	crashes := func(result any) int { return result.(control.ReportCrashReply).Crashes }

	It("counts distinct pairs of backend server and boot", func() {
		Expect(crashes(d.reportCrash("f", "s1", "b1"))).To(Equal(1))
		Expect(crashes(d.reportCrash("f", "s1", "b1"))).To(Equal(1), "a repeated report must not quarantine the request")
		Expect(d.state.QuarantineEntries()[0].Stopped).To(BeFalse())
		Expect(crashes(d.reportCrash("f", "s1", "b2"))).To(Equal(2))
		Expect(d.state.View().Quarantine.Crashes).To(Equal(map[string]int{"f": 2}))
		Expect(d.state.QuarantineEntries()).To(ConsistOf(control.QuarantineEntry{
			Fingerprint: "f", Crashes: 2, Servers: []string{"s1", "s1"}, Stopped: true,
		}))
	})
	It("keeps at most 16 pairs for one fingerprint", func() {
		for i := range 40 {
			d.reportCrash("f", fmt.Sprint(i), "b")
		}
		Expect(d.state.View().Quarantine.Crashes["f"]).To(Equal(MaxCrashPairs))
	})
	It("lets an operator lift a quarantine", func() {
		d.reportCrash("f", "s1", "b1")
		d.reportCrash("f", "s2", "b1")
		lifted := d.apply(Command{LiftQuarantine: &LiftQuarantine{changeBase(0, "a", "anna"), "f"}}).(ChangeResult)
		Expect(lifted.Revision).To(Equal(uint64(1)))
		Expect(d.state.View().Quarantine.Crashes).To(BeEmpty())
		Expect(crashes(d.reportCrash("f", "s3", "b1"))).To(Equal(1))
	})
	It("are removed, also from the view, 24 h after the last new crash", func() {
		d.reportCrash("f", "s1", "b1")
		d.at = d.at.Add(CrashTTL)
		d.reportCrash("g", "s1", "b1")
		Expect(d.state.View().Quarantine.Crashes).To(Equal(map[string]int{"g": 1}))
	})
	It("refuses a new fingerprint when 10,000 are recorded", func() {
		for i := range MaxCrashRecords {
			d.state.crashes.put(keyOf(fmt.Sprint(i)), crashRecord{Fingerprint: fmt.Sprint(i)}, epoch.UnixMilli())
		}
		Expect(control.ErrTableFull.Has(d.reportCrash("new", "s1", "b1").(error))).To(BeTrue())
	})
})

var _ = Describe("prompt parts that crash backend servers", func() {
	var d *driver
	BeforeEach(func() { d = newDriver() })
	crash := func(request, server string, parts ...string) control.ReportCrashReply {
		return d.apply(Command{ReportCrash: &control.ReportCrashRequest{Fingerprint: request, BackendServer: server, Boot: "b", Parts: parts}}).(control.ReportCrashReply)
	}
	quarantined := func() map[string]control.QuarantinedPart { return d.state.View().Quarantine.Parts }

	// Guards against requests with one part in common, no two alike, that crash one backend server after the other.
	It("are quarantined after two crashes by requests that share nothing else", func() {
		Expect(crash("f1", "s1", "system", "subject", "deadly").Parts).To(BeEmpty())
		reply := crash("f2", "s2", "system", "other", "deadly")
		Expect(reply.Crashes).To(Equal(1))
		Expect(quarantined()).To(HaveLen(1))
		for part, q := range quarantined() {
			Expect(reply.Parts).To(HaveKeyWithValue(part, q))
			Expect(q).To(Equal(control.QuarantinedPart{Crashes: 2, Common: []string{"system", "deadly"}}))
		}
	})
	It("have in common what all requests with the part have", func() {
		crash("f1", "s1", "subject", "deadly")
		crash("f1", "s2", "subject", "deadly")
		Expect(quarantined()).To(HaveKeyWithValue("deadly", control.QuarantinedPart{Crashes: 2, Common: []string{"subject", "deadly"}}))
		crash("f2", "s3", "other", "deadly")
		Expect(quarantined()).To(Equal(map[string]control.QuarantinedPart{"deadly": {Crashes: 3, Common: []string{"deadly"}}}))
	})
	It("count a crash once, however many requests and reports name it", func() {
		for range 3 {
			crash("f1", "s1", "deadly")
			crash("f2", "s1", "deadly")
		}
		Expect(quarantined()).To(BeEmpty())
	})
	// Guards against the quarantine of parts whose requests ran on the backend servers that another part crashed.
	It("do not include parts whose crashes another part explains", func() {
		for n := range 4 {
			crash(fmt.Sprint("deadly", n), fmt.Sprint("s", n), "deadly")
			if n > 0 {
				crash(fmt.Sprint("innocent", n), fmt.Sprint("s", n), "popular")
			}
		}
		Expect(quarantined()).To(HaveLen(1))
		Expect(quarantined()).To(HaveKey("deadly"))
	})
	It("are cleared when answers begin with them, and count again after a while", func() {
		crash("f1", "s1", "popular")
		crash("f2", "s2", "popular")
		d.apply(Command{ClearParts: &control.ClearPartsRequest{Parts: []string{"popular", "unknown"}}})
		Expect(quarantined()).To(BeEmpty())
		crash("f3", "s3", "popular")
		crash("f4", "s4", "popular")
		Expect(quarantined()).To(BeEmpty())
		d.at = d.at.Add(PartClearance)
		crash("f5", "s5", "popular")
		crash("f6", "s6", "popular")
		Expect(quarantined()).To(HaveKey("popular"))
	})
	It("are kept in snapshots, shown to operators, lifted by them, and forgotten after an hour", func() {
		crash("f1", "s1", "subject", "deadly")
		crash("f1", "s2", "subject", "deadly")
		snapshot, err := d.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.View().Quarantine).To(Equal(d.state.View().Quarantine))
		Expect(d.state.QuarantineEntries()).To(ContainElement(control.QuarantineEntry{
			Fingerprint: "part:deadly", Crashes: 2, Servers: []string{"s1", "s2"}, Stopped: true, Parts: []string{"subject", "deadly"},
		}))
		d.apply(Command{LiftQuarantine: &LiftQuarantine{changeBase(0, "a", "anna"), "part:deadly"}})
		d.apply(Command{LiftQuarantine: &LiftQuarantine{changeBase(1, "b", "anna"), "part:subject"}})
		Expect(quarantined()).To(BeEmpty())
		crash("f2", "s3", "deadly")
		crash("f3", "s4", "deadly")
		Expect(quarantined()).To(HaveKey("deadly"))
		d.at = d.at.Add(PartCrashTTL)
		d.reportCrash("other", "s9", "b")
		Expect(quarantined()).To(BeEmpty())
	})
	It("are bounded in number and length, whatever callers send", func() {
		parts := []string{"", strings.Repeat("x", MaxPartLength+1)}
		for n := range 2 * MaxReportedParts {
			parts = append(parts, fmt.Sprint("p", n))
		}
		crash("f1", "s1", parts...)
		crash("f1", "s2", parts...)
		Expect(len(d.state.QuarantineEntries())).To(BeNumerically("<=", MaxReportedParts+1))
	})
})
