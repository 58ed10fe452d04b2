package sim

import (
	"encoding/json"
	"net/http"
	"strings"
)

// ChatRequest is the body of a chat completion.
type ChatRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`

	// MaxTokens bounds the whole answer, a continued part included; 0 is no
	// bound.
	MaxTokens int `json:"max_tokens"`

	// Stream asks for server-sent events.
	Stream bool `json:"stream"`

	// ContinueFrom leaves out the first tokens of the answer.
	ContinueFrom int `json:"continue_from"`
}

// ChatUsage counts tokens. CompletionTokens are those of this run so far,
// without a part that an earlier run had generated.
type ChatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChatChoice is the one choice of an answer.
type ChatChoice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// ChatResponse is an answer, or one chunk of a streamed one.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   ChatUsage    `json:"usage"`
}

// chatWriter writes an answer, as chunks or in one.
type chatWriter struct {
	w       http.ResponseWriter
	q       ChatRequest
	id      string
	usage   ChatUsage
	content strings.Builder
}

func newWriter(w http.ResponseWriter, q ChatRequest, run *Run) *chatWriter {
	c := &chatWriter{
		w:  w,
		q:  q,
		id: run.Attempt,
	}
	c.usage.PromptTokens = run.PromptTokens
	if q.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	return c
}

func (c *chatWriter) token(text string) {
	c.usage.CompletionTokens++
	if !c.q.Stream {
		c.content.WriteString(text)
		return
	}
	c.chunk(c.id, text, nil)
}

// foreign writes a chunk of another attempt.
func (c *chatWriter) foreign(i int) {
	if c.q.Stream {
		c.chunk("other-"+c.id, Token("another prompt", i), nil)
	}
}

func (c *chatWriter) end(reason string) {
	if c.q.Stream {
		c.chunk(c.id, "", &reason)
		c.event([]byte("[DONE]"))
		return
	}
	c.total()
	writeJSON(c.w, ChatResponse{
		ID:     c.id,
		Object: "chat.completion",
		Model:  c.q.Model,
		Usage:  c.usage,
		Choices: []ChatChoice{{
			Message: &Message{
				Role:    "assistant",
				Content: c.content.String(),
			},
			FinishReason: &reason,
		}},
	})
}

func (c *chatWriter) chunk(id, text string, reason *string) {
	c.total()
	b, err := json.Marshal(ChatResponse{
		ID:     id,
		Object: "chat.completion.chunk",
		Model:  c.q.Model,
		Usage:  c.usage,
		Choices: []ChatChoice{{
			Delta: &Message{
				Role:    "assistant",
				Content: text,
			},
			FinishReason: reason,
		}},
	})
	if err != nil {
		panic(err)
	}
	c.event(b)
}

func (c *chatWriter) event(data []byte) {
	b := append([]byte("data: "), data...)
	_, _ = c.w.Write(append(b, "\n\n"...))
	c.w.(http.Flusher).Flush()
}

func (c *chatWriter) total() {
	c.usage.TotalTokens = c.usage.PromptTokens + c.usage.CompletionTokens
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// fail answers that nothing was run.
func fail(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Reason string `json:"reason"`
	}{Reason: reason})
}
