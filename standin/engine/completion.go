package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model        string    `json:"model"`
	Messages     []message `json:"messages"`
	Stream       bool      `json:"stream"`
	MaxTokens    int       `json:"max_tokens"`
	ContinueFrom string    `json:"continue_from"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason,omitempty"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (r *completionRequest) promptText() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Content)
		b.WriteByte(' ')
	}
	return b.String()
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	ok := e.countRequest()
	defer e.running.Add(-1)
	var in completionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !ok || e.config.CrashOnPrompt != "" && strings.Contains(in.promptText(), e.config.CrashOnPrompt) {
		e.Kill()
		return
	}
	e.mu.Lock()
	status, breakAfter, firstTokenDelay, loaded := e.failStatus, e.breakAfter, e.firstTokenDelay, e.isLoaded(in.Model)
	e.mu.Unlock()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if status != 0 {
		http.Error(w, "failure set by SetFailStatus", status)
		return
	}
	if !loaded {
		http.Error(w, "version is not loaded", http.StatusNotFound)
		return
	}
	if !sleep(r, e.config.FirstTokenDelay+firstTokenDelay) {
		return
	}
	g := generation{engine: e, request: &in, attemptID: r.Header.Get("X-Attempt-Id"), breakAfter: breakAfter}
	if in.Stream {
		g.writeStream(w, r)
		return
	}
	g.writeJSON(w, r)
}

// isLoaded reports whether the version "name@version" is loaded; e.mu must be held.
func (e *Engine) isLoaded(model string) bool {
	for _, v := range e.versions {
		if v.String() == model {
			return true
		}
	}
	return false
}

// sleep waits for d and returns false at once if the request is cancelled before.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// generation generates the answer to one request.
type generation struct {
	engine     *Engine
	request    *completionRequest
	attemptID  string
	breakAfter int
}

// remainingTokens returns the tokens that follow the text in ContinueFrom.
func (g *generation) remainingTokens() []string {
	n := g.engine.config.AnswerTokens
	if g.request.MaxTokens > 0 {
		n = min(n, g.request.MaxTokens)
	}
	tokens := GeneratedTokens(n)
	delivered := g.request.ContinueFrom
	for len(tokens) > 0 && strings.HasPrefix(delivered, tokens[0]) {
		delivered = delivered[len(tokens[0]):]
		tokens = tokens[1:]
	}
	return tokens
}

func (g *generation) usage(tokens int) *usage {
	return &usage{PromptTokens: len(strings.Fields(g.request.promptText())), CompletionTokens: tokens}
}

func (g *generation) writeJSON(w http.ResponseWriter, r *http.Request) {
	tokens := g.remainingTokens()
	if !sleep(r, time.Duration(len(tokens))*g.engine.config.TokenInterval) {
		return
	}
	if g.breakAfter > 0 {
		panic(http.ErrAbortHandler)
	}
	stop := "stop"
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		ID: g.attemptID, Object: "chat.completion", Model: g.request.Model, Usage: g.usage(len(tokens)),
		Choices: []choice{{Message: &message{Role: "assistant", Content: strings.Join(tokens, "")}, FinishReason: &stop}},
	})
}

func (g *generation) writeStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	tokens := g.remainingTokens()
	for i, token := range tokens {
		if g.breakAfter > 0 && i == g.breakAfter {
			panic(http.ErrAbortHandler)
		}
		g.writeEvent(w, completion{ID: g.attemptID, Object: "chat.completion.chunk", Model: g.request.Model, Choices: []choice{{Delta: &delta{Content: token}}}})
		_ = flusher.Flush()
		if !sleep(r, g.engine.config.TokenInterval) {
			return
		}
	}
	stop := "stop"
	g.writeEvent(w, completion{
		ID: g.attemptID, Object: "chat.completion.chunk", Model: g.request.Model, Usage: g.usage(len(tokens)),
		Choices: []choice{{Delta: &delta{}, FinishReason: &stop}},
	})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (g *generation) writeEvent(w http.ResponseWriter, c completion) {
	raw, err := json.Marshal(c)
	if err == nil {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
	}
}
