package entry

import (
	"io"
	"sync/atomic"
)

// answerBuffer bounds the memory that all answers of backend servers together take while they are buffered. Without it, some
// backend servers that send bytes without end would use up the memory of the instance.
type answerBuffer struct {
	limit int64
	used  atomic.Int64
}

const (
	// bufferStep is the number of bytes that a bufferShare takes at a time.
	bufferStep = 64 << 10
	// uncountedBytes is the size up to which an answer is not counted: that of nearly all answers.
	uncountedBytes = 32 << 10
)

// bufferShare is the part of an answerBuffer that one attempt holds. It is not safe for concurrent use.
type bufferShare struct {
	buffer *answerBuffer
	held   int64
}

// grow makes the share hold at least size bytes. It returns an error if the buffer has no room for that.
func (s *bufferShare) grow(size int) error {
	if size <= uncountedBytes {
		return nil
	}
	missing := (int64(size) - s.held + bufferStep - 1) / bufferStep * bufferStep
	if missing <= 0 {
		return nil
	}
	if s.buffer.used.Add(missing) > s.buffer.limit {
		s.buffer.used.Add(-missing)
		return Error.New("answers of backend servers fill the buffer of %d bytes", s.buffer.limit)
	}
	s.held += missing
	return nil
}

func (s *bufferShare) release() {
	s.buffer.used.Add(-s.held)
	s.held = 0
}

// readAll reads up to limit bytes into memory that the share accounts for. tooLong is set if there are more.
func (s *bufferShare) readAll(r io.Reader, limit int64) (body []byte, tooLong bool, err error) {
	body = make([]byte, 0, 512)
	for {
		if int64(len(body)) > limit {
			return nil, true, nil
		}
		if len(body) == cap(body) {
			// append may double the capacity, and the old array is in use until the copy is done.
			if err := s.grow(3 * cap(body)); err != nil {
				return nil, false, err
			}
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Read(body[len(body):min(int64(cap(body)), limit+1)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, int64(len(body)) > limit, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}
