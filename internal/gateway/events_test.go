package gateway

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

// Guards against an event that is split, or joined with the next one, because a line ends at the end of a read buffer.
func TestEventsAtEndsOfReadBuffer(t *testing.T) {
	const size = 16 // the smallest buffer of a bufio.Reader
	for length := 1; length <= 3*size+1; length++ {
		for _, lineEnd := range []string{"\n", "\r\n"} {
			want := []string{
				"id: 1" + lineEnd + "data:" + strings.Repeat("x", length) + lineEnd + "data: y" + lineEnd + lineEnd,
				"id: 2" + lineEnd + lineEnd,
			}
			for name, wrap := range map[string]func(io.Reader) io.Reader{
				"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader,
			} {
				reader := bufio.NewReaderSize(wrap(strings.NewReader(strings.Join(want, ""))), size)
				buffer := membudget.New(0).NewBuffer()
				for i, event := range want {
					err := readEvent(reader, buffer)
					if got := buffer.Bytes(); err != nil || string(got) != event {
						t.Errorf("line of %d bytes, line end %q, %s: event %d is %q (%v), want %q", length+5, lineEnd, name, i, got, err, event)
					}
				}
				err := readEvent(reader, buffer)
				if got := buffer.Bytes(); err != io.EOF || len(got) > 0 {
					t.Errorf("line of %d bytes, line end %q, %s: %q (%v) after the last event", length+5, lineEnd, name, got, err)
				}
			}
		}
	}
}
