package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"waxwingwall"
	"waxwingwall/api/callerapi"
	"waxwingwall/io/quota"
)

// collect reads an answer to its end.
func collect(ctx context.Context, a waxwingwall.Answer) (string, waxwingwall.End, error) {
	var text strings.Builder
	for {
		f, err := a.Next(ctx)
		if err != nil {
			return "", waxwingwall.End{}, err
		}
		for _, frame := range f.Frames {
			text.WriteString(frame.Text)
		}
		if f.End == nil {
			continue
		}
		if f.End.Problem != nil {
			return "", waxwingwall.End{}, f.End.Problem
		}
		return text.String(), *f.End, nil
	}
}

// bufferedResponse waits for the end of an answer and returns it as one response,
// for a caller that did not request a stream.
func bufferedResponse(ctx context.Context, a waxwingwall.Answer, model string) (callerapi.CreateCompletionRes, error) {
	defer a.Close()
	text, end, err := collect(ctx, a)
	if err != nil {
		return nil, err
	}
	return &callerapi.CompletionHeaders{
		WaxwingRequest: a.ID(),
		Response: callerapi.Completion{
			ID:     a.ID(),
			Object: "chat.completion",
			Model:  model,
			Choices: []callerapi.Choice{
				{
					Message: callerapi.Message{
						Role:    callerapi.MessageRoleAssistant,
						Content: text,
					},
					FinishReason: callerapi.ChoiceFinishReason(end.Finish),
				},
			},
			Usage: callerapi.Usage{
				PromptTokens:     int64(end.Prompt),
				CompletionTokens: int64(end.Output),
				TotalTokens:      int64(end.Prompt + end.Output),
			},
		},
	}, nil
}

// streamResponse returns an answer as server-sent events. It waits for the
// first frames, so that a request that fails before them gets an HTTP error
// status.
func (h *handler) streamResponse(ctx context.Context, a waxwingwall.Answer, model string) (callerapi.CreateCompletionRes, error) {
	var first waxwingwall.Frames
	for len(first.Frames) == 0 && first.End == nil {
		var err error
		if first, err = a.Next(ctx); err != nil {
			a.Close()
			return nil, err
		}
	}
	if first.End != nil && first.End.Problem != nil && len(first.Frames) == 0 {
		a.Close()
		return nil, first.End.Problem
	}
	r, w := io.Pipe()
	go h.writeStream(ctx, a, model, first, w)
	return &callerapi.CreateCompletionOKTextEventStreamHeaders{
		WaxwingRequest: a.ID(),
		Response: callerapi.CreateCompletionOKTextEventStream{
			Data: r,
		},
	}, nil
}

// chunk is one event of a stream.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chunkUsage   `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content,omitempty"`
}

type chunkUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// problemEvent ends a stream whose answer is incomplete.
type problemEvent struct {
	Error problemBody `json:"error"`
}

type problemBody struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// writeStream writes the events of an answer until its end or until the caller
// disconnects. An answer that can't be read to its end ends with a problem. If that can't be
// written either, the reader of the pipe gets an error.
func (h *handler) writeStream(ctx context.Context, a waxwingwall.Answer, model string, f waxwingwall.Frames, w *io.PipeWriter) {
	err := errNoEnd
	defer func() {
		if v := recover(); v != nil {
			h.logPanic(v)
		}
	}()
	defer a.Close()
	defer func() { _ = w.CloseWithError(err) }()
	if err = h.copyStream(ctx, a, model, f, w); err == nil {
		return
	}
	err = writeTo(w, a, model, waxwingwall.Frames{
		End: &waxwingwall.End{
			Problem: problemOf(err),
		},
	})
}

// errNoEnd means that the end of a stream was not written.
var errNoEnd = errors.New("the stream has no end")

