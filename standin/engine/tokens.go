package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmardoor/fulmardoor/internal/prefix"
)

const tokenAlphabet = "abcdefghijklmnopqrstuvwxyz012345"

// generator produces deterministic output tokens. Each token depends on the model and on all text before it. An
// interrupted answer that is continued with the delivered tokens appended to the prompt therefore ends like the
// uninterrupted one.
type generator struct {
	digest *xxhash.Digest
	// stopEvery is the mean length of an answer: each token ends it with a probability of 1/stopEvery. Zero never ends
	// it.
	stopEvery int
}

func newGenerator(model, prompt string, stopEvery int) *generator {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return &generator{digest: digest, stopEvery: stopEvery}
}

// next returns the next token, or false at the end of the answer.
func (g *generator) next() (string, bool) {
	hash := g.digest.Sum64()
	if g.stopEvery > 0 && (hash>>32)%uint64(g.stopEvery) == 0 {
		return "", false
	}
	var text [prefix.BytesPerToken]byte
	text[0] = ' '
	for i := 1; i < len(text); i++ {
		text[i] = tokenAlphabet[hash%uint64(len(tokenAlphabet))]
		hash /= uint64(len(tokenAlphabet))
	}
	_, _ = g.digest.Write(text[:])
	return string(text[:]), true
}

// ExpectedOutput returns the answer, at most maxTokens long, that every Core with the given MeanOutputTokens generates
// for a prompt.
func ExpectedOutput(model, prompt string, meanOutputTokens, maxTokens int) []string {
	g := newGenerator(model, prompt, meanOutputTokens)
	var tokens []string
	for len(tokens) < maxTokens {
		text, ok := g.next()
		if !ok {
			break
		}
		tokens = append(tokens, text)
	}
	return tokens
}

// promptFingerprint returns a hash of the model and the prompt, by which an importing engine checks that a KV cache
// belongs to its prompt.
func promptFingerprint(model, prompt string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], xxhash.Sum64String(model))
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}
