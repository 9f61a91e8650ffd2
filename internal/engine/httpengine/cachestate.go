package httpengine

import (
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"github.com/fulmardoor/fulmardoor/internal/engine"
	"github.com/fulmardoor/fulmardoor/internal/engine/vllm"
	"github.com/fulmardoor/fulmardoor/internal/readlimit"
)

const (
	// maxCacheBlocks is the maximum number of blocks in a cache state, each of which the prefix index keeps in a map.
	maxCacheBlocks = 1 << 20
	// maxCacheValueBytes is the maximum size of one value in a cache state, apart from the list of blocks.
	maxCacheValueBytes = 64 << 10
)

// readCacheState decodes a vllm.CacheState as it arrives, because its text takes several times the memory of its values.
func readCacheState(body io.Reader) (engine.CacheState, error) {
	limit := &readlimit.Reader{Source: body, Left: maxCacheValueBytes}
	decoder := json.NewDecoder(limit)
	next := func(value any) error {
		limit.Left = maxCacheValueBytes
		return decoder.Decode(value)
	}
	var state vllm.CacheState
	if err := expectDelim(decoder, '{'); err != nil {
		return engine.CacheState{}, err
	}
	for decoder.More() {
		limit.Left = maxCacheValueBytes
		name, err := decoder.Token()
		if err != nil {
			return engine.CacheState{}, err
		}
		switch name {
		case "number":
			err = next(&state.Number)
		case "hashes":
			state.Hashes, err = readHashes(decoder, next)
		default:
			err = next(new(json.RawMessage))
		}
		if err != nil {
			return engine.CacheState{}, err
		}
	}
	if err := expectDelim(decoder, '}'); err != nil {
		return engine.CacheState{}, err
	}
	return engine.CacheState{Number: state.Number, Hashes: state.Hashes}, nil
}

// readHashes decodes a list of hashes, or null.
func readHashes(decoder *json.Decoder, next func(value any) error) (hashes []uint64, err error) {
	start, err := decoder.Token()
	if err != nil || start == nil {
		return nil, err
	}
	if start != json.Delim('[') {
		return nil, errors.Errorf("%v where the list of hashes is due", start)
	}
	for decoder.More() {
		var hash uint64
		if err := next(&hash); err != nil {
			return nil, err
		}
		if hashes = append(hashes, hash); len(hashes) > maxCacheBlocks {
			return nil, errors.Wrapf(readlimit.ErrTooLarge, "more than %d blocks", maxCacheBlocks)
		}
	}
	return hashes, expectDelim(decoder, ']')
}

func expectDelim(decoder *json.Decoder, want json.Delim) error {
	token, err := decoder.Token()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && token != want {
		err = errors.Errorf("%v where %v is due", token, want)
	}
	return err
}
