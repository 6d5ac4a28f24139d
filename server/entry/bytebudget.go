package entry

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// byteBudget bounds the memory that all answers of backend servers, or all bodies of requests, take together while they are
// buffered. Without it, backend servers that send bytes without end, or many large requests at once, would use up the memory of
// the instance.
type byteBudget struct {
	limit int64
	// countSmall makes what is up to uncountedBytes count too, and keeps a part of the limit for it.
	countSmall bool
	used       atomic.Int64

	mu sync.Mutex // guards usedBy and changes of used
	// usedBy holds the bytes of each owner that is bounded by itself.
	usedBy map[string]int64
}

// take reserves size bytes more for a share that holds held, while no more than limit are in use, and no more than ownLimit by the owner if
// ownLimit is set. Without room it gives back what the share holds in the same step: of several shares that grow at once, the others then find
// this room, so that the last one is never refused for want of what refused ones still hold.
func (b *byteBudget) take(owner string, held, size, limit, ownLimit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used.Load()+size > limit || ownLimit > 0 && b.usedBy[owner]+size > ownLimit {
		b.add(owner, -held, ownLimit)
		return false
	}
	b.add(owner, size, ownLimit)
	return true
}

func (b *byteBudget) release(owner string, size, ownLimit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(owner, -size, ownLimit)
}

// add changes the number of bytes in use. The caller holds mu.
func (b *byteBudget) add(owner string, size, ownLimit int64) {
	b.used.Add(size)
	if ownLimit == 0 {
		return
	}
	if b.usedBy == nil {
		b.usedBy = map[string]int64{}
	}
	if b.usedBy[owner] += size; b.usedBy[owner] <= 0 {
		delete(b.usedBy, owner)
	}
}

// largeLimit returns the part of the limit that is open to what is over uncountedBytes.
func (b *byteBudget) largeLimit() int64 {
	if b.countSmall {
		return b.limit - b.limit/smallShare
	}
	return b.limit
}

// errBufferFull means that the bytes of an answer or body have no room.
var errBufferFull = errs.Class("buffer full")

const (
	// bufferStep is the number of bytes that a bufferShare takes at a time.
	bufferStep = 64 << 10
	// uncountedBytes is the size up to which an answer is not counted: that of nearly all.
	uncountedBytes = 32 << 10
	// smallStep is the number of bytes that a bufferShare takes at a time up to uncountedBytes, if these are counted.
	smallStep = 4 << 10
	// smallShare is the divisor of the part that is kept for bodies of up to uncountedBytes, so that ordinary requests are read
	// while large ones take all that is open to them.
	smallShare = 8
	// ownerPercent is the part of the limit that one of several owners may hold, so that the others' requests are read while one
	// floods. A chat request of 4 MB takes 20 MB for its copies, of the 28 MB on the smallest machine.
	ownerPercent = 75
)

// bufferShare is the part of a byteBudget that one attempt or request holds. It is not safe for concurrent use.
type bufferShare struct {
	buffer *byteBudget
	held   int64
	// owner is the workspace of the request, ownLimit the number of bytes that all its shares may hold; 0 for no such limit.
	owner    string
	ownLimit int64
}

// limitAlone returns the number of bytes that the share gets while there is no other, for what is over uncountedBytes.
func (s *bufferShare) limitAlone() int64 {
	limit := s.buffer.largeLimit()
	if s.ownLimit > 0 {
		limit = min(limit, s.ownLimit)
	}
	return limit - bufferStep
}

// grow makes the share hold at least size bytes. If the buffer has no room for that, it releases the share and returns an error.
func (s *bufferShare) grow(size int) error {
	step, limit := int64(bufferStep), s.buffer.largeLimit()
	if size <= uncountedBytes {
		if !s.buffer.countSmall {
			return nil
		}
		step, limit = smallStep, s.buffer.limit
	}
	missing := (int64(size) - s.held + step - 1) / step * step
	if missing <= 0 {
		return nil
	}
	if !s.buffer.take(s.owner, s.held, missing, limit, s.ownLimit) {
		s.held = 0
		return Error.Wrap(errBufferFull.New("%d bytes are in use", s.buffer.limit))
	}
	s.held += missing
	return nil
}

// shrink gives back what the share holds beyond size bytes.
func (s *bufferShare) shrink(size int) {
	if size <= uncountedBytes && !s.buffer.countSmall {
		s.release()
		return
	}
	if surplus := s.held - (int64(size)+bufferStep-1)/bufferStep*bufferStep; surplus > 0 {
		s.buffer.release(s.owner, surplus, s.ownLimit)
		s.held -= surplus
	}
}

func (s *bufferShare) release() {
	s.buffer.release(s.owner, s.held, s.ownLimit)
	s.held = 0
}

// readPieces holds buffers of bufferStep bytes.
var readPieces = sync.Pool{New: func() any { return new([bufferStep]byte) }}

// readSmall reads up to limit bytes, at most uncountedBytes.
func (s *bufferShare) readSmall(r io.Reader, limit int) ([]byte, error) {
	if !s.buffer.countSmall {
		return io.ReadAll(io.LimitReader(r, int64(limit)))
	}
	var body []byte
	for len(body) < limit {
		if len(body) == cap(body) {
			size := min(limit, max(smallStep, 2*cap(body)))
			if err := s.grow(size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// readAll reads up to limit bytes into memory that the share accounts for. tooLong is set if there are more. What is over
// uncountedBytes is read in pieces and joined at the end: a buffer that grows would leave its earlier arrays to the garbage
// collector, which many large bodies at once would not wait for.
func (s *bufferShare) readAll(r io.Reader, limit int64) (body []byte, tooLong bool, err error) {
	body, err = s.readSmall(r, int(min(limit+1, uncountedBytes)))
	if err != nil || len(body) < uncountedBytes {
		return body, int64(len(body)) > limit, err
	}
	var pieces []*[bufferStep]byte
	defer func() {
		for _, piece := range pieces {
			readPieces.Put(piece)
		}
		s.shrink(cap(body))
	}()
	size, used := len(body), bufferStep
	for err == nil && int64(size) <= limit {
		if used == bufferStep {
			// Room for the pieces and for their copy, so that joining them can't fail.
			if err = s.grow(cap(body) + 2*(len(pieces)+1)*bufferStep); err != nil {
				return nil, false, err
			}
			pieces, used = append(pieces, readPieces.Get().(*[bufferStep]byte)), 0
		}
		var n int
		n, err = r.Read(pieces[len(pieces)-1][used:])
		size, used = size+n, used+n
	}
	if err != nil && err != io.EOF {
		return nil, false, err
	}
	if int64(size) > limit {
		return nil, true, nil
	}
	joined := append(make([]byte, 0, size), body...)
	for _, piece := range pieces {
		joined = append(joined, piece[:min(size-len(joined), bufferStep)]...)
	}
	body = joined
	return body, false, nil
}
