package controlstate

import (
	"unique"

	"clementinetray/api/control"
)

// callRecord is one non-idempotent call. holder and requestID identify the request that may dispatch it.
type callRecord struct {
	bodyHash  tableKey
	requestID string
	holder    unique.Handle[Holder]
	state     control.CallState
	answer    *control.CallAnswer
}

type callTable struct {
	records *table[callRecord]
	// openCalls counts the calls in progress of each holder.
	openCalls map[unique.Handle[Holder]]int
	// cancelled holds the hashes of cancelled requests, so that a BeginCall that was delayed in the network can't record a
	// call that no instance will finish.
	cancelled *table[struct{}]
	// keysWithBody lists the keys of records with a stored answer body, oldest first.
	keysWithBody []tableKey
	answerBytes  int
}

func newCallTable() *callTable {
	return &callTable{
		records:   newTable[callRecord](MaxCalls),
		openCalls: map[unique.Handle[Holder]]int{},
		cancelled: newTable[struct{}](MaxCancelled),
	}
}

// beginCall records the call. Only the holder gets CallNew. It gets CallNew again if the same boot repeats the same
// request: the first reply may have been lost before the holder dispatched anything.
func (t *callTable) beginCall(c *control.BeginCallRequest, nowMillis int64) control.BeginCallReply {
	k := keyOf(c.Workspace, c.Key)
	if t.cancelled.get(keyOf(c.Workspace, c.Key, c.Request)) != nil {
		return control.BeginCallReply{State: control.CallOutcomeUnknown, Holder: c.Request}
	}
	holder := unique.Make(Holder{c.Instance, c.Boot})
	r := t.records.get(k)
	if r == nil {
		record := callRecord{bodyHash: keyOf(c.BodyHash), requestID: c.Request, holder: holder, state: control.CallInProgress}
		if t.records.put(k, record, nowMillis) == nil {
			return control.BeginCallReply{State: control.CallTableFull}
		}
		t.openCalls[holder]++
		return control.BeginCallReply{State: control.CallNew, Holder: c.Request}
	}
	reply := control.BeginCallReply{State: r.state, Holder: r.requestID}
	switch {
	case r.bodyHash != keyOf(c.BodyHash):
		reply.State = control.CallKeyReused
	case r.state == control.CallInProgress && r.requestID == c.Request && r.holder == holder:
		reply.State = control.CallNew
	case r.state == control.CallDone:
		answer := *r.answer
		reply.Answer = &answer
	}
	return reply
}

// finishCall records the end of a call. Only the request that holds the key may end it. A stored answer is final. An
// unknown outcome may still be replaced by an answer, as the holder may have been disconnected rather than crashed.
func (t *callTable) finishCall(c *control.FinishCallRequest, nowMillis int64) {
	k := keyOf(c.Workspace, c.Key)
	r := t.records.get(k)
	if r == nil || r.requestID != c.Request || r.state == control.CallDone {
		return
	}
	if r.state == control.CallInProgress {
		t.decrementOpenCalls(r.holder)
	}
	switch {
	case c.Cancelled:
		t.records.remove(k)
		t.cancelled.putEvictingOldest(keyOf(c.Workspace, c.Key, c.Request), struct{}{}, nowMillis)
		return
	case c.Unknown || c.Answer == nil:
		r.state = control.CallOutcomeUnknown
	default:
		r.state = control.CallDone
		t.storeAnswer(k, r, c.Answer)
	}
	t.records.touch(k, nowMillis)
}

// storeAnswer stores the answer in the record, without its body if that exceeds control.MaxStoredAnswerBytes. It drops the
// oldest bodies when the stored bodies exceed MaxAnswerBytes in total.
func (t *callTable) storeAnswer(k tableKey, r *callRecord, a *control.CallAnswer) {
	kept := *a
	if len(kept.Body) > control.MaxStoredAnswerBytes {
		kept.Body, kept.Truncated = nil, true
	}
	r.answer = &kept
	if len(kept.Body) == 0 {
		return
	}
	t.keysWithBody = append(t.keysWithBody, k)
	t.answerBytes += len(kept.Body)
	for t.answerBytes > MaxAnswerBytes {
		t.dropBody(t.keysWithBody[0])
		t.keysWithBody = t.keysWithBody[1:]
	}
}

func (t *callTable) dropBody(k tableKey) {
	r := t.records.get(k)
	if r == nil || r.answer == nil || len(r.answer.Body) == 0 {
		return
	}
	t.answerBytes -= len(r.answer.Body)
	r.answer = &control.CallAnswer{Status: r.answer.Status, ContentType: r.answer.ContentType, Truncated: true}
}

func (t *callTable) decrementOpenCalls(h unique.Handle[Holder]) {
	if t.openCalls[h]--; t.openCalls[h] <= 0 {
		delete(t.openCalls, h)
	}
}

// markOutcomesUnknown marks the calls in progress of the holder as outcome unknown and returns their number.
func (t *callTable) markOutcomesUnknown(h Holder) int {
	handle := unique.Make(h)
	n := 0
	if t.openCalls[handle] == 0 {
		return n
	}
	t.records.each(func(_ tableKey, r *callRecord, _ int64) {
		if r.holder == handle && r.state == control.CallInProgress {
			r.state = control.CallOutcomeUnknown
			n++
		}
	})
	delete(t.openCalls, handle)
	return n
}

func (t *callTable) expire(nowMillis int64) {
	t.cancelled.expire(nowMillis-CancelledTTL.Milliseconds(), nil)
	t.records.expire(nowMillis-CallTTL.Milliseconds(), func(k tableKey, r *callRecord) {
		if r.state == control.CallInProgress {
			t.decrementOpenCalls(r.holder)
		}
		if len(t.keysWithBody) > 0 && t.keysWithBody[0] == k {
			t.dropBody(k)
			t.keysWithBody = t.keysWithBody[1:]
		}
	})
}

// OpenCallsByHolder returns the number of calls in progress of each holder that has any.
func (s *State) OpenCallsByHolder() map[Holder]int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	holders := make(map[Holder]int, len(s.calls.openCalls))
	for h, n := range s.calls.openCalls {
		holders[h.Value()] = n
	}
	return holders
}
