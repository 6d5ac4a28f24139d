package announce

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/api/problem"
)

const (
	// maxNameBytes is the maximum length of an id, a boot number, another name or an address.
	maxNameBytes = 128
	// maxVersions and maxPrefixes limit the items of a list in an announcement, maxCount limits its capacities and loads.
	maxVersions = 256
	maxPrefixes = 8192
	maxCount    = 1_000_000
)

// FieldError describes an invalid field of an announcement.
type FieldError struct {
	Field  string `json:"field"`
	Detail string `json:"detail"`
}

// readAnnouncement decodes and validates a request body of at most limit bytes. It ignores fields that this version does
// not support, so that a backend server of a newer version stays in service.
func readAnnouncement(w http.ResponseWriter, r *http.Request, limit int64) (*control.Announcement, *problem.Problem) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	a := &control.Announcement{}
	if err := decoder.Decode(a); err != nil {
		return nil, decodeProblem(err, limit)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, newRefusal([]FieldError{{Field: "body", Detail: "has data after the JSON object"}})
	}
	if fieldErrors := validate(a); len(fieldErrors) > 0 {
		return nil, newRefusal(fieldErrors)
	}
	if a.ColdCapacity == 0 {
		a.ColdCapacity = 1
	}
	return a, nil
}

func newRefusal(fieldErrors []FieldError) *problem.Problem {
	p := problem.New(problem.InvalidRequest, fieldErrors[0].Field+" "+fieldErrors[0].Detail)
	p.Fields = fieldErrors
	return p
}

func decodeProblem(err error, limit int64) *problem.Problem {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		p := problem.New(problem.BodyTooLarge, fmt.Sprintf("body is over %d bytes", limit))
		p.Fields = []FieldError{{Field: "body", Detail: fmt.Sprintf("is over %d bytes", limit)}}
		return p
	case errors.As(err, &wrongType):
		field := wrongType.Field
		if field == "" {
			field = "body"
		}
		return newRefusal([]FieldError{{Field: field, Detail: "is a JSON " + wrongType.Value + ", want " + wrongType.Type.String()}})
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return newRefusal([]FieldError{{Field: "body", Detail: "is truncated JSON"}})
	default:
		return newRefusal([]FieldError{{Field: "body", Detail: "is not JSON"}})
	}
}

type validator struct{ fieldErrors []FieldError }

func (v *validator) require(ok bool, field, format string, args ...any) {
	if !ok {
		v.fieldErrors = append(v.fieldErrors, FieldError{Field: field, Detail: fmt.Sprintf(format, args...)})
	}
}

// checkName checks an id or name. These become part of slot keys, in which a slash separates the parts.
func (v *validator) checkName(field, value string) {
	v.require(value != "", field, "is missing")
	v.require(len(value) <= maxNameBytes, field, "is over %d bytes", maxNameBytes)
	v.require(!strings.ContainsAny(value, "/ \t\r\n"), field, "contains a slash or white space")
}

func (v *validator) checkCount(field string, value int) {
	v.require(value >= 0, field, "is negative")
	v.require(value <= maxCount, field, "is over %d", maxCount)
}

// validate returns an error for each invalid field of an announcement.
func validate(a *control.Announcement) []FieldError {
	v := &validator{}
	v.checkName("id", a.ID)
	v.checkName("boot", a.Boot)
	v.checkName("availability_zone", a.AvailabilityZone)
	v.require(len(a.Region) <= maxNameBytes, "region", "is over %d bytes", maxNameBytes)
	v.require(validAddress(a.Address), "address", "%q is not host:port", truncate(a.Address))
	v.checkCount("capacity", a.Capacity)
	v.require(a.Capacity != 0, "capacity", "is missing or 0")
	v.checkCount("cold_capacity", a.ColdCapacity)
	v.require(a.ColdCapacity <= max(a.Capacity, 0) || a.Capacity <= 0, "cold_capacity", "is over capacity")
	v.checkCount("running", a.Running)
	v.checkCount("queued", a.Queued)
	v.require(a.Service == "" || len(a.Versions) == 0, "service", "is set beside versions")
	v.require(len(a.Service) <= maxNameBytes, "service", "is over %d bytes", maxNameBytes)
	v.require(len(a.Versions) <= maxVersions, "versions", "has over %d items", maxVersions)
	v.require(len(a.PrefixHashes) <= maxPrefixes, "prefix_hashes", "has over %d items", maxPrefixes)
	seen := map[catalogue.VersionRef]bool{}
	for i, ref := range a.Versions[:min(len(a.Versions), maxVersions)] {
		field := fmt.Sprintf("versions[%d]", i)
		v.checkName(field+".model", ref.Model)
		v.checkName(field+".version", ref.Version)
		v.require(!seen[ref], field, "is listed twice")
		seen[ref] = true
	}
	return v.fieldErrors
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.Atoi(port)
	return err == nil && portErr == nil && host != "" && number > 0 && number < 1<<16 && len(address) <= maxNameBytes &&
		!strings.ContainsAny(host, "/@?# ")
}

func truncate(text string) string { return text[:min(len(text), maxNameBytes)] }
