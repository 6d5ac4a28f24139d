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

// Dialect reads and writes the headers of routed requests. NativeDialect is the default; a platform adapter provides its own.
// Methods must be safe for concurrent use.
type Dialect interface {
	// ReadCall reads the headers of a caller's request. The error describes an invalid header and is sent to the caller.
	ReadCall(r *http.Request) (CallMetadata, error)
	// Outgoing returns the caller's headers that are passed on to a backend server, without those that only the router may
	// set.
	Outgoing(header http.Header) http.Header
	// WriteAttempt adds the headers that the router sends to a backend server with one attempt.
	WriteAttempt(header http.Header, a *AttemptMetadata)
	// ReadAnswer reads the metadata of a backend server's answer from its status and headers.
	ReadAnswer(r *http.Response) AnswerMetadata
	// WriteRefusal sends the caller a refusal by the router.
	WriteRefusal(w http.ResponseWriter, p *problem.Problem)
}

// CallMetadata holds the values that a caller sent in the headers of a routed request.
type CallMetadata struct {
	// ID is the request id that the caller chose; empty when the router chooses one.
	ID string
	// Key is the API key of the workspace; empty if there is none.
	Key string
	// CallerWait is how long the caller waits for the answer; 0 if not stated.
	CallerWait time.Duration
	// Session is the session id; empty if there is none.
	Session string
	// Model is the name of the model; empty when the router chooses it.
	Model string
	// PromptTokens and MaxOutputTokens are the size of the request as stated by the caller; 0 if not stated.
	PromptTokens, MaxOutputTokens int
	// OutputHint is the caller's estimate of the number of output tokens; 0 if there is none.
	OutputHint int
	// Parts are the parts of the prompt in order.
	Parts []balance.PromptPart
	// LastEvent is the id of the last event that the caller received of a stream that it resumes; empty otherwise.
	LastEvent string
}

// AttemptMetadata holds the values that the router sends to a backend server in the headers of an attempt.
type AttemptMetadata struct {
	Server *control.BackendServer
	// ID is the request id.
	ID string
	// Workspace is the name of the caller's workspace; empty for an anonymous request.
	Workspace string
	// TimeLeft is the time until the answer must be complete.
	TimeLeft time.Duration
	// Rank orders requests in the engine's queue, 0 first.
	Rank int
	// Model is the model that the engine must run; empty leaves the caller's header unchanged.
	Model string
	// LastEvent is the id of the last event that the caller received; empty at the start of an answer.
	LastEvent string
}

// AnswerMetadata holds the metadata of a backend server's answer.
type AnswerMetadata struct {
	// ID is the request id in the answer; empty if there is none.
	ID string
	// NotRun states that the backend server did not run the request and never will.
	NotRun bool
	// AddressReassigned is set when another backend server answers at this address now.
	AddressReassigned bool
	// FromApplication is set when the answer comes from the backend server's application, not from a proxy in between.
	FromApplication bool
	// Load is the load that the backend server reported; LoadKnown is false if it reported none.
	Load      balance.LoadReport
	LoadKnown bool
	// Statement is what the backend server says of itself.
	Statement ServerStatement
	// Confidence is the model's own estimate of how good its answer is, 0 to 100; -1 if there is none.
	Confidence int
}

// AnyModel is the model name with which a caller lets the router choose among the models of the route.
const AnyModel = "*"

// Headers of routed requests in the native dialect.
const (
	headerModel         = "Clementinetray-Model"
	headerTokens        = "Clementinetray-Tokens"
	headerPromptParts   = "Clementinetray-Prompt-Parts"
	headerBackendServer = "Clementinetray-Backend-Server"
	headerWorkspace     = "Clementinetray-Workspace"
	headerNotRun        = "Clementinetray-Not-Run"
	headerLeaving       = "Clementinetray-Leaving"
	headerBrittle       = "Clementinetray-Brittle"
)

var statementHeaders = StatementHeaders{Leaving: headerLeaving, Brittle: headerBrittle}

