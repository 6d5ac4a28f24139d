package replica

import (
	"context"
	"sync"

	"clementinetray/server/raft"
	"clementinetray/server/wal"
)

// applyJob is a unit of work for the apply loop. Its parts are processed in the order of the fields.
type applyJob struct {
	restore *raft.Snapshot
	entries []raft.Entry
	// waiters holds the proposals that wait for entries, by log index.
	waiters map[uint64]*waiter
	// snapshotMeta, if set, requests a snapshot of the state after the entries. It holds the metadata for the snapshot.
	snapshotMeta *raft.SnapshotMeta
}

// waiter is a proposal that waits until its entry is applied.
type waiter struct {
	term uint64
	// size is the size of the command in bytes.
	size int
	done chan outcome
}

type outcome struct {
	result any
	err    error
}

func (w *waiter) finish(o outcome) { w.done <- o }

// applier runs the apply loop, the only goroutine that calls the state machine.
type applier struct {
	stateMachine StateMachine
	// onApplied is called after each job.
	onApplied func()
	// saveSnapshot makes a snapshot durable.
	saveSnapshot func(meta raft.SnapshotMeta, data []byte)
	// postponeSnapshot requests another snapshot later, after one failed on a full disk.
	postponeSnapshot func(error)
	// fail stops the replica.
	fail func(error)

	mu           sync.Mutex // guards the fields below
	queueChanged *sync.Cond
	queue        []applyJob
	closed       bool
	// applied is the index of the last applied entry.
	applied uint64
	// appliedChanged is closed and replaced whenever applied changes.
	appliedChanged chan struct{}
}

func newApplier(stateMachine StateMachine) *applier {
	a := &applier{stateMachine: stateMachine, appliedChanged: make(chan struct{})}
	a.queueChanged = sync.NewCond(&a.mu)
	return a
}

func (a *applier) push(job applyJob) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, job)
	a.queueChanged.Signal()
}

func (a *applier) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.queueChanged.Signal()
}

// takeJobs waits for jobs and returns all that are queued; false after close.
func (a *applier) takeJobs() ([]applyJob, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.queue) == 0 && !a.closed {
		a.queueChanged.Wait()
	}
	jobs := a.queue
	a.queue = nil
	return jobs, !a.closed
}

func (a *applier) run() {
	for {
		jobs, ok := a.takeJobs()
		if !ok {
			failWaiters(jobs)
			return
		}
		for i, job := range jobs {
			if err := a.runJob(job); err != nil {
				failWaiters(jobs[i:])
				a.fail(err)
				return
			}
		}
	}
}

func failWaiters(jobs []applyJob) {
	for _, job := range jobs {
		for _, w := range job.waiters {
			w.finish(outcome{err: ErrOutcomeUnknown.New("the replica stopped before the entry was applied")})
		}
	}
}

func (a *applier) runJob(job applyJob) error {
	if job.restore != nil {
		if err := a.stateMachine.Restore(job.restore.Data); err != nil {
			return Error.New("restore the snapshot at entry %d: %w", job.restore.Meta.Index, err)
		}
		a.setApplied(job.restore.Meta.Index)
	}
	for _, e := range job.entries {
		var result any
		if e.Kind == raft.EntryCommand {
			result = a.stateMachine.Apply(e.Index, e.Data)
		}
		a.setApplied(e.Index)
		w := job.waiters[e.Index]
		if w == nil {
			continue
		}
		delete(job.waiters, e.Index)
		if w.term != e.Term {
			w.finish(outcome{err: ErrOutcomeUnknown.New("another leader's entry took the place of the proposal")})
		} else {
			w.finish(outcome{result: result})
		}
	}
	if job.snapshotMeta != nil {
		data, err := a.stateMachine.Snapshot()
		switch {
		case err == nil:
			a.saveSnapshot(*job.snapshotMeta, data)
		case wal.ErrFull.Has(err):
			a.postponeSnapshot(err)
		default:
			return Error.New("snapshot of the state machine at entry %d: %w", job.snapshotMeta.Index, err)
		}
	}
	a.onApplied()
	return nil
}

func (a *applier) setApplied(index uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = index
	close(a.appliedChanged)
	a.appliedChanged = make(chan struct{})
}

func (a *applier) appliedIndex() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied
}

// waitApplied waits until the entry at index is applied. It returns ErrStopped once stopped is closed.
func (a *applier) waitApplied(ctx context.Context, index uint64, stopped <-chan struct{}) error {
	for {
		a.mu.Lock()
		applied, changed := a.applied, a.appliedChanged
		a.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-stopped:
			return ErrStopped.New("the replica stopped while entry %d was awaited", index)
		}
	}
}
