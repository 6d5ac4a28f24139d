package ledger_test

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/controlstate"
	"clementinetray/server/ledger"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

var day = time.Date(2026, 3, 1, 23, 59, 0, 0, time.UTC)

func entry(index uint64, at time.Time) controlstate.LedgerEntry {
	return controlstate.LedgerEntry{Index: index, Sequence: index, At: at, Bills: []control.Bill{{Workspace: "w", Key: "k"}}}
}

var _ = Describe("Ledger", func() {
	var folder string
	open := func() *ledger.Ledger {
		l, err := ledger.Open(folder)
		Expect(err).NotTo(HaveOccurred())
		return l
	}
	indexes := func(name string) []uint64 {
		f, err := os.Open(filepath.Join(folder, name))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = f.Close() }()
		var found []uint64
		for lines := bufio.NewScanner(f); lines.Scan(); {
			var e controlstate.LedgerEntry
			Expect(json.Unmarshal(lines.Bytes(), &e)).To(Succeed(), lines.Text())
			found = append(found, e.Index)
		}
		return found
	}
	BeforeEach(func() { folder = filepath.Join(GinkgoT().TempDir(), "ledger") })

	It("writes each entry once although a restarted replica replays its log", func() {
		l := open()
		l.Append(entry(3, day))
		l.Append(entry(5, day))
		Expect(l.Close()).To(Succeed())
		l = open()
		for _, index := range []uint64{3, 5, 6} {
			l.Append(entry(index, day))
		}
		Expect(l.Sync()).To(Succeed())
		Expect(indexes("bills-2026-03-01.jsonl")).To(Equal([]uint64{3, 5, 6}))
	})
	It("starts a file each day and appends to the newest one after a restart", func() {
		l := open()
		l.Append(entry(1, day))
		l.Append(entry(2, day.Add(time.Hour)))
		Expect(l.Close()).To(Succeed())
		l = open()
		l.Append(entry(2, day.Add(time.Hour)))
		l.Append(entry(3, day.Add(time.Hour)))
		Expect(l.Close()).To(Succeed())
		Expect(indexes("bills-2026-03-01.jsonl")).To(Equal([]uint64{1}))
		Expect(indexes("bills-2026-03-02.jsonl")).To(Equal([]uint64{2, 3}))
	})
	DescribeTable("cuts off a torn write, and the replay writes the entry again",
		func(torn string) {
			l := open()
			l.Append(entry(1, day))
			Expect(l.Close()).To(Succeed())
			path := filepath.Join(folder, "bills-2026-03-01.jsonl")
			f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
			Expect(err).NotTo(HaveOccurred())
			_, _ = f.WriteString(torn)
			Expect(f.Close()).To(Succeed())
			before, _ := os.ReadFile(path)
			l = open()
			Expect(os.ReadFile(path)).To(Equal(before), "another process may still hold the folder lock")
			l.Append(entry(1, day))
			l.Append(entry(2, day))
			Expect(l.Close()).To(Succeed())
			Expect(indexes("bills-2026-03-01.jsonl")).To(Equal([]uint64{1, 2}))
		},
		Entry("half a line", `{"index":2,"bil`), Entry("zeros with a line end", "\x00\x00\n"), Entry("nothing", ""),
	)
	It("finds the last entry in an older file when the newest file holds only a torn line", func() {
		l := open()
		l.Append(entry(4, day))
		Expect(l.Close()).To(Succeed())
		Expect(os.WriteFile(filepath.Join(folder, "bills-2026-03-02.jsonl"), []byte(`{"ind`), 0o600)).To(Succeed())
		l = open()
		l.Append(entry(4, day))
		l.Append(entry(5, day.Add(time.Hour)))
		Expect(l.Close()).To(Succeed())
		Expect(indexes("bills-2026-03-01.jsonl")).To(Equal([]uint64{4}))
		Expect(indexes("bills-2026-03-02.jsonl")).To(Equal([]uint64{5}))
	})
	It("returns an error for a file that is damaged before its end", func() {
		Expect(os.MkdirAll(folder, 0o700)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(folder, "bills-2026-03-01.jsonl"), []byte("damage\n{\"index\":2}\n"), 0o600)).To(Succeed())
		_, err := ledger.Open(folder)
		Expect(ledger.Error.Has(err)).To(BeTrue())
	})
	It("returns the error of a failed write from each later Sync, so that the log with the bills is kept", func() {
		Expect(os.WriteFile(folder, nil, 0o600)).To(Succeed())
		_, err := ledger.Open(folder)
		Expect(err).To(HaveOccurred())
		Expect(os.Remove(folder)).To(Succeed())
		l := open()
		Expect(os.WriteFile(folder, nil, 0o600)).To(Succeed())
		l.Append(entry(1, day))
		Expect(l.Sync()).NotTo(Succeed())
		l.Append(entry(2, day))
		Expect(l.Sync()).NotTo(Succeed())
	})
})
