package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
)

func (r *runner) catalogueCommand(a *catalogueArgs) func(context.Context) error {
	switch {
	case a.Show != nil:
		return func(ctx context.Context) error { return r.showCatalogue(ctx, a.Show.Revision) }
	case a.Apply != nil:
		return func(ctx context.Context) error { return r.applyCatalogue(ctx, a.Apply.File, &a.Apply.changeArgs) }
	case a.Diff != nil:
		return func(ctx context.Context) error { return r.applyCatalogue(ctx, a.Diff.File, &changeArgs{DryRun: true}) }
	}
	return nil
}

func (r *runner) showCatalogue(ctx context.Context, revision uint64) error {
	path := "/v1/catalogue"
	if revision != 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	reply := control.CatalogueReply{}
	if err := r.client.Call(ctx, "GET", path, nil, &reply); err != nil {
		return err
	}
	if r.printIfJSON(reply) {
		return nil
	}
	fmt.Fprintf(r.Err, "revision %d, catalogue by %s at %s\n", reply.Revision, reply.By, formatTime(reply.At))
	enc := json.NewEncoder(r.Out)
	enc.SetIndent("", "  ")
	return Error.Wrap(enc.Encode(reply.Catalogue))
}

// applyCatalogue sends the catalogue in the file. A file written by "catalogue show -o json" holds the revision at which it
// was read. That revision becomes the base of the change, so that a change by another operator since then is a conflict.
func (r *runner) applyCatalogue(ctx context.Context, file string, a *changeArgs) error {
	c, revision, err := r.readCatalogue(file)
	if err != nil {
		return err
	}
	if a.Base == nil && revision != nil && !a.DryRun {
		a.Base = revision
	}
	base, err := r.changeBase(ctx, a)
	if err != nil {
		return err
	}
	return r.sendChange(ctx, "PUT", "/v1/catalogue", base, control.ApplyCatalogueRequest{ChangeBase: base, Catalogue: *c})
}

// readCatalogue returns the catalogue in the file and its revision, nil when the file holds only a catalogue. The file -
// is standard input.
func (r *runner) readCatalogue(file string) (*catalogue.Catalogue, *uint64, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(r.In)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, nil, ErrUsage.Wrap(err)
	}
	reply := control.CatalogueReply{}
	if decodeStrict(data, &reply) == nil {
		return &reply.Catalogue, &reply.Revision, nil
	}
	c := &catalogue.Catalogue{}
	if err := decodeStrict(data, c); err != nil {
		return nil, nil, ErrUsage.New("%s is not a catalogue: %v", file, err)
	}
	return c, nil, nil
}

// decodeStrict decodes exactly one JSON value. It rejects unknown fields, so that a misspelt field is not ignored silently.
func decodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return Error.Wrap(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Error.New("content after the JSON object")
	}
	return nil
}

func (r *runner) orderCommand(path string, a *orderArgs) func(context.Context) error {
	switch {
	case a.Out != nil:
		return func(ctx context.Context) error { return r.sendOrder(ctx, path, &a.Out.orderInArgs, true, a.Out.Force) }
	case a.In != nil:
		return func(ctx context.Context) error { return r.sendOrder(ctx, path, a.In, false, false) }
	}
	return nil
}

func (r *runner) sendOrder(ctx context.Context, path string, a *orderInArgs, out, force bool) error {
	base, err := r.changeBase(ctx, &a.changeArgs)
	if err != nil {
		return err
	}
	in := control.OrderRequest{ChangeBase: base, Out: out, Reason: a.Reason, Force: force}
	return r.sendChange(ctx, "POST", path+url.PathEscape(a.Name), base, in)
}

func (r *runner) rolloutCommand(a *rolloutArgs) func(context.Context) error {
	send := func(m *modelArgs, state control.RolloutState) func(context.Context) error {
		return func(ctx context.Context) error {
			base, err := r.changeBase(ctx, &m.changeArgs)
			if err != nil {
				return err
			}
			in := control.RolloutOrderRequest{ChangeBase: base, State: state}
			return r.sendChange(ctx, "POST", "/v1/rollouts/"+url.PathEscape(m.Model), base, in)
		}
	}
	switch {
	case a.Hold != nil:
		return send(a.Hold, control.RolloutHeld)
	case a.Resume != nil:
		return send(a.Resume, control.RolloutRunning)
	case a.Rollback != nil:
		return send(a.Rollback, control.RolloutRolledBack)
	}
	return nil
}

func (r *runner) liftCommand(a *liftArgs) func(context.Context) error {
	return func(ctx context.Context) error {
		base, err := r.changeBase(ctx, &a.changeArgs)
		if err != nil {
			return err
		}
		return r.sendChange(ctx, "POST", "/v1/quarantine/"+url.PathEscape(a.Fingerprint)+"/lift", base, base)
	}
}

func (r *runner) replicaCommand(a *replicaArgs) func(context.Context) error {
	call := func(method, id string, in any) func(context.Context) error {
		return func(ctx context.Context) error {
			reply := control.StatusReply{}
			if err := r.client.Call(ctx, method, "/v1/replicas/"+url.PathEscape(id), in, &reply); err != nil {
				return err
			}
			if !r.printIfJSON(reply.Replicas) {
				r.printReplicas(reply.Replicas)
			}
			return nil
		}
	}
	switch {
	case a.Add != nil:
		return call("POST", a.Add.ID, control.ReplicaRequest{Address: a.Add.Address})
	case a.Remove != nil:
		return call("DELETE", a.Remove.ID, nil)
	}
	return nil
}
