package controlstate

import (
	"fmt"
	"runtime"
	"testing"
	"unique"

	"clementinetray/api/control"
)

func encodeCommand(b *testing.B, c Command) []byte {
	b.Helper()
	c.At = epoch
	data, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func pinCommand(i int) Command {
	return Command{PinSession: &control.PinRequest{Workspace: "w", Session: fmt.Sprint("session-", i%MaxSessions), Proposed: ref("v1")}}
}

func batchCommand(i, n int) Command {
	c := Command{}
	for j := range n {
		request := fmt.Sprint("request-", i, "-", j)
		meta := control.Meta{Instance: "e1", Boot: "b1"}
		c.BeginCalls = append(c.BeginCalls, control.BeginCallRequest{Meta: meta, Workspace: "w", Key: fmt.Sprint((i*n + j) % 1000), BodyHash: "h", Request: request})
		c.BillBatches = append(c.BillBatches, control.RecordBillsRequest{Meta: meta, Bills: []control.Bill{bill("w", request, request, 9)}})
	}
	return c
}

func benchmarkApply(b *testing.B, newCommand func(i int) Command) {
	const distinct = 512
	var commands [distinct][]byte
	size := 0
	for i := range commands {
		commands[i] = encodeCommand(b, newCommand(i))
		size += len(commands[i])
	}
	s := New()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		s.Apply(uint64(i), commands[i%distinct])
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
	b.ReportMetric(float64(size)/distinct, "B/command")
}

func BenchmarkApplyPin(b *testing.B) { benchmarkApply(b, pinCommand) }

func BenchmarkApplyBatch1(b *testing.B) {
	benchmarkApply(b, func(i int) Command { return batchCommand(i, 1) })
}

func BenchmarkApplyBatch64(b *testing.B) {
	benchmarkApply(b, func(i int) Command { return batchCommand(i, 64) })
}

func BenchmarkEncodePin(b *testing.B) {
	b.ReportAllocs()
	for i := range b.N {
		encodeCommand(b, pinCommand(i))
	}
}

// reportBytesPerRecord reports the heap size of what build returns, divided by the number n of its records.
func reportBytesPerRecord(b *testing.B, n int, build func() any) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		kept := build()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/record")
		runtime.KeepAlive(kept)
	}
}

func BenchmarkMemorySessions(b *testing.B) {
	reportBytesPerRecord(b, MaxSessions, func() any {
		s := New()
		for i := range MaxSessions {
			s.sessions.put(keyOf("w", fmt.Sprint(i)), unique.Make(ref("v1")), 0)
		}
		return s
	})
}

func BenchmarkMemoryCalls(b *testing.B) {
	reportBytesPerRecord(b, MaxCalls, func() any {
		s := New()
		for i := range MaxCalls {
			in := control.BeginCallRequest{Meta: control.Meta{Instance: "e1", Boot: "b1"}, Workspace: "w", Key: fmt.Sprint(i),
				BodyHash: "h", Request: fmt.Sprintf("%032d", i)}
			s.calls.beginCall(&in, 0)
		}
		return s
	})
}

func BenchmarkMemoryBillingKeys(b *testing.B) {
	reportBytesPerRecord(b, MaxBillingKeys, func() any {
		s := New()
		for i := range MaxBillingKeys {
			s.bills.callerKeys.put(keyOf("w", fmt.Sprint(i)), struct{}{}, 0)
		}
		return s
	})
}

func fullState() *State {
	s := New()
	for i := range MaxSessions {
		k := fmt.Sprint(i)
		s.sessions.put(keyOf("w", k), unique.Make(ref("v1")), 0)
		s.calls.beginCall(&control.BeginCallRequest{Meta: control.Meta{Instance: "e1", Boot: "b1"}, Workspace: "w", Key: k,
			BodyHash: "h", Request: fmt.Sprintf("%032d", i)}, 0)
		s.bills.callerKeys.put(keyOf("w", k), struct{}{}, 0)
		s.bills.requestKeys.put(keyOf("w", k), struct{}{}, 0)
	}
	return s
}

func BenchmarkSnapshotFull(b *testing.B) {
	s := fullState()
	b.ResetTimer()
	for range b.N {
		data, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "B/snapshot")
	}
}

func BenchmarkRestoreFull(b *testing.B) {
	data, err := fullState().Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for range b.N {
		if err := New().Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}
