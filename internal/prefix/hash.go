// Package prefix identifies prompt prefixes by block hashes, chooses nodes by prefix affinity and tracks the contents
// of an engine's prefix cache.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the assumed length of a token in bytes of text.
const BytesPerToken = 4

// TokenCount returns the estimated number of tokens in text, rounded up.
func TokenCount(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// BlockHashes returns one hash for each full block of blockTokens tokens, first block first. Each hash covers its block
// and all blocks before it, so equal hashes mean equal prefixes. It returns nil if blockTokens is not positive.
func BlockHashes(prompt string, blockTokens int) []uint64 {
	if blockTokens <= 0 {
		return nil
	}
	blockBytes := blockTokens * BytesPerToken
	hashes := make([]uint64, 0, TokenCount(prompt)/blockTokens)
	var chain [8]byte
	digest := xxhash.New()
	for range TokenCount(prompt) / blockTokens {
		block := prompt[:min(blockBytes, len(prompt))]
		prompt = prompt[len(block):]
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(block)
		hash := digest.Sum64()
		binary.LittleEndian.PutUint64(chain[:], hash)
		hashes = append(hashes, hash)
	}
	return hashes
}
