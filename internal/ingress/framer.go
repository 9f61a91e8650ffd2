package ingress

import "bytes"

// section is the part of a request to which the next byte of a connection belongs.
type section int

const (
	// inHead also stands for the time between two requests.
	inHead section = iota
	inBody
	inChunks
)

// framer finds the ends of the heads and bodies in what a client sends, so that a part is never read beyond its end and each byte is counted for the
// request to which it belongs, also when requests are pipelined. It judges nothing: the server parses what it gets.
type framer struct {
	section section
	line    line
	// begun is set when the first line of a head is complete.
	begun    bool
	bodyLeft int64 // bytes of the body that were not taken; in section inBody
	chunks   chunkScanner
}

// expectBody is called after a head with the length of its body, -1 for a chunked one.
func (f *framer) expectBody(length int64) {
	switch {
	case length > 0:
		f.section, f.bodyLeft = inBody, length
	case length < 0:
		f.section, f.chunks = inChunks, chunkScanner{}
	}
}

// takeHead takes the beginning of p up to the end of the head, and returns its size and its number of lines. Empty lines before the first one do not
// end a head: the server skips them after a POST, because old clients send them, and closes the connection otherwise.
func (f *framer) takeHead(p []byte) (size, lines int, ended bool) {
	for {
		n, more, empty := f.line.scan(p[size:])
		size, lines = size+n, lines+more
		if !empty {
			f.begun = f.begun || more > 0
			return size, lines, false
		}
		if f.begun || more > 1 {
			f.begun = false
			return size, lines, true
		}
	}
}

// headBegun reports whether a part of the next head was received that is no empty line.
func (f *framer) headBegun() bool { return f.begun || f.line.length > 0 && !f.line.onlyCR }

// takeBody takes the beginning of p up to the end of the body, and returns its size.
func (f *framer) takeBody(p []byte) int {
	ended := false
	size := len(p)
	if f.section == inBody {
		size = int(min(int64(size), f.bodyLeft))
		f.bodyLeft -= int64(size)
		ended = f.bodyLeft == 0
	} else {
		size, ended = f.chunks.take(p)
	}
	if ended {
		f.section = inHead
	}
	return size
}

// line is the beginning of a line whose end was not received.
type line struct {
	length int
	// onlyCR is set if the line consists of a carriage return.
	onlyCR bool
}

// scan takes the beginning of p up to the end of an empty line.
func (l *line) scan(p []byte) (size, lines int, empty bool) {
	for size < len(p) {
		end := bytes.IndexByte(p[size:], '\n')
		if end < 0 {
			l.add(p[size:])
			return len(p), lines, false
		}
		l.add(p[size : size+end])
		empty = l.length == 0 || l.onlyCR
		*l = line{}
		size += end + 1
		lines++
		if empty {
			return size, lines, true
		}
	}
	return size, lines, false
}

func (l *line) add(p []byte) {
	if len(p) > 0 {
		l.onlyCR = l.length == 0 && len(p) == 1 && p[0] == '\r'
		l.length += len(p)
	}
}

// maxChunkBytes is more than any chunk that the server accepts.
const maxChunkBytes = 1 << 50

// chunkScanner finds the end of a chunked body.
type chunkScanner struct {
	size      int64 // of the next chunk, as far as it was received
	extension bool  // the rest of the line is not part of the size
	left      int64 // bytes of the chunk, with the line end after it
	trailer   bool  // the last chunk was received
	line      line
}

// take takes the beginning of p up to the end of the body.
func (c *chunkScanner) take(p []byte) (size int, ended bool) {
	for size < len(p) {
		switch {
		case c.left > 0:
			n := min(int64(len(p)-size), c.left)
			c.left -= n
			size += int(n)
		case c.trailer:
			n, _, end := c.line.scan(p[size:])
			return size + n, end
		default:
			c.takeSize(p[size])
			size++
		}
	}
	return size, false
}

// takeSize takes one byte of the line with the size of a chunk.
func (c *chunkScanner) takeSize(b byte) {
	digit := hexDigit(b)
	switch {
	case b == '\n':
		c.trailer = c.size == 0
		if !c.trailer {
			c.left = c.size + int64(len("\r\n"))
		}
		c.size, c.extension = 0, false
	case c.extension || digit < 0:
		c.extension = true
	default:
		c.size = min(c.size<<4|digit, maxChunkBytes)
	}
}

func hexDigit(b byte) int64 {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0')
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10
	}
	return -1
}
