package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"clementinetray/api/control"
	"clementinetray/api/problem"
	"clementinetray/server/balance"
)

// Dialect reads and writes the headers of routed requests. The product's own dialect is the default; an adapter brings
// that of its platform. All methods are called by many goroutines.
type Dialect interface {
	// ReadCall reads what a caller says of its request. The error says what is wrong with a header.
	ReadCall(r *http.Request) (Call, error)
	// Outgoing returns the caller's headers that a backend server gets, without what only the router may set.
	Outgoing(header http.Header) http.Header
	// WriteAttempt adds what the router says of one attempt.
	WriteAttempt(header http.Header, a *Attempt)
	// ReadAnswer reads what a backend server says of its answer.
	ReadAnswer(r *http.Response) Answer
	// WriteRefusal sends a refusal of the router.
	WriteRefusal(w http.ResponseWriter, p *problem.Problem)
}

// Call is what a caller says of a routed request.
type Call struct {
	// ID is the request id that the caller chose; empty when the router chooses one.
	ID string
	// Key is the workspace key, empty without one.
	Key string
	// Wait is how long the caller waits; 0: not stated.
	Wait    time.Duration
	Session string
	// Model is the model that the caller named; empty when it leaves the choice to the router.
	Model string
	// PromptTokens and MaxOutputTokens are the stated size of a generation; 0: not stated.
	PromptTokens, MaxOutputTokens int
	// OutputHint is the caller's estimate of the tokens of the answer; 0: none.
	OutputHint int
	// Parts are the parts of the prompt in order.
	Parts []balance.PromptPart
	// LastEvent is the id of the last event that the caller has of a stream that it resumes.
	LastEvent string
}

// Attempt is what the router says to a backend server.
type Attempt struct {
	Server *control.BackendServer
	// ID is the request id.
	ID string
	// Workspace is the name of the caller's workspace; empty for an anonymous request.
	Workspace string
	// Left is the time that the backend server has.
	Left time.Duration
	// Rank orders requests in the engine, 0 first.
	Rank int
	// Model is the model that the engine shall run; empty when the caller's header stands.
	Model string
	// LastEvent is the id of the last event that the caller has.
	LastEvent string
}

// Answer is what a backend server says of its answer.
type Answer struct {
	// ID is the request id that the answer names; empty: none.
	ID string
	// NotRun says that the backend server did not run the request and will not.
	NotRun bool
	// OtherInstance says that another backend server has the address now.
	OtherInstance bool
	// Genuine says that the answer comes from the backend server's application and not from something between.
	Genuine bool
	// Load is what the backend server says of its load; LoadKnown is false when it says nothing.
	Load      balance.Observation
	LoadKnown bool
	// Confidence is the model's opinion of its answer, 0 to 100; -1: none.
	Confidence int
}

// AnyModel is what a caller names when the router shall choose among the models of the route.
const AnyModel = "*"

// Headers of routed requests in the product's own dialect.
const (
	headerModel    = "Clementinetray-Model"
	headerTokens   = "Clementinetray-Tokens"
	headerInstance = "Clementinetray-Backend-Server"
	headerTenant   = "Clementinetray-Workspace"
	headerNotRun   = "Clementinetray-Not-Run"
)

// NativeDialect returns the product's own dialect.
func NativeDialect() Dialect { return nativeDialect{} }

// nativeDialect implements Dialect.
type nativeDialect struct{}

// ReadCall implements Dialect.
func (nativeDialect) ReadCall(r *http.Request) (Call, error) {
	c := Call{Key: BearerKey(r.Header), Session: r.Header.Get(HeaderSession), Model: r.Header.Get(headerModel), LastEvent: r.Header.Get(headerLastEventID)}
	if c.Model == AnyModel {
		c.Model = ""
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil || millis <= 0 {
			return c, Error.New("%s is not a positive number of milliseconds", HeaderDeadline)
		}
		c.Wait = time.Duration(millis) * time.Millisecond
	}
	if text := r.Header.Get(headerTokens); text != "" {
		prompt, output, _ := strings.Cut(text, ",")
		var err, err2 error
		c.PromptTokens, err = strconv.Atoi(strings.TrimSpace(prompt))
		c.MaxOutputTokens, err2 = strconv.Atoi(strings.TrimSpace(output))
		if err != nil || err2 != nil {
			return c, Error.New("%s is not two numbers of tokens", headerTokens)
		}
	}
	return c, nil
}

// Outgoing implements Dialect.
func (nativeDialect) Outgoing(header http.Header) http.Header {
	out := http.Header{}
	copyHeader(out, header)
	for _, own := range []string{"Authorization", HeaderDeadline, HeaderForwarded, headerInstance, headerTenant, headerLastEventID} {
		out.Del(own)
	}
	return out
}

// WriteAttempt implements Dialect.
func (nativeDialect) WriteAttempt(header http.Header, a *Attempt) {
	header.Set(headerAttemptID, a.ID)
	header.Set(headerInstance, a.Server.ID)
	header.Set(headerPriority, strconv.Itoa(a.Rank))
	header.Set(headerDeadlineMs, strconv.FormatInt(a.Left.Milliseconds(), 10))
	if a.Workspace != "" {
		header.Set(headerTenant, a.Workspace)
	}
	if a.Model != "" {
		header.Set(headerModel, a.Model)
	}
	if a.LastEvent != "" {
		header.Set(headerLastEventID, a.LastEvent)
	}
}

// ReadAnswer implements Dialect.
func (nativeDialect) ReadAnswer(r *http.Response) Answer {
	return Answer{
		ID: r.Header.Get(headerAttemptID), NotRun: r.Header.Get(headerNotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest,
		OtherInstance: r.StatusCode == http.StatusMisdirectedRequest, Genuine: true, Confidence: -1,
	}
}

// WriteRefusal implements Dialect.
func (nativeDialect) WriteRefusal(w http.ResponseWriter, p *problem.Problem) { p.Write(w) }

// BearerKey returns the key of an Authorization header, or an empty string.
func BearerKey(header http.Header) string {
	key, _ := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	return key
}

// CopyEndToEnd copies the headers that do not belong to one connection.
func CopyEndToEnd(to, from http.Header) { copyHeader(to, from) }