// copyStream writes f and what follows it. It returns an error if the answer has no end.
func (h *handler) copyStream(ctx context.Context, a waxwingwall.Answer, model string, f waxwingwall.Frames, w io.Writer) (err error) {
	defer func() {
		if v := recover(); v != nil {
			h.logPanic(v)
			err = internalProblem()
		}
	}()
	for {
		if err := writeTo(w, a, model, f); err != nil || f.End != nil {
			return err
		}
		if f, err = a.Next(ctx); err != nil {
			return err
		}
	}
}

// writeTo writes frames and, if there is one, the end.
func writeTo(w io.Writer, a waxwingwall.Answer, model string, f waxwingwall.Frames) error {
	var buf bytes.Buffer
	writeFrames(&buf, a.ID(), model, f)
	_, err := w.Write(buf.Bytes())
	return err
}

// writeFrames writes one event for each frame and, if f has an end, the events
// that end the stream.
func writeFrames(buf *bytes.Buffer, id, model string, f waxwingwall.Frames) {
	for _, frame := range f.Frames {
		writeEvent(buf, newChunk(id, model, frame.Text))
	}
	if f.End == nil {
		return
	}
	if p := f.End.Problem; p != nil {
		writeEvent(buf, problemEvent{
			Error: problemBody{
				Code:         p.Code,
				Message:      p.Message,
				Outcome:      string(p.Outcome),
				RetryAfterMS: p.RetryAfter.Milliseconds(),
			},
		})
		return
	}
	last := newChunk(id, model, "")
	last.Choices[0].FinishReason = &f.End.Finish
	last.Usage = &chunkUsage{
		PromptTokens:     int64(f.End.Prompt),
		CompletionTokens: int64(f.End.Output),
		TotalTokens:      int64(f.End.Prompt + f.End.Output),
	}
	writeEvent(buf, last)
	buf.WriteString("data: [DONE]\n\n")
}

func newChunk(id, model, text string) chunk {
	return chunk{
		ID:     id,
		Object: "chat.completion.chunk",
		Model:  model,
		Choices: []chunkChoice{
			{
				Delta: chunkDelta{
					Content: text,
				},
			},
		},
	}
}

func writeEvent(buf *bytes.Buffer, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	buf.WriteString("data: ")
	buf.Write(data)
	buf.WriteString("\n\n")
}

// writeError responds to requests that the generated server rejected: malformed
// JSON, missing parameters, invalid keys. If the answer has begun, it closes the connection, so
// that the answer does not look whole.
func writeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	if hasBegun(w) {
		panic(http.ErrAbortHandler)
	}
	p := problemOf(err)
	if p.Code == "internal" {
		p = inputProblem(err)
	}
	e := encode(p)
	w.Header().Set("Content-Type", "application/json")
	if seconds, ok := e.RetryAfter.Get(); ok {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.StatusCode)
	data, merr := e.Response.MarshalJSON()
	if merr != nil {
		return
	}
	_, _ = w.Write(data)
}

// hasBegun reports whether an answer has begun. The generated server wraps its writer.
func hasBegun(w http.ResponseWriter) bool {
	for {
		if f, ok := w.(*flusher); ok {
			return f.begun
		}
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return false
		}
		w = wrapper.Unwrap()
	}
}

// inputProblem returns the problem to report for input that the generated server
// rejected.
func inputProblem(err error) *waxwingwall.Problem {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &waxwingwall.Problem{
			Status:     http.StatusRequestTimeout,
			Code:       "body_timeout",
			Message:    "the body of the request did not arrive in time",
			Outcome:    waxwingwall.NotRun,
			RetryAfter: time.Second,
		}
	}
	if errors.Is(err, quota.ErrFull) {
		return &waxwingwall.Problem{
			Status:     http.StatusServiceUnavailable,
			Code:       "busy",
			Message:    "no memory for the body",
			Outcome:    waxwingwall.NotRun,
			RetryAfter: busyRetryAfter,
		}
	}
	status := ogenerrors.ErrorCode(err)
	if status >= http.StatusInternalServerError {
		return problemOf(err)
	}
	return &waxwingwall.Problem{
		Status:  status,
		Code:    "bad_request",
		Message: err.Error(),
		Outcome: waxwingwall.NotRun,
	}
}
