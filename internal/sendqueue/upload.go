package sendqueue

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// EndTimeout limits how long the rest of a request may take after the upstream ended the connection in its direction. An upstream that responds early
// and then reads the rest takes it in some round trips.
const EndTimeout = time.Second

// Upload is the write of one request, which may go on while the response is read. A nil Upload was written before.
type Upload struct {
	once sync.Once
	done chan struct{}
	err  error // valid after done was closed
}

// NewUpload returns an upload that has not ended.
func NewUpload() *Upload { return &Upload{done: make(chan struct{})} }

// End ends the write with its error. Further calls do nothing.
func (u *Upload) End(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.done)
	})
}

// Written reports whether the whole request has been written.
func (u *Upload) Written() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// Wait waits for the end of the write, for EndTimeout at most, and returns its error. The end of a request closes its connection, which ends the write.
func (u *Upload) Wait() error {
	if u == nil {
		return nil
	}
	timeout := time.NewTimer(EndTimeout)
	defer timeout.Stop()
	select {
	case <-u.done:
		return u.err
	case <-timeout.C:
		return errors.New("the upstream does not read the rest of the request")
	}
}
