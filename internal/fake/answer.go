package fake

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PromptHash is the number that stands for a prompt in the truth.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// AnswerLength returns how many tokens the stand-in engines answer a prompt
// with: between three tenths of maxTokens and all of them.
func AnswerLength(prompt string, maxTokens int) int {
	if maxTokens <= 1 {
		return max(maxTokens, 0)
	}
	share := 300 + PromptHash(prompt)%701
	return max(1, int(uint64(maxTokens)*share/1000))
}

// Token returns token i of the answer to the prompt with the hash.
func Token(hash uint64, i int) string {
	return "w" + strconv.FormatUint(hash&0xffffff, 36) + "." + strconv.Itoa(i) + " "
}

// Answer returns the whole answer that the stand-in engines give.
func Answer(prompt string, maxTokens int) string {
	hash := PromptHash(prompt)
	var b strings.Builder
	for i := range AnswerLength(prompt, maxTokens) {
		b.WriteString(Token(hash, i))
	}
	return b.String()
}
