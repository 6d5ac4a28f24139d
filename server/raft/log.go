package raft

import "sort"

// entryLog holds in memory the entries after baseIndex.
type entryLog struct {
	baseIndex, baseTerm uint64
	entries             []Entry
	// stableIndex is the last entry that is durable on this node.
	stableIndex uint64
	commitIndex uint64
	// deliveredIndex is the last entry handed out in Ready.Committed.
	deliveredIndex uint64
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false when the log doesn't have that entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) hasEntry(index, term uint64) bool {
	held, ok := l.term(index)
	return ok && held == term
}

// entriesFrom returns entries from an index on, up to maxBytes in total. The first one is returned whatever its size.
func (l *entryLog) entriesFrom(from uint64, maxBytes int) []Entry {
	if from > l.lastIndex() || from <= l.baseIndex {
		return nil
	}
	all := l.entries[from-l.baseIndex-1:]
	size := 0
	for i := range all {
		size += len(all[i].Data) + entryOverheadBytes
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// entriesBetween returns the entries with an index above after, up to and including last.
func (l *entryLog) entriesBetween(after, last uint64) []Entry {
	if last <= after || after < l.baseIndex {
		return nil
	}
	a, b := after-l.baseIndex, last-l.baseIndex
	return l.entries[a:b:b]
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries from an index on. The remaining ones are copied because slices that were returned earlier
// may still be in use.
func (l *entryLog) truncate(from uint64) {
	kept := l.entries[:from-l.baseIndex-1]
	l.entries = append(make([]Entry, 0, len(kept)+16), kept...)
	l.stableIndex = min(l.stableIndex, from-1)
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	kept := l.entries[index-l.baseIndex:]
	l.entries = append(make([]Entry, 0, len(kept)+16), kept...)
	l.baseIndex, l.baseTerm = index, term
}

// reset empties the log and starts it after the last entry of a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term, stableIndex: index, commitIndex: index, deliveredIndex: index}
}

// firstIndexOfTerm returns the first index after baseIndex whose entry has the same term as the entry at index.
func (l *entryLog) firstIndexOfTerm(index uint64) uint64 {
	term, _ := l.term(index)
	for index > l.baseIndex+1 {
		if t, _ := l.term(index - 1); t != term {
			break
		}
		index--
	}
	return index
}

// lastIndexOfTerm returns the last index up to limit whose entry has the term, and false when there is none.
func (l *entryLog) lastIndexOfTerm(term, limit uint64) (uint64, bool) {
	limit = min(limit, l.lastIndex())
	if limit <= l.baseIndex {
		return 0, false
	}
	// Terms never decrease along the log.
	prefix := l.entries[:limit-l.baseIndex]
	n := sort.Search(len(prefix), func(i int) bool { return prefix[i].Term > term })
	if n == 0 || prefix[n-1].Term != term {
		return 0, false
	}
	return prefix[n-1].Index, true
}
