package controlsvc

import (
	"context"
	"runtime/debug"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"clementinetray/api/control"
	"clementinetray/api/event"
	"clementinetray/server/controlclient"
	"clementinetray/server/controlstate"
	"clementinetray/server/fleet"
	"clementinetray/server/limits"
	"clementinetray/server/replica"
)

// Sync implements the RPC method of control.Client. Each replica answers it, followers too.
func (s *Service) Sync(in *control.SyncRequest, out *control.SyncReply) (failure error) {
	defer s.recoverCall("Sync", &failure)
	s.Clock.Observe(in.Stamp)
	started := s.Now()
	// The age is read before the view, so that the view is never older than the reported age.
	age, known := s.Log.MaxStateAge(started)
	l, _ := s.Log.LeadershipChanged()
	out.View, out.Revision = s.State.ViewSince(in.Revision)
	var err error
	if out.Fleet, err = s.fleetDelta(started, in); err != nil {
		return err
	}
	out.Ratings = s.Ratings.TableIfNewer(in.RatingsVersion)
	out.Leader = l.LeaderAddress
	if l.Leader {
		out.Leader = s.PeerAddress
	}
	for _, m := range s.Log.Status().Members {
		out.Replicas = append(out.Replicas, m.Address)
	}
	out.FreshAge = unknownStateAge
	if known {
		out.FreshAge = age + s.Now().Sub(started)
	}
	out.Meta = s.newMeta()
	return nil
}

// recoverCall makes a panic in a method an error of the call. net/rpc would end the process, and a message that causes a panic is sent
// again to the next leader. The outcome of the call is unknown.
func (s *Service) recoverCall(method string, failure *error) {
	cause := recover()
	if cause == nil {
		return
	}
	s.Logger.Error("panic", "method", method, "cause", cause, "stack", string(debug.Stack()))
	*failure = control.ErrUnavailable.New("panic in %s", method)
}

// fleetDelta returns the changes of the fleet table in the form that the sender accepts.
func (s *Service) fleetDelta(now time.Time, in *control.SyncRequest) (control.FleetDelta, error) {
	if in.AcceptsParts {
		return s.FleetTable.ReadPart(now, in)
	}
	d := s.FleetTable.Delta(now, in.FleetEpoch, in.FleetVersion)
	if !in.AcceptsPacked {
		return d, nil
	}
	return fleet.PackRows(d)
}

// requireLeader returns ErrNotLeader unless this replica is the leader and has reset its soft state (the state that isn't
// in the log) for the term.
func (s *Service) requireLeader() error {
	l, _ := s.Log.LeadershipChanged()
	if !l.Leader {
		return controlclient.NotLeaderError(l.LeaderAddress)
	}
	if s.readyTerm.Load() != l.Term {
		return controlclient.NotLeaderError("")
	}
	return nil
}

// requireLease is requireLeader with a further condition: the last contact with a majority must be at most leaderLease ago.
// Otherwise another replica may have become the leader.
func (s *Service) requireLease(now time.Time) error {
	if err := s.requireLeader(); err != nil {
		return err
	}
	if age, known := s.Log.MaxStateAge(now); !known || age > leaderLease {
		return controlclient.NotLeaderError("")
	}
	return nil
}

// clientError maps the error of a proposal to an error class that control.Client handles.
func (s *Service) clientError(err error) error {
	switch {
	case err == nil:
		return nil
	case replica.ErrNotLeader.Has(err):
		l, _ := s.Log.LeadershipChanged()
		return controlclient.NotLeaderError(l.LeaderAddress)
	case control.ErrTableFull.Has(err), control.ErrInvalid.Has(err), control.ErrUnavailable.Has(err):
		return err
	default:
		return control.ErrUnavailable.Wrap(err)
	}
}

// propose commits a command that isn't batched and maps its error for the client.
func (s *Service) propose(c *controlstate.Command) (any, error) {
	result, err := s.Proposer.ProposeCommand(context.Background(), c)
	return result, s.clientError(err)
}

// requireFields checks that each field is non-empty UTF-8. The arguments are pairs of name and value.
func requireFields(fields ...string) error {
	for i := 0; i+1 < len(fields); i += 2 {
		// Commands are stored as JSON, whose encoder would map different invalid byte sequences to the same name.
		if fields[i+1] == "" || !utf8.ValidString(fields[i+1]) {
			return control.ErrInvalid.New("%s is empty or not UTF-8", fields[i])
		}
	}
	return nil
}

