package fake

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PromptHash returns the hash that identifies a prompt in the records.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// AnswerLength returns the length in tokens of the stand-in engines' answer to
// a prompt: from three tenths of maxTokens up to maxTokens.
func AnswerLength(prompt string, maxTokens int) int {
	if maxTokens <= 1 {
		return max(maxTokens, 0)
	}
	share := 300 + PromptHash(prompt)%701
	return max(1, int(uint64(maxTokens)*share/1000))
}

// Token returns token i of the answer to the prompt with that hash.
func Token(hash uint64, i int) string {
	return "w" + strconv.FormatUint(hash&0xffffff, 36) + "." + strconv.Itoa(i) + " "
}

// Answer returns the stand-in engines' whole answer to a prompt.
func Answer(prompt string, maxTokens int) string {
	hash := PromptHash(prompt)
	var b strings.Builder
	for i := range AnswerLength(prompt, maxTokens) {
		b.WriteString(Token(hash, i))
	}
	return b.String()
}
