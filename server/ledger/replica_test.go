package ledger_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/controlstate"
	"clementinetray/server/controlsvc"
	"clementinetray/server/ledger"
	"clementinetray/server/peer"
	"clementinetray/server/replica"
)

// startReplica starts the only replica of a group with the data folder and waits until it is the leader. stop stops it
// without closing the ledger, so that the ledger's buffer is lost as in a crash.
func startReplica(dir string) (proposer *controlsvc.LogProposer, log *replica.Replica, stop func()) {
	GinkgoHelper()
	secret := []byte("secret")
	server, err := peer.Listen("127.0.0.1:0", secret, slog.New(slog.DiscardHandler))
	Expect(err).NotTo(HaveOccurred())
	pool := peer.NewPool(secret, time.Second)
	state := controlstate.New()
	l, err := ledger.Open(filepath.Join(dir, "ledger"))
	Expect(err).NotTo(HaveOccurred())
	state.SetLedger(l)
	log, err = replica.Start(replica.Config{
		ID: "c1", Address: server.Address(), Members: map[string]string{"c1": server.Address()}, Bootstrap: true,
		DataDir: filepath.Join(dir, "data"), Pool: pool, Server: server, StateMachine: state,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), CompactBytes: 16 << 10,
	})
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve() }()
	Eventually(func() bool { l, _ := log.LeadershipChanged(); return l.Leader }, "10s").Should(BeTrue())
	return controlsvc.NewProposer(log), log, func() {
		_ = log.Stop(context.Background())
		_ = server.Close()
		pool.Close()
	}
}

// sequences returns the sequence numbers of the bills in the ledger, in file order.
func sequences(dir string) []uint64 {
	names, err := filepath.Glob(filepath.Join(dir, "ledger", "*.jsonl"))
	Expect(err).NotTo(HaveOccurred())
	var found []uint64
	for _, name := range names {
		f, err := os.Open(name)
		Expect(err).NotTo(HaveOccurred())
		for lines := bufio.NewScanner(f); lines.Scan(); {
			var e controlstate.LedgerEntry
			Expect(json.Unmarshal(lines.Bytes(), &e)).To(Succeed(), lines.Text())
			for i := range e.Bills {
				found = append(found, e.Sequence+uint64(i))
			}
		}
		_ = f.Close()
	}
	return found
}

var _ = Describe("a ledger behind a replica", func() {
	// Guards against bills that are lost when a snapshot replaces the log before the ledger is synced, and against bills that
	// a replay writes a second time.
	It("holds each bill once after crashes with lost buffers, replays and snapshots", func() {
		dir := GinkgoT().TempDir()
		const rounds, requestsPerRound = 4, 150
		for round := range rounds {
			proposer, log, stop := startReplica(dir)
			for i := range requestsPerRound {
				request := fmt.Sprintf("r-%d-%d", round, i)
				in := control.RecordBillsRequest{
					Meta:  control.Meta{Instance: "e1", Boot: "b1"},
					Bills: []control.Bill{{Workspace: "w", Key: request, Request: request}, {Workspace: "w", Key: request, Request: request}},
				}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				_, err := proposer.ProposeCommand(ctx, &controlstate.Command{BillBatches: []control.RecordBillsRequest{in}})
				cancel()
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(log.Status().Applied).To(BeNumerically(">=", requestsPerRound))
			stop()
			Expect(len(sequences(dir))).To(BeNumerically("<", (round+1)*requestsPerRound), "the crash loses the buffered bills")
		}
		_, log, stop := startReplica(dir)
		Expect(log.ReadIndex(context.Background())).To(Succeed())
		stop()
		found := sequences(dir)
		for i, n := range found {
			Expect(n).To(Equal(uint64(i+1)), "no bill is missing or written twice")
		}
		Expect(len(found)).To(BeNumerically(">", requestsPerRound), "the snapshots synced the ledger")
	})
})