// checkWrite makes the checks common to all methods of the leader: required fields (pairs of name and value) and
// leadership.
func (s *Service) checkWrite(stamp event.Stamp, fields ...string) error {
	s.Clock.Observe(stamp)
	if err := requireFields(fields...); err != nil {
		return err
	}
	return s.requireLeader()
}

// Heartbeat implements the RPC method of control.Client. Only the leader accepts it.
func (s *Service) Heartbeat(in *control.HeartbeatRequest, out *control.HeartbeatReply) (failure error) {
	defer s.recoverCall("Heartbeat", &failure)
	if err := s.checkWrite(in.Stamp, "Instance", in.Instance, "Boot", in.Boot); err != nil {
		return err
	}
	now := s.Now()
	if err := s.requireLease(now); err != nil {
		return err
	}
	effect := s.members.recordHeartbeat(now, in)
	if effect.retired {
		return control.ErrInvalid.New("boot %s of %s was replaced by another boot", in.Boot, in.Instance)
	}
	if effect.replacedBoot != "" {
		s.Allocator.InstanceLeft(now, in.Instance, effect.replacedBoot, false)
		s.Logger.Info("entry instance replaced", "instance", in.Instance, "boot", in.Boot, "old_boot", effect.replacedBoot)
	}
	if effect.joined {
		s.Recorder.Record(event.Event{Kind: "member_joined", AvailabilityZone: in.Member.AvailabilityZone,
			Detail: map[string]string{"member": in.Instance, "boot": in.Boot}})
	}
	s.FleetTable.Heartbeat(now, in.Member, in.Leaving)
	if s.ServiceRollouts != nil {
		s.ServiceRollouts.AddRolloutTimes(now, in.RolloutTimes)
		s.ServiceRollouts.PutRolloutSamples(in.Instance, in.Boot, in.RolloutSamples)
	}
	for _, suspect := range in.Suspects {
		if suspect.Reason == control.SuspectLeaving {
			s.FleetTable.MarkSaysLeaving(now, suspect.BackendServer, suspect.Boot)
		}
	}
	for _, r := range in.Brittle {
		s.FleetTable.MarkBrittle(now, r)
	}
	if effect.newCounts {
		for _, sink := range s.OutcomeSinks {
			sink.AddOutcomes(now, in.Instance, in.Outcomes)
			sink.AddSuspects(now, in.Instance, in.Suspects)
		}
	}
	out.Grants = s.Allocator.Heartbeat(now, in, s.limitSource)
	out.TTL = limits.GrantTTL
	if s.Shares != nil {
		s.Shares.Heartbeat(now, in, out)
	}
	if effect.left {
		s.Allocator.InstanceLeft(now, in.Instance, in.Boot, true)
		if s.Shares != nil {
			s.Shares.Leave(in.Instance, in.Boot)
		}
		out.Grants = nil
		s.Recorder.Record(event.Event{Kind: "member_left", AvailabilityZone: in.Member.AvailabilityZone,
			Detail: map[string]string{"member": in.Instance, "boot": in.Boot}})
	}
	out.Meta = s.newMeta()
	return nil
}

// recordTimeout bounds the wait for the record of announcements. Backend servers wait one second for the answer and then ask
// another process.
const recordTimeout = 700 * time.Millisecond

// Announce implements the RPC method of control.Client. Only the leader accepts it. An announcement that the table refuses
// is logged and skipped, because backend servers repeat their announcements. Announce returns nil once the next leader would
// know of each start and departure in the request: a server that leaves may not say so again.
func (s *Service) Announce(in *control.AnnounceRequest, out *control.Empty) (failure error) {
	defer s.recoverCall("Announce", &failure)
	if err := s.checkWrite(in.Stamp); err != nil {
		return err
	}
	now := s.Now()
	for _, a := range in.Announcements {
		if err := s.FleetTable.Announce(now, a); err != nil {
			s.Logger.Warn("announcement refused", "backend_server", a.ID, "boot", a.Boot, "from", in.Instance, "error", err)
		}
	}
	for _, l := range in.Leaves {
		s.FleetTable.MarkLeaving(now, l)
	}
	if err := s.awaitRecorded(in); err != nil {
		return err
	}
	out.Meta = s.newMeta()
	return nil
}

