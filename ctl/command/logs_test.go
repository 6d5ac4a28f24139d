package command

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// writeLog writes lines into a file of the given name.
func writeLog(name string, lines ...string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)).To(Succeed())
	return path
}

var _ = Describe("explain from logs", func() {
	const (
		chosen  = `time=2026-03-01T12:00:00.100Z level=INFO msg=server_chosen instance=e1 request=r1 backend_server=s1 load=0.5`
		broken  = `time=2026-03-01T12:00:00.300Z level=INFO msg=attempt_failed instance=e1 request=r1 backend_server=s1 kind=broken error="broken: EOF" written=true`
		ended   = `time=2026-03-01T12:00:02Z level=INFO msg=stream_ended instance=e1 request=r1 backend_server=s2 status=200 took=1.9s first=1.2s longest_pause=80ms`
		refused = `time=2026-03-01T12:00:02Z level=INFO msg=request_refused instance=e1 request=r1 reason=stopping detail="the instance is stopping" not_run=true`
		gaveUp  = `time=2026-03-01T12:00:02Z level=INFO msg=request_refused instance=e1 request=r1 reason=outcome_unknown detail="" not_run=false`
		other   = `time=2026-03-01T12:00:00.200Z level=INFO msg=server_chosen instance=e1 request=r10 backend_server=s9`
	)
	DescribeTable("prints how a request ended and why, without a control group",
		func(lines []string, want string) {
			r := runTool(nil, "explain", "r1", "--log", writeLog("log", append(lines, other)...))
			Expect(r.code).To(Equal(ExitDone), r.err)
			Expect(r.out).To(HaveSuffix("\n\n" + want + "\n"))
			Expect(r.out).NotTo(ContainSubstring("s9"), "the id of another request has the same prefix")
		},
		Entry("refused", []string{refused}, "refused: stopping (the instance is stopping); it has not run"),
		Entry("given up", []string{chosen, broken, gaveUp}, "refused: outcome_unknown; it may have run, the last attempt failed with broken: EOF at s1"),
		Entry("answered by the second attempt", []string{chosen, broken, ended},
			"answered with status 200 after 1.9s by s2; first event after 1.2s, longest pause 80ms; an attempt before failed with broken: EOF at s1"),
		Entry("no final line", []string{chosen}, "no line says how it ended; the last is server_chosen. The process may have died, or its line was dropped."),
	)

	It("merges the logs of several processes by time, also if a collector prefixed the lines (guards against events in the wrong order)", func() {
		e1 := writeLog("e1", "  17.2 front-1 "+ended)
		e2 := writeLog("e2", "damaged time=yesterday request=r1", "  15.1 front-2 "+chosen, "15.3 front-2 "+broken)
		r := runTool(nil, "explain", "r1", "--log", e1, "--log", e2)
		Expect(r.code).To(Equal(ExitDone), r.err)
		lines := strings.Split(r.out, "\n")
		Expect(lines[0]).To(Equal("12:00:00.100  e1  server_chosen backend_server=s1 load=0.5"))
		Expect(lines[1]).To(ContainSubstring(`attempt_failed`))
		Expect(lines[2]).To(ContainSubstring("stream_ended"))
	})

	It("fails for a request that is in no log, and for a missing file", func() {
		Expect(runTool(nil, "explain", "r7", "--log", writeLog("log", chosen)).code).To(Equal(ExitRefused))
		Expect(runTool(nil, "explain", "r1", "--log", "/nowhere").code).To(Equal(ExitRefused))
	})
})
