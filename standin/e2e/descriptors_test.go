package e2e_test

import (
	"net"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"clementinetray/standin/site"
)

var _ = Describe("a control instance without free descriptors", func() {
	// Guards against a process that ends because more connections are opened to it than it may have descriptors.
	It("stays alive, keeps its place in the group, and serves again once connections are closed", func() {
		f := startSite(site.Config{ControlCount: 3}, nil)
		leader := f.leader()
		limit := unix.Rlimit{Cur: 64, Max: 64}
		pid, err := strconv.Atoi(leader.PID())
		Expect(err).NotTo(HaveOccurred())
		Expect(unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)).To(Succeed())
		var open []net.Conn
		for range 120 {
			for _, address := range []string{leader.Operators, leader.Announcements, leader.Peers, leader.Callers} {
				if c, err := net.DialTimeout("tcp", address, 200*time.Millisecond); err == nil {
					open = append(open, c)
				}
			}
		}
		Expect(len(open)).To(BeNumerically(">", 100))
		Consistently(leader.Done(), 6*time.Second).ShouldNot(BeClosed())
		for _, c := range open {
			_ = c.Close()
		}
		Eventually(func() error { return f.SetOut(leader, "servers/dear-north", true) }).WithTimeout(20 * time.Second).Should(Succeed())
		Expect(leader.Done()).NotTo(BeClosed())
	})
})