// awaitRecorded waits until the backend servers in the request are recorded. Refused announcements count too: they may repeat one
// whose record was not confirmed in time.
func (s *Service) awaitRecorded(in *control.AnnounceRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	ids := make([]string, 0, len(in.Announcements)+len(in.Leaves))
	for _, a := range in.Announcements {
		ids = append(ids, a.ID)
	}
	for _, l := range in.Leaves {
		ids = append(ids, l.ID)
	}
	waited, err := s.ServerRecorder.AwaitRecorded(ctx, ids)
	if err != nil {
		return control.ErrUnavailable.Wrap(err)
	}
	if waited || len(in.Leaves) > 0 {
		return s.awaitCopies(ctx)
	}
	return nil
}

// PinSession implements the RPC method of control.Client. Only the leader accepts it.
func (s *Service) PinSession(in *control.PinRequest, out *control.PinReply) (failure error) {
	defer s.recoverCall("PinSession", &failure)
	err := s.checkWrite(in.Stamp, "Workspace", in.Workspace, "Session", in.Session,
		"Proposed.Model", in.Proposed.Model, "Proposed.Version", in.Proposed.Version)
	if err != nil {
		return err
	}
	result, err := s.propose(&controlstate.Command{PinSession: in})
	if err != nil {
		return err
	}
	reply, ok := result.(control.PinReply)
	if !ok {
		return Error.New("a pin got the result %T", result)
	}
	*out = reply
	out.Meta = s.newMeta()
	return nil
}

// BeginCall implements the RPC method of control.Client. Only the leader accepts it.
func (s *Service) BeginCall(in *control.BeginCallRequest, out *control.BeginCallReply) (failure error) {
	defer s.recoverCall("BeginCall", &failure)
	err := s.checkWrite(in.Stamp, "Workspace", in.Workspace, "Key", in.Key, "Request", in.Request,
		"BodyHash", in.BodyHash, "Instance", in.Instance, "Boot", in.Boot)
	if err != nil {
		return err
	}
	if s.members.isRetired(controlstate.Holder{Instance: in.Instance, Boot: in.Boot}) {
		return control.ErrInvalid.New("boot %s of %s was replaced by another boot", in.Boot, in.Instance)
	}
	item := &batchItem{begin: in, sizeBytes: 256 + len(in.Workspace) + len(in.Key) + len(in.Request)}
	if err := s.batcher.submit(item); err != nil {
		return s.clientError(err)
	}
	if item.beginReply.State == control.CallTableFull {
		return control.ErrTableFull.New("idempotency records")
	}
	*out = item.beginReply
	out.Meta = s.newMeta()
	return nil
}

// FinishCall implements the RPC method of control.Client. Only the leader accepts it.
func (s *Service) FinishCall(in *control.FinishCallRequest, out *control.Empty) (failure error) {
	defer s.recoverCall("FinishCall", &failure)
	err := s.checkWrite(in.Stamp, "Workspace", in.Workspace, "Key", in.Key, "Request", in.Request)
	if err != nil {
		return err
	}
	item := &batchItem{finish: dropLargeBody(in), sizeBytes: 256}
	if item.finish.Answer != nil {
		item.sizeBytes += len(item.finish.Answer.Body)
	}
	if err := s.batcher.submit(item); err != nil {
		return s.clientError(err)
	}
	out.Meta = s.newMeta()
	return nil
}

// dropLargeBody returns the request, without the body of the answer if that is over MaxStoredAnswerBytes: such a body must
// not enter the log. It doesn't modify its argument.
func dropLargeBody(in *control.FinishCallRequest) *control.FinishCallRequest {
	if in.Answer == nil || len(in.Answer.Body) <= control.MaxStoredAnswerBytes {
		return in
	}
	truncated := *in
	truncated.Answer = &control.CallAnswer{Status: in.Answer.Status, ContentType: in.Answer.ContentType, Truncated: true}
	return &truncated
}

