package entry

import (
	"context"
	"sync"
	"time"

	"clementinetray/api/control"
)

// maxPendingReleases is the largest number of slots that wait to be released. Beyond it the oldest slot is dropped, and the
// control leader frees that slot when it expires.
const maxPendingReleases = 10_000

// slotHolder acquires and releases slots, the units of fleet-wide limits too small to be divided among instances. A slot stays
// listed as held until the control leader has confirmed its release.
type slotHolder struct {
	client  control.Client
	timeout time.Duration
	pending *pendingList[control.Slot]

	mu   sync.Mutex // guards held
	held map[control.Slot]struct{}
}

func newSlotHolder(cfg *Config) *slotHolder {
	s := &slotHolder{client: cfg.Control, timeout: cfg.ControlTimeout, held: map[control.Slot]struct{}{}}
	s.pending = newPendingList(maxPendingReleases, s.sendRelease)
	s.pending.onDropped = func(slot control.Slot) { s.removeHeld([]control.Slot{slot}) }
	return s
}

func (s *slotHolder) run(ctx context.Context) { s.pending.run(ctx) }

func (s *slotHolder) drain(ctx context.Context) int { return s.pending.drain(ctx) }

// acquire requests one slot of the limit key from the control leader. id identifies the slot, so that a repeated call acquires
// no second one. When the outcome is unknown the slot is released, as it may have been granted. release may be called more
// than once; only the first call has an effect.
func (s *slotHolder) acquire(ctx context.Context, key control.SlotKey, id string) (release func(), ok bool) {
	slot := control.Slot{Key: key, ID: id}
	s.mu.Lock()
	s.held[slot] = struct{}{}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	reply, err := s.client.AcquireSlot(ctx, &control.AcquireSlotRequest{Slot: slot})
	if err != nil {
		s.pending.add(slot)
		return nil, false
	}
	if !reply.Granted {
		s.removeHeld([]control.Slot{slot})
		return nil, false
	}
	var once sync.Once
	return func() { once.Do(func() { s.pending.add(slot) }) }, true
}

func (s *slotHolder) sendRelease(ctx context.Context, slots []control.Slot) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	if err := s.client.ReleaseSlot(ctx, &control.ReleaseSlotRequest{Slots: slots}); err != nil {
		return err
	}
	s.removeHeld(slots)
	return nil
}

func (s *slotHolder) removeHeld(slots []control.Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slot := range slots {
		delete(s.held, slot)
	}
}

// Slots returns the slots that this instance holds or may hold. The heartbeat reports them.
func (h *Handler) Slots() []control.Slot {
	h.slots.mu.Lock()
	defer h.slots.mu.Unlock()
	out := make([]control.Slot, 0, len(h.slots.held))
	for slot := range h.slots.held {
		out = append(out, slot)
	}
	return out
}
