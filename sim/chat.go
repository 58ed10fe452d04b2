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

	// MaxTokens limits the complete answer, including a part that an earlier run
	// generated; 0 means no limit.
	MaxTokens int `json:"max_tokens"`

	// Stream requests server-sent events.
	Stream bool `json:"stream"`

	// ContinueFrom is the number of tokens skipped at the start of the answer.
	ContinueFrom int `json:"continue_from"`
}

// ChatUsage counts tokens. CompletionTokens are those that this run has generated
// so far, without those of earlier runs.
type ChatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChatChoice is the only choice of an answer.
type ChatChoice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// ChatResponse is an answer or one chunk of a streamed answer.
type ChatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   ChatUsage    `json:"usage"`
}

// chatWriter writes an answer as a stream of chunks or as one JSON document.
type chatWriter struct {
	w       http.ResponseWriter
	request ChatRequest
	id      string
	usage   ChatUsage
	content strings.Builder
}

func newChatWriter(w http.ResponseWriter, request ChatRequest, run *Run) *chatWriter {
	c := &chatWriter{
		w:       w,
		request: request,
		id:      run.Attempt,
	}
	c.usage.PromptTokens = run.PromptTokens
	if request.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	return c
}

func (c *chatWriter) writeToken(text string) {
	c.usage.CompletionTokens++
	if !c.request.Stream {
		c.content.WriteString(text)
		return
	}
	c.writeChunk(c.id, text, nil)
}

// writeForeignChunk writes a chunk with the ID of another attempt.
func (c *chatWriter) writeForeignChunk(i int) {
	if c.request.Stream {
		c.writeChunk("other-"+c.id, Token("another prompt", i), nil)
	}
}

func (c *chatWriter) finish(reason string) {
	if c.request.Stream {
		c.writeChunk(c.id, "", &reason)
		c.writeEvent([]byte("[DONE]"))
		return
	}
	c.updateTotal()
	writeJSON(c.w, ChatResponse{
		ID:     c.id,
		Object: "chat.completion",
		Model:  c.request.Model,
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

func (c *chatWriter) writeChunk(id, text string, reason *string) {
	c.updateTotal()
	b, err := json.Marshal(ChatResponse{
		ID:     id,
		Object: "chat.completion.chunk",
		Model:  c.request.Model,
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
	c.writeEvent(b)
}

func (c *chatWriter) writeEvent(data []byte) {
	b := append([]byte("data: "), data...)
	_, _ = c.w.Write(append(b, "\n\n"...))
	c.w.(http.Flusher).Flush()
}

func (c *chatWriter) updateTotal() {
	c.usage.TotalTokens = c.usage.PromptTokens + c.usage.CompletionTokens
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError answers a request that was not run with a status and a reason.
func writeError(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Reason string `json:"reason"`
	}{Reason: reason})
}
