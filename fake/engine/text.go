package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// minLength is the minimum number of tokens of an answer that max_tokens does not truncate.
	minLength = 16
	// lengthSpan is the number of possible lengths of such answers.
	lengthSpan = 240
	// syllables is the number of syllables of a generated word.
	syllables = 3
	// bytesPerToken is the number of prompt bytes counted as one token.
	bytesPerToken = 4
)

const (
	consonants = "bdfgklmnprstvz"
	vowels     = "aeiou"
)

// Length returns the number of tokens of the answer to a prompt.
func Length(prompt string, maxTokens int) int {
	return min(maxTokens, minLength+int(xxhash.Sum64String(prompt)%lengthSpan))
}

// Text returns the first n tokens generated for a prompt.
func Text(prompt string, n int) string {
	var b strings.Builder
	seed := xxhash.Sum64String(prompt)
	for i := range n {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// Answer returns the complete answer to a prompt from an engine without FixedLength.
func Answer(prompt string, maxTokens int) string {
	return Text(prompt, Length(prompt, maxTokens))
}

// token returns token i of the answer to the prompt whose hash is seed.
func token(seed uint64, i int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	h := xxhash.Sum64(key[:])
	word := make([]byte, 0, 2*syllables+1)
	for range syllables {
		word = append(word, consonants[h%uint64(len(consonants))])
		h /= uint64(len(consonants))
		word = append(word, vowels[h%uint64(len(vowels))])
		h /= uint64(len(vowels))
	}
	return string(append(word, ' '))
}

// promptTokens returns the number of tokens of a prompt, rounded up.
func promptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}
