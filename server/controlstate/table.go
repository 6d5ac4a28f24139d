package controlstate

import "crypto/sha256"

// tableKey is a truncated SHA-256 hash of the parts that identify a record. 128 bits keep a record small, and callers
// can't feasibly construct a collision.
type tableKey [16]byte

// keyOf hashes the parts with their lengths, so that ("ab", "c") and ("a", "bc") differ.
func keyOf(parts ...string) tableKey {
	var buf []byte
	for _, p := range parts {
		n := len(p)
		buf = append(buf, byte(n), byte(n>>8), byte(n>>16), byte(n>>24))
		buf = append(buf, p...)
	}
	sum := sha256.Sum256(buf)
	return tableKey(sum[:16])
}

// noSlot is the slot index that marks an end of a table's linked list.
const noSlot = int32(-1)

// slot holds one record. at is the time of its last touch; prev and next are indexes of table.slots.
type slot[V any] struct {
	key        tableKey
	value      V
	at         int64
	prev, next int32
}

// table is a bounded map whose records are linked in the order of their last touch, oldest first. Times are in Unix
// milliseconds. The times passed to put, putEvictingOldest and touch must not decrease, so that the list is also in the
// order of expiry.
type table[V any] struct {
	limit      int
	index      map[tableKey]int32
	slots      []slot[V]
	head, tail int32
	free       []int32
}

func newTable[V any](limit int) *table[V] {
	return &table[V]{limit: limit, index: map[tableKey]int32{}, head: noSlot, tail: noSlot}
}

func (t *table[V]) len() int { return len(t.index) }

func (t *table[V]) get(k tableKey) *V {
	if i, ok := t.index[k]; ok {
		return &t.slots[i].value
	}
	return nil
}

// put adds a record whose key must not be in the table. It returns a pointer to the stored value, which is valid until the
// next record is added, or nil when the table is full.
func (t *table[V]) put(k tableKey, v V, at int64) *V {
	if len(t.index) >= t.limit {
		return nil
	}
	var i int32
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
	} else {
		i = int32(len(t.slots))
		t.slots = append(t.slots, slot[V]{})
	}
	t.slots[i] = slot[V]{key: k, value: v, at: at}
	t.index[k] = i
	t.linkLast(i)
	return &t.slots[i].value
}

// putEvictingOldest adds a record whose key must not be in the table. When the table is full, it removes the oldest
// record.
func (t *table[V]) putEvictingOldest(k tableKey, v V, at int64) {
	if len(t.index) >= t.limit {
		t.remove(t.slots[t.head].key)
	}
	t.put(k, v, at)
}

func (t *table[V]) touch(k tableKey, at int64) {
	i, ok := t.index[k]
	if !ok {
		return
	}
	t.unlink(i)
	t.slots[i].at = at
	t.linkLast(i)
}

func (t *table[V]) remove(k tableKey) {
	i, ok := t.index[k]
	if !ok {
		return
	}
	t.unlink(i)
	delete(t.index, k)
	t.slots[i] = slot[V]{}
	t.free = append(t.free, i)
}

// expire removes the records whose last touch is at or before cutoff. Unless onExpire is nil, it is called for each
// record before the removal.
func (t *table[V]) expire(cutoff int64, onExpire func(tableKey, *V)) {
	for t.head != noSlot && t.slots[t.head].at <= cutoff {
		s := &t.slots[t.head]
		if onExpire != nil {
			onExpire(s.key, &s.value)
		}
		t.remove(s.key)
	}
}

// each calls visit for each record, oldest first. visit must not add or remove records.
func (t *table[V]) each(visit func(k tableKey, v *V, at int64)) {
	for i := t.head; i != noSlot; i = t.slots[i].next {
		visit(t.slots[i].key, &t.slots[i].value, t.slots[i].at)
	}
}

func (t *table[V]) linkLast(i int32) {
	t.slots[i].prev, t.slots[i].next = t.tail, noSlot
	if t.tail == noSlot {
		t.head = i
	} else {
		t.slots[t.tail].next = i
	}
	t.tail = i
}

func (t *table[V]) unlink(i int32) {
	s := t.slots[i]
	if s.prev == noSlot {
		t.head = s.next
	} else {
		t.slots[s.prev].next = s.next
	}
	if s.next == noSlot {
		t.tail = s.prev
	} else {
		t.slots[s.next].prev = s.prev
	}
}
