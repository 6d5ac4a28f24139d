package controlstate

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"
	"time"

	"clementinetray/api/control"
)

// lastBatch holds the hash of the last batch of bills from one boot of an entry instance, and the result of recording it.
type lastBatch struct {
	Content              tableKey
	Recorded, Duplicates int
}

type billTable struct {
	// callerKeys holds the keys that callers chose, requestKeys those that are request ids. In a shared window the request
	// ids would evict the callers' keys within 40 s at 5,000 requests/s. Request ids repeat only within seconds; callers'
	// keys may repeat much later.
	callerKeys  *table[struct{}]
	requestKeys *table[struct{}]
	lastBatches *table[lastBatch]
	totals      map[string]control.WorkspaceBill
	// recordedCount is the number of bills recorded over the life of the control group.
	recordedCount uint64
	// newBills holds the bills that the current command has recorded so far.
	newBills []control.Bill
}

func newBillTable() *billTable {
	return &billTable{
		callerKeys:  newTable[struct{}](MaxBillingKeys),
		requestKeys: newTable[struct{}](MaxBillingKeys),
		lastBatches: newTable[lastBatch](MaxBatches),
		totals:      map[string]control.WorkspaceBill{},
	}
}

// recordBatch adds the bills of one batch. Repeating the last batch of the same boot changes nothing and returns the first
// result. In other batches, each bill whose key is in a deduplication window is dropped and counted as a duplicate.
func (t *billTable) recordBatch(c *control.RecordBillsRequest, nowMillis int64) control.RecordBillsReply {
	sender := keyOf(c.Instance, c.Boot)
	content := hashBatch(c.Bills)
	last := t.lastBatches.get(sender)
	if last != nil && last.Content == content {
		return control.RecordBillsReply{Recorded: last.Recorded, Duplicates: last.Duplicates}
	}
	reply := control.RecordBillsReply{}
	for i := range c.Bills {
		if t.addBill(&c.Bills[i], nowMillis) {
			reply.Recorded++
		} else {
			reply.Duplicates++
		}
	}
	entry := lastBatch{Content: content, Recorded: reply.Recorded, Duplicates: reply.Duplicates}
	if last != nil {
		*last = entry
		t.lastBatches.touch(sender, nowMillis)
	} else {
		t.lastBatches.putEvictingOldest(sender, entry, nowMillis)
	}
	return reply
}

func hashBatch(bills []control.Bill) tableKey {
	h := sha256.New()
	for i := range bills {
		k := keyOf(bills[i].Workspace, bills[i].Key, bills[i].Request)
		h.Write(k[:])
	}
	return tableKey(h.Sum(nil)[:16])
}

// addBill records one bill and returns true, unless its key is in a deduplication window. For a bill without a key, the
// request id is used.
func (t *billTable) addBill(b *control.Bill, nowMillis int64) bool {
	window, key := t.callerKeys, b.Key
	if key == "" || key == b.Request {
		window, key = t.requestKeys, b.Request
	}
	k := keyOf(b.Workspace, key)
	if t.callerKeys.get(k) != nil || t.requestKeys.get(k) != nil {
		return false
	}
	window.putEvictingOldest(k, struct{}{}, nowMillis)
	t.addToTotal(b)
	t.recordedCount++
	t.newBills = append(t.newBills, *b)
	return true
}

// addToTotal adds the bill to the total of its workspace. Workspaces beyond MaxBilledWorkspaces share the total under the
// empty name, so that no amount is lost.
func (t *billTable) addToTotal(b *control.Bill) {
	name := b.Workspace
	if _, ok := t.totals[name]; !ok && len(t.totals) >= MaxBilledWorkspaces {
		name = ""
	}
	w := t.totals[name]
	w.Workspace = name
	w.Bills++
	if !b.Complete {
		w.Incomplete++
	}
	for _, line := range b.Lines {
		w.OutputTokens += uint64(max(0, line.OutputTokens))
		w.CostMicros += line.CostMicros
	}
	t.totals[name] = w
}

func (t *billTable) expire(nowMillis int64) {
	t.callerKeys.expire(nowMillis-BillingKeyTTL.Milliseconds(), nil)
	t.requestKeys.expire(nowMillis-BillingKeyTTL.Milliseconds(), nil)
	t.lastBatches.expire(nowMillis-BatchTTL.Milliseconds(), nil)
}

// LedgerEntry holds the bills that one command recorded.
type LedgerEntry struct {
	// Index is the log index of the command.
	Index uint64 `json:"index"`
	// Sequence is the number of the first bill, counted from 1 over the life of the control group. A gap between entries
	// means that this replica received the bills in between in a snapshot; only the ledgers of other replicas hold them.
	Sequence uint64         `json:"sequence"`
	At       time.Time      `json:"at"`
	Bills    []control.Bill `json:"bills"`
}

// Ledger stores every recorded bill. Its methods are called by the goroutine that applies commands.
type Ledger interface {
	// Append adds an entry. After a restart, entries that the ledger already holds may be appended again.
	Append(e LedgerEntry)
	// Sync returns nil once all appended entries are durable, and an error when they may not be. After an error of class
	// wal.ErrFull, a later call may succeed; the entries are kept until then.
	Sync() error
}

// SetLedger sets the ledger that recorded bills are appended to. It must be called before the first command is applied.
func (s *State) SetLedger(l Ledger) { s.ledger = l }

// appendToLedger appends the bills that the current command recorded to the ledger.
func (s *State) appendToLedger(index uint64) {
	bills := s.bills.newBills
	s.bills.newBills = nil
	if s.ledger != nil && len(bills) > 0 {
		first := s.bills.recordedCount - uint64(len(bills)) + 1
		s.ledger.Append(LedgerEntry{Index: index, Sequence: first, At: s.timeLocked(), Bills: bills})
	}
}

// WorkspaceBills returns the bill total of each workspace, sorted by name.
func (s *State) WorkspaceBills() []control.WorkspaceBill {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.SortedFunc(maps.Values(s.bills.totals), func(a, b control.WorkspaceBill) int {
		return cmp.Compare(a.Workspace, b.Workspace)
	})
}
