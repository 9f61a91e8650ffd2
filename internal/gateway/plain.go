package gateway

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/membudget"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// maxBufferedAnswer is the size in bytes up to which an answer is buffered until it is complete, so that the request can be
// retried if the answer is cut off.
const maxBufferedAnswer = 256 << 10

// maxUnsizedAnswer limits the size in bytes of an answer without Content-Length. Such an answer may be bytes without end of an
// upstream in trouble.
const maxUnsizedAnswer = 16 << 20

// servePlain runs the request at upstreams of a plain service until one attempt succeeds or no other is allowed.
func (r *request) servePlain() error {
	if err := r.g.plain.acquire(r.ctx); err != nil {
		return r.finalRefusal(verdict.As(err))
	}
	defer r.g.plain.release()
	var answer *plainAnswer // error answer of the last upstream; nil if it sent none
	for {
		upstream, ok := r.g.Board.PickPlain(placement.Query{Service: r.service, Now: time.Now(), Excluded: r.excluded})
		if !ok && answer != nil {
			return r.deliver(answer)
		}
		if !ok && r.waitForPaused() {
			continue
		}
		if !ok {
			return r.finalRefusal(r.noCapacity())
		}
		if r.acquirePermit(r.ctx, upstream) != nil || !r.g.Board.Accepts(upstream) { // it may have left meanwhile
			continue
		}
		if err := r.enterQuarantine(); err != nil {
			if answer != nil {
				return r.deliver(answer)
			}
			return err
		}
		if answer != nil {
			answer.close()
		}
		var err error
		answer, err = r.tryPlain(upstream)
		if err == nil {
			return r.deliver(answer)
		}
		failure := verdict.As(err)
		r.recordStep(verdict.ReasonName(failure.Reason), upstream.ID)
		r.excluded[upstream.ID] = true
		r.allowReturn(failure)
		if !r.mayRetry(failure) {
			if answer != nil {
				return r.deliver(answer)
			}
			return r.finalRefusal(failure)
		}
	}
}

// finalRefusal returns the refusal for the caller after the last failure. Its verdict covers all attempts: the request may have
// run if it may have run in any of them.
func (r *request) finalRefusal(failure *verdict.Refusal) error {
	if failure.Verdict == verdict.NotRun && r.possibleRuns > 0 {
		failure = &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: failure.Reason, Detail: failure.Detail}
	}
	if failure.Verdict == verdict.NotRun && failure.RetryAfter == 0 {
		failure.RetryAfter = overloadRetryAfter(r)
		if until, paused := r.pausedUntil(time.Now(), nil); paused { // also those that have just refused this request
			failure.RetryAfter = r.pausedRetryAfter(until)
		}
	}
	return failure
}

// plainAnswer is a complete answer, or the beginning of a large one.
type plainAnswer struct {
	status int
	header http.Header
	body   *membudget.Buffer
	rest   *upstreamconn.Response // the rest of a large answer; nil if body is complete
	work   *placement.Work        // ended after rest was sent
	// upstream is the one that sent the answer, and purpose the one of the call in metrics.
	upstream *fleet.Upstream
	purpose  string
}

// readAnswer reads an answer up to its end, or the beginning of a large one. While the memory for answers is in use, smaller ones count as
// large, and are not retried if they are cut off. An upstream whose answer is cut off becomes suspect. timer is the one of the attempt.
func (r *request) readAnswer(response *upstreamconn.Response, upstream *fleet.Upstream, work *placement.Work, purpose string, timer *responseTimer) (*plainAnswer, error) {
	body := r.g.AnswerMemory.NewBuffer()
	err := body.Fill(&progressReader{r: r, response: response, timer: timer}, maxBufferedAnswer)
	large := err == nil && body.Len() == maxBufferedAnswer || errors.Is(err, membudget.ErrExhausted)
	if err != nil && !large {
		body.Release()
		if !errors.Is(r.ctx.Err(), context.Canceled) { // the caller is still there
			r.g.Board.MarkSuspect(upstream.ID, time.Now())
		}
		r.g.Metrics.CountSend(purpose, "cut")
		return nil, truncatedAnswer(err)
	}
	answer := &plainAnswer{status: response.Status, header: response.Header, body: body, work: work, upstream: upstream, purpose: purpose}
	if large {
		answer.rest = response
	}
	return answer, nil
}

