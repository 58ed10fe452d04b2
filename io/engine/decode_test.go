package engine

import (
	"strings"
	"sync/atomic"
	"testing"
)

// FuzzDecode checks that a malformed stream is never accepted as a complete
// answer and never yields frames of another attempt.
func FuzzDecode(f *testing.F) {
	const final = `data: {"id":"1","choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}` + "\n\n"
	f.Add(final + "data: [DONE]\n\n")
	f.Add(final)
	f.Add("data: [DONE]\n\n")
	f.Add(strings.Replace(final, `"1"`, `"2"`, 1) + "data: [DONE]\n\n")
	f.Add(": comment\nevent: x\n\ndata: {\n\n")
	f.Add(`data: {"id":"1","choices":[],"usage":{"completion_tokens":-5}}` + "\n\n" + final + "data: [DONE]\n\n")
	f.Add(final + final + "data: [DONE]\n\n")
	f.Add("data: {\"id\":\"1\",\ndata: \"choices\":[]}\r\n\r\n" + final + "data: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		var mismatched atomic.Uint64
		d := decoder{
			attempt:    "1",
			mismatched: &mismatched,
		}
		var tokens int
		end, err := d.run(strings.NewReader(stream), func(fr Frame) error {
			if fr.Tokens < 0 {
				t.Fatalf("frame %+v", fr)
			}
			tokens += fr.Tokens
			return nil
		})
		if err != nil {
			return
		}
		if !d.sawFinal || end.Tokens != tokens {
			t.Fatalf("end %+v after %d tokens", end, tokens)
		}
		if !strings.Contains(stream, doneMarker) {
			t.Fatalf("accepted as a complete answer: %q", stream)
		}
	})
}