// NativeDialect returns the dialect with the router's own header names.
func NativeDialect() Dialect { return nativeDialect{} }

// nativeDialect implements Dialect.
type nativeDialect struct{}

// ReadCall implements Dialect.
func (nativeDialect) ReadCall(r *http.Request) (CallMetadata, error) {
	c := CallMetadata{Key: BearerKey(r.Header), Session: r.Header.Get(HeaderSession), Model: r.Header.Get(headerModel), LastEvent: r.Header.Get(headerLastEventID)}
	if c.Model == AnyModel {
		c.Model = ""
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 32)
		if err != nil || millis <= 0 {
			return c, Error.New("%s is not a positive number of milliseconds", HeaderDeadline)
		}
		c.CallerWait = time.Duration(millis) * time.Millisecond
	}
	if text := r.Header.Get(headerTokens); text != "" {
		prompt, output, _ := strings.Cut(text, ",")
		var promptErr, outputErr error
		c.PromptTokens, promptErr = strconv.Atoi(strings.TrimSpace(prompt))
		c.MaxOutputTokens, outputErr = strconv.Atoi(strings.TrimSpace(output))
		if promptErr != nil || outputErr != nil {
			return c, Error.New("%s is not two numbers of tokens", headerTokens)
		}
	}
	if text := r.Header.Get(headerPromptParts); text != "" {
		if c.Parts = ReadPromptParts(text); c.Parts == nil {
			return c, Error.New("%s is not a list of ID:TOKENS", headerPromptParts)
		}
	}
	return c, nil
}

// ReadPromptParts parses a list of the parts of a prompt in order, written as ID:TOKENS and separated by commas. It returns nil
// when any part is unreadable.
func ReadPromptParts(text string) []balance.PromptPart {
	if text == "" {
		return nil
	}
	var parts []balance.PromptPart
	for item := range strings.SplitSeq(text, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.Atoi(strings.TrimSpace(count))
		if !ok || err != nil {
			return nil
		}
		parts = append(parts, balance.PromptPart{ID: id, Tokens: tokens})
	}
	return parts
}

// Outgoing implements Dialect.
func (nativeDialect) Outgoing(header http.Header) http.Header {
	out := http.Header{}
	copyHeader(out, header)
	for _, own := range []string{"Authorization", HeaderDeadline, HeaderForwarded, headerBackendServer, headerWorkspace, headerLastEventID} {
		out.Del(own)
	}
	return out
}

// WriteAttempt implements Dialect.
func (nativeDialect) WriteAttempt(header http.Header, a *AttemptMetadata) {
	header.Set(headerAttemptID, a.ID)
	header.Set(headerBackendServer, a.Server.ID)
	header.Set(headerPriority, strconv.Itoa(a.Rank))
	header.Set(headerDeadlineMs, strconv.FormatInt(a.TimeLeft.Milliseconds(), 10))
	if a.Workspace != "" {
		header.Set(headerWorkspace, a.Workspace)
	}
	if a.Model != "" {
		header.Set(headerModel, a.Model)
	}
	if a.LastEvent != "" {
		header.Set(headerLastEventID, a.LastEvent)
	}
}

// ReadAnswer implements Dialect.
func (nativeDialect) ReadAnswer(r *http.Response) AnswerMetadata {
	return AnswerMetadata{
		ID: r.Header.Get(headerAttemptID), NotRun: r.Header.Get(headerNotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest,
		AddressReassigned: r.StatusCode == http.StatusMisdirectedRequest, FromApplication: true, Confidence: -1,
		Statement: ReadServerStatement(r, statementHeaders, time.Now()),
	}
}

// WriteRefusal implements Dialect.
func (nativeDialect) WriteRefusal(w http.ResponseWriter, p *problem.Problem) { p.Write(w) }

// BearerKey returns the bearer key of the Authorization header, or an empty string.
func BearerKey(header http.Header) string {
	key, _ := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	return key
}

// CopyEndToEnd copies all headers except the hop-by-hop ones.
func CopyEndToEnd(to, from http.Header) { copyHeader(to, from) }
