// Package readlimit limits what a process reads of one response of another program, which may send bytes without end.
package readlimit

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// MaxHeadBytes is the maximum size of the headers of a response. The default of net/http is 10 MB; short header lines without end
// then took 53 MB a response.
const MaxHeadBytes = 64 << 10

// ErrTooLarge means that a response, or a value in it, exceeds its maximum size.
var ErrTooLarge = errors.New("response too large")

// Reader reads from Source until Left bytes were read, and then fails with ErrTooLarge. Left may be set again at any time.
type Reader struct {
	Source io.Reader
	Left   int
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.Left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := r.Source.Read(p[:min(len(p), r.Left)])
	r.Left -= n
	return n, err
}

// Client returns a copy of a client, nil for http.DefaultClient, that accepts no larger heads than MaxHeadBytes.
func Client(client *http.Client) *http.Client {
	if client == nil {
		client = http.DefaultClient
	}
	return WithTransport(client, func(t *http.Transport) { t.MaxResponseHeaderBytes = MaxHeadBytes })
}

// WithTransport returns a copy of a client whose transport is changed, unless that is not net/http's.
func WithTransport(client *http.Client, change func(*http.Transport)) *http.Client {
	changed := *client
	if changed.Transport == nil {
		changed.Transport = http.DefaultTransport
	}
	if transport, ok := changed.Transport.(*http.Transport); ok {
		transport = transport.Clone()
		change(transport)
		changed.Transport = transport
	}
	return &changed
}