// close frees the answer and drops the rest of a large one.
func (a *plainAnswer) close() {
	a.body.Release()
	if a.rest != nil {
		a.rest.Close()
		a.work.End()
	}
}

// tryPlain makes one attempt at an upstream. If the upstream answers with an error status, it returns both the answer and an
// error; the answer is delivered if there is no further attempt.
func (r *request) tryPlain(upstream *fleet.Upstream) (*plainAnswer, error) {
	work := r.g.Board.BeginRun(upstream.ID, 0)
	streamRest := false
	defer func() {
		if !streamRest {
			work.End()
		}
	}()
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer func() {
		if !streamRest {
			cancel(nil)
		}
	}()
	r.sends++
	answerTimer := r.startAnswerTimer(upstream, cancel)
	defer answerTimer.stop()
	began := time.Now()
	r.recordStep("send", upstream.ID)
	response, err := r.send(ctx, &Attempt{Upstream: upstream, ResumeAfter: r.call.ResumeAfter, Permitted: true})
	if err != nil {
		r.g.Metrics.CountSend("plain", "failed")
		if r.mayBeCrash(ctx, err) {
			r.recordCrash(upstream)
		}
		return nil, r.timeoutRefusal(ctx, upstream, err)
	}
	answer, err := r.readAnswer(response, upstream, work, "plain", answerTimer)
	answerTimer.stop()
	if err != nil {
		if r.mayBeCrash(ctx, err) {
			r.recordCrash(upstream)
		}
		response.Close()
		return nil, r.timeoutRefusal(ctx, upstream, err)
	}
	if answer.rest != nil {
		streamRest = true
	} else {
		response.Close()
		r.g.Board.RecordAnswerTime(upstream.ID, time.Now(), time.Since(began))
		r.g.Metrics.CountSend("plain", "answered")
		r.recordAnswer(response.Status)
	}
	if response.Status >= 500 {
		return answer, &verdict.Refusal{Verdict: verdict.Ran, Reason: wirev1.Reason_REASON_UPSTREAM_ERROR, Detail: "status " + strconv.Itoa(response.Status)}
	}
	return answer, nil
}

// deliver sends an answer to the caller and closes it.
func (r *request) deliver(answer *plainAnswer) error {
	defer answer.close()
	header := r.w.Header()
	for name, values := range r.g.Protocol.ResponseHeader(answer.header) {
		header[name] = values
	}
	r.status = answer.status
	if answer.rest == nil {
		header.Set("Content-Length", strconv.Itoa(answer.body.Len()))
		r.written = true
		r.writeHeader(answer.status)
		return wrapForwardError(r.w.Write(answer.body.Bytes()))
	}
	r.written = true
	r.writeHeader(answer.status)
	rest := &restReader{body: answer.rest.Body, left: maxUnsizedAnswer - answer.body.Len()}
	if answer.rest.Length >= 0 {
		rest.left = math.MaxInt
	}
	_, err := io.Copy(r.w, io.MultiReader(bytes.NewReader(answer.body.Bytes()), rest))
	if rest.err == nil {
		r.g.Metrics.CountSend(answer.purpose, "answered")
		if err == nil {
			r.recordAnswer(answer.status)
		}
		return wrapForwardError(0, err)
	}
	if r.ctx.Err() == nil {
		r.g.Board.MarkSuspect(answer.upstream.ID, time.Now())
	}
	r.g.Metrics.CountSend(answer.purpose, "cut")
	failure := truncatedAnswer(rest.err)
	if r.mayBeCrash(r.ctx, failure) {
		r.recordCrash(answer.upstream)
	}
	return failure
}

// restReader reads the rest of an answer. It keeps an error that it returned, which distinguishes a failure of the upstream from
// one of the caller.
type restReader struct {
	body io.Reader
	left int // bytes until the size limit
	err  error
}

func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.left -= n
	if r.left < 0 {
		err = errors.Wrapf(upstreamconn.ErrMalformed, "the answer exceeds %d bytes", maxUnsizedAnswer)
	}
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// wrapForwardError adds context to an error from writing to the caller. Its parameters are the results of a write.
func wrapForwardError[N int | int64](_ N, err error) error {
	if err != nil {
		return errors.Wrap(err, "forward answer to caller")
	}
	return nil
}