// RecordBills implements the RPC method of control.Client. Only the leader accepts it.
func (s *Service) RecordBills(in *control.RecordBillsRequest, out *control.RecordBillsReply) (failure error) {
	defer s.recoverCall("RecordBills", &failure)
	if err := s.checkWrite(in.Stamp, "Instance", in.Instance, "Boot", in.Boot); err != nil {
		return err
	}
	size := 256
	for i := range in.Bills {
		b := &in.Bills[i]
		if err := requireFields("Workspace", b.Workspace, "Key or Request", b.Key+b.Request); err != nil {
			return err
		}
		size += 128 + len(b.Key) + len(b.Request) + 64*len(b.Lines)
	}
	item := &batchItem{bills: in, sizeBytes: size}
	if err := s.batcher.submit(item); err != nil {
		return s.clientError(err)
	}
	*out = item.billsReply
	out.Meta = s.newMeta()
	return nil
}

// ReportCrash implements the RPC method of control.Client. Only the leader accepts it.
func (s *Service) ReportCrash(in *control.ReportCrashRequest, out *control.ReportCrashReply) (failure error) {
	defer s.recoverCall("ReportCrash", &failure)
	err := s.checkWrite(in.Stamp, "Fingerprint", in.Fingerprint, "BackendServer", in.BackendServer, "Boot of the server", in.Boot)
	if err != nil {
		return err
	}
	result, err := s.propose(&controlstate.Command{ReportCrash: in})
	if err != nil {
		return err
	}
	reply, ok := result.(control.ReportCrashReply)
	if !ok {
		return Error.New("unexpected result type %T of a crash report", result)
	}
	*out = reply
	out.Meta = s.newMeta()
	if out.Crashes >= control.QuarantineCrashes {
		s.Recorder.Record(event.Event{Kind: "request_quarantined", Request: in.Request, BackendServer: in.BackendServer,
			Reason: in.Fingerprint, Detail: map[string]string{"crashes": strconv.Itoa(out.Crashes)}})
	}
	for part, quarantined := range out.Parts {
		s.Recorder.Record(event.Event{Kind: "prompt_part_quarantined", Request: in.Request, BackendServer: in.BackendServer,
			Reason: part, Detail: map[string]string{"together_with": strings.Join(quarantined.Common, ","), "crashes": strconv.Itoa(quarantined.Crashes)}})
	}
	return nil
}

// ClearParts implements the RPC method of control.Client. Only the leader accepts it.
func (s *Service) ClearParts(in *control.ClearPartsRequest, out *control.ClearPartsReply) (failure error) {
	defer s.recoverCall("ClearParts", &failure)
	if err := s.checkWrite(in.Stamp); err != nil {
		return err
	}
	if _, err := s.propose(&controlstate.Command{ClearParts: in}); err != nil {
		return err
	}
	s.Recorder.Record(event.Event{Kind: "prompt_parts_cleared", Detail: map[string]string{"instance": in.Instance, "parts": strings.Join(in.Parts, ",")}})
	out.Meta = s.newMeta()
	return nil
}

// AcquireSlot implements the RPC method of control.Client. Only the leader accepts it.
func (s *Service) AcquireSlot(in *control.AcquireSlotRequest, out *control.AcquireSlotReply) (failure error) {
	defer s.recoverCall("AcquireSlot", &failure)
	err := s.checkWrite(in.Stamp, "Slot.Key", string(in.Slot.Key), "Slot.ID", in.Slot.ID, "Instance", in.Instance, "Boot", in.Boot)
	if err != nil {
		return err
	}
	now := s.Now()
	if err := s.requireLease(now); err != nil {
		return err
	}
	out.Granted, out.RetryAfter = s.Allocator.Acquire(now, in.Instance, in.Boot, in.Slot, s.limitSource)
	out.Meta = s.newMeta()
	return nil
}

// ReleaseSlot implements the RPC method of control.Client. Only the leader accepts it.
func (s *Service) ReleaseSlot(in *control.ReleaseSlotRequest, out *control.Empty) (failure error) {
	defer s.recoverCall("ReleaseSlot", &failure)
	if err := s.checkWrite(in.Stamp); err != nil {
		return err
	}
	s.Allocator.Release(s.Now(), in.Slots)
	out.Meta = s.newMeta()
	return nil
}
