package sim

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken     = 4  // of a prompt
	minAnswerTokens   = 16 // of an answer to a prompt without a directive
	answerTokensRange = 48 // on top of minAnswerTokens
	tokensDirective   = "tokens="
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the text that the engines answer: all messages in order.
func Prompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte(0)
		b.WriteString(m.Content)
		b.WriteByte(0)
	}
	return b.String()
}

// PromptTokens counts the tokens of a prompt as the engines do: per message,
// one token for every four bytes of content, rounded up.
func PromptTokens(messages []Message) int {
	var n int
	for _, m := range messages {
		n += (len(m.Content) + bytesPerToken - 1) / bytesPerToken
	}
	return n
}

// AnswerTokens returns the number of tokens of the complete answer to a prompt. A
// directive such as "tokens=50" in the prompt sets it.
func AnswerTokens(prompt string) int {
	if _, rest, ok := strings.Cut(prompt, tokensDirective); ok {
		end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
		if end < 0 {
			end = len(rest)
		}
		if n, err := strconv.Atoi(rest[:end]); err == nil {
			return n
		}
	}
	return minAnswerTokens + int(xxhash.Sum64String(prompt)%answerTokensRange)
}

// Token returns token i of the answer to a prompt.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return fmt.Sprintf("t%d.%06x ", i, h&0xffffff)
}

// Answer returns the complete answer to the messages, truncated to maxTokens.
func Answer(messages []Message, maxTokens int) string {
	prompt := Prompt(messages)
	n := min(AnswerTokens(prompt), maxTokens)
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// promptDigest returns the digest that identifies a prompt in the audit.
func promptDigest(prompt string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prompt))
}
