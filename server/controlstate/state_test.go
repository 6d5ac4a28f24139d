package controlstate

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

func TestControlState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controlstate")
}

var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// driver applies commands to a state with consecutive log indexes.
type driver struct {
	state *State
	index uint64
	at    time.Time
	log   [][]byte
}

func newDriver() *driver { return &driver{state: New(), at: epoch} }

func (d *driver) apply(c Command) any {
	if c.At.IsZero() {
		c.At = d.at
	}
	data, err := c.Encode()
	Expect(err).NotTo(HaveOccurred())
	d.index++
	d.log = append(d.log, data)
	return d.state.Apply(d.index, data)
}

func ref(version string) catalogue.VersionRef {
	return catalogue.VersionRef{Model: "claims", Version: version}
}

func claimsCatalogue(versions ...catalogue.Version) catalogue.Catalogue {
	return catalogue.Catalogue{
		Models:   []catalogue.Model{{Name: "claims", Owner: "team", Versions: versions}},
		Rollouts: []catalogue.Rollout{{Model: "claims", From: "v1", To: "v2"}},
	}
}

func twoVersionCatalogue() catalogue.Catalogue {
	return claimsCatalogue(catalogue.Version{Name: "v1"}, catalogue.Version{Name: "v2"})
}

func changeBase(revision uint64, id, by string) control.ChangeBase {
	return control.ChangeBase{BaseRevision: revision, RequestID: id, By: by}
}

func (d *driver) applyCatalogue(revision uint64, id, by string, c catalogue.Catalogue) ChangeResult {
	return d.apply(Command{ApplyCatalogue: &ApplyCatalogue{ChangeBase: changeBase(revision, id, by), Catalogue: c}}).(ChangeResult)
}

func (d *driver) orderZone(revision uint64, id, by, zone string, out bool) ChangeResult {
	return d.apply(Command{SetOrder: &SetOrder{ChangeBase: changeBase(revision, id, by), AvailabilityZone: zone, Out: out}}).(ChangeResult)
}

func (d *driver) pinSession(session, proposed, replace string) control.PinReply {
	r := &control.PinRequest{Workspace: "w", Session: session, Proposed: ref(proposed)}
	if replace != "" {
		r.Replace = ref(replace)
	}
	return d.apply(Command{PinSession: r}).(control.PinReply)
}

func (d *driver) beginCall(request, boot, body string) control.BeginCallReply {
	return d.beginCallWithKey("key", request, boot, body)
}

func (d *driver) beginCallWithKey(key, request, boot, body string) control.BeginCallReply {
	in := control.BeginCallRequest{
		Meta: control.Meta{Instance: "e1", Boot: boot}, Workspace: "w", Key: key, BodyHash: body, Request: request,
	}
	return d.apply(Command{BeginCalls: []control.BeginCallRequest{in}}).(BatchResult).Begins[0]
}

func (d *driver) finishCall(f control.FinishCallRequest) {
	f.Workspace, f.Key = "w", "key"
	d.apply(Command{FinishCalls: []control.FinishCallRequest{f}})
}

func (d *driver) reportCrash(fingerprint, server, boot string) any {
	return d.apply(Command{ReportCrash: &control.ReportCrashRequest{Fingerprint: fingerprint, BackendServer: server, Boot: boot}})
}

func answer(body string) *control.CallAnswer {
	return &control.CallAnswer{Status: 200, ContentType: "text/plain", Body: []byte(body)}
}
