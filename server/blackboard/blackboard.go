// Package blackboard holds the state that the controllers of one process share. Each section has one writer and any
// number of readers. Readers get immutable values without taking a lock.
package blackboard

import (
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("blackboard")

// ErrWriterTaken is returned by Section.Writer after its first call.
var ErrWriterTaken = Error.New("the section already has a writer")

// Section holds one value of the blackboard, which one writer replaces. It must be created by NewSection.
type Section[T any] struct {
	current   atomic.Pointer[versionedValue[T]]
	hasWriter atomic.Bool
}

// versionedValue is a value of a section. version is 0 for the initial value and grows by 1 with each published one.
type versionedValue[T any] struct {
	value   T
	version uint64
	// replaced is closed when the next value is published.
	replaced chan struct{}
}

// NewSection returns a section that holds the initial value.
func NewSection[T any](initial T) *Section[T] {
	s := &Section[T]{}
	s.current.Store(&versionedValue[T]{value: initial, replaced: make(chan struct{})})
	return s
}

// Load returns the current value, which must not be modified.
func (s *Section[T]) Load() T { return s.current.Load().value }

// Watch returns the current value and a channel that is closed when a newer value is published.
func (s *Section[T]) Watch() (T, <-chan struct{}) {
	current := s.current.Load()
	return current.value, current.replaced
}

// Version returns the number of values published so far, without the initial one.
func (s *Section[T]) Version() uint64 { return s.current.Load().version }

// Writer returns the writer of the section. Further calls return ErrWriterTaken.
func (s *Section[T]) Writer() (*Writer[T], error) {
	if !s.hasWriter.CompareAndSwap(false, true) {
		return nil, ErrWriterTaken
	}
	return &Writer[T]{section: s}, nil
}

// Writer publishes values of a section. It must be used by one goroutine at a time.
type Writer[T any] struct{ section *Section[T] }

// Publish replaces the value and notifies the watchers. The value must not be modified afterwards.
func (w *Writer[T]) Publish(value T) {
	old := w.section.current.Load()
	w.section.current.Store(&versionedValue[T]{value: value, version: old.version + 1, replaced: make(chan struct{})})
	close(old.replaced)
}
