package entry

import (
	"context"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/problem"
)

const (
	// maxRoutedCrashes is the number of crashed backend servers after which a routed request is refused. It is above the number
	// for other requests, because a routed request shares its engine with a few dozen others, which fail in the same crash.
	maxRoutedCrashes = 3
	// crashDialTimeout is how long a backend server may take to accept a new connection after it broke one. If only the process
	// died, the connection is refused at once; if the machine died, nothing answers.
	crashDialTimeout = 300 * time.Millisecond
)

// setFingerprint sets the hash by which all instances identify the request. To save the hashing it is called only when crashes
// are recorded or one is to be reported.
func (rq *request) setFingerprint() {
	if rq.fingerprint == "" {
		rq.fingerprint = fingerprint(rq.workspaceName(), rq.routed.method+" "+rq.routed.target.String(), rq.routed.body)
	}
}

// checkRoutedCrashes refuses a request that crashed too many backend servers, no matter which instances sent it there.
func (h *Handler) checkRoutedCrashes(rq *request) *problem.Problem {
	view := h.cfg.Board.View.Load()
	if h.crashes.empty() && (view.View == nil || view.Quarantine == nil || len(view.Quarantine.Crashes) == 0) {
		return nil
	}
	rq.setFingerprint()
	return h.checkQuarantine(rq, maxRoutedCrashes)
}

// reportRoutedCrash checks whether the backend server still accepts connections, and reports a crash to the control group if not.
// If it does, the connection broke for another reason and no crash is counted for the request. If parts of the prompt may have
// caused the crash, it returns after the report, so that the request is not sent to another backend server before the control
// group has counted it. Otherwise the report is made in the background, and left out if the same version has answered the request: many
// copies of a popular request run on backend servers that crash at the same time for another reason.
func (h *Handler) reportRoutedCrash(rq *request, server *control.BackendServer, f *attemptError) {
	rq.setFingerprint()
	reports := h.crashReports(rq, server, f)
	if len(reports[0].Parts) > 0 {
		h.reportIfCrashed(server, reports)
		return
	}
	if h.answeredRequests.has(rq.answerHash(server), time.Now()) {
		reports = nil
	}
	h.background.Go(func() { h.reportIfCrashed(server, reports) })
}

// crashReports returns the reports on the crash of a backend server that ran the request: one for this crash, and if its parts are
// suspected only now, one more for each earlier crash.
func (h *Handler) crashReports(rq *request, server *control.BackendServer, f *attemptError) []control.ReportCrashRequest {
	if !f.answerBegan && !f.sentEvents {
		rq.unansweredCrashes = append(rq.unansweredCrashes, serverBoot{server.ID, server.Boot})
	}
	report := control.ReportCrashRequest{
		Fingerprint: rq.fingerprint, BackendServer: server.ID, Boot: server.Boot, Request: rq.id, Parts: h.suspectParts(rq, f),
	}
	reports := []control.ReportCrashRequest{report}
	if len(report.Parts) > 0 && !f.answerBegan {
		for _, earlier := range rq.unansweredCrashes[:len(rq.unansweredCrashes)-1] {
			report.BackendServer, report.Boot = earlier.server, earlier.boot
			reports = append(reports, report)
		}
	}
	return reports
}

// reportIfCrashed sends the reports if the backend server accepts no connection, and with them those of the attempts that were
// dropped there shortly before. An instance that has no path to the server reports nothing.
func (h *Handler) reportIfCrashed(server *control.BackendServer, reports []control.ReportCrashRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.ControlTimeout)
	defer cancel()
	err := h.probeServer(ctx, server, crashDialTimeout)
	if err == nil {
		return
	}
	h.recordRefusal(server, err)
	h.metrics.crashes.Inc()
	reports = append(reports, h.parts.takeDropped(serverBoot{server.ID, server.Boot}, time.Now())...)
	for i := range reports {
		h.sendCrashReport(ctx, &reports[i])
	}
}

func (h *Handler) sendCrashReport(ctx context.Context, report *control.ReportCrashRequest) {
	reply, err := h.cfg.Control.ReportCrash(ctx, report)
	if err != nil {
		h.cfg.Log.Warn("crash_not_reported", "request", report.Request, "backend_server", report.BackendServer, "error", err)
		return
	}
	h.crashes.put(report.Fingerprint, reply.Crashes, time.Now())
	h.parts.addReported(reply.Parts, time.Now())
	h.cfg.Log.Info("crash_reported", "request", report.Request, "backend_server", report.BackendServer, "boot", report.Boot, "crashes", reply.Crashes,
		"parts", report.Parts, "quarantined_parts", len(reply.Parts))
}
