package controlsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"clementinetray/api/problem"
)

// maxLatestAttempts bounds how often a change to the latest revision is tried while other changes are made at the same time.
const maxLatestAttempts = 20

// latestChange is the body of a change that applies to the latest revision, whichever that is (control.ChangeBase.Latest).
type latestChange map[string]json.RawMessage

// parseLatest returns the body of a request that is such a change. Dry runs change nothing and are left out.
func parseLatest(body []byte) (latestChange, bool) {
	if !bytes.Contains(body, []byte(`"latest"`)) {
		return nil, false
	}
	var change latestChange
	if json.Unmarshal(body, &change) != nil || !change.isTrue("latest") || change.isTrue("dry_run") {
		return nil, false
	}
	return change, true
}

func (c latestChange) isTrue(field string) bool { return string(c[field]) == "true" }

// basedOn returns the body of the same change with a base revision.
func (c latestChange) basedOn(revision uint64) ([]byte, error) {
	delete(c, "latest")
	c["base_revision"] = json.RawMessage(strconv.FormatUint(revision, 10))
	return json.Marshal(c)
}

// serveLatest answers a change that applies to the latest revision. A copy of it may be read, passed on or committed long after its
// caller has given it up, sent it to another replica and had a newer change confirmed, which it must not undo. So the change is based on
// a revision that this replica confirmed after it had read the change, and is passed on only if the caller still waits after that. Every
// change that the caller sends later gets a higher revision, and a copy that comes after it is a conflict, wherever it was held up.
//
// Without Latest, an order that is in force already makes a revision too. Otherwise a copy that was held up before that order was
// confirmed could still undo it.
func (s *Service) serveLatest(w http.ResponseWriter, r *http.Request, change latestChange) {
	var reply *replyWriter
	for attempt := 1; attempt == 1 || reply.isConflict() && attempt <= maxLatestAttempts; attempt++ {
		revision, err := s.confirmRevision(r.Context())
		if err != nil {
			writeUnavailable(w, "the state can't be confirmed: "+err.Error())
			return
		}
		if err := s.CheckWaiting(r.Context()); err != nil {
			s.Logger.Warn("operator change not taken", "path", r.URL.Path, "error", err)
			writeUnavailable(w, "the change was not taken: "+err.Error())
			return
		}
		body, err := change.basedOn(revision)
		if err != nil {
			problem.New(problem.InvalidRequest, err.Error()).Write(w)
			return
		}
		reply = newReplyWriter()
		s.answerOnLeader(reply, r, body)
	}
	reply.copyTo(w)
}

// confirmRevision returns the configuration revision of a state that includes all changes that were committed before the call.
func (s *Service) confirmRevision(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := s.Log.ReadIndex(ctx); err != nil {
		return 0, err
	}
	return s.State.View().ConfigRevision, nil
}
