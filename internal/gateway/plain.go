package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/placement"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// bufferedAnswer is the largest answer that is held until it is whole, so that one that breaks off can be replaced.
const bufferedAnswer = 256 << 10

// servePlain runs the request at a plain service.
func (r *request) servePlain() error {
	var answer *plainAnswer // of the last upstream that failed
	for {
		upstream, ok := r.g.Board.Plain(placement.Query{Service: r.service, Now: time.Now(), Excluded: r.excluded})
		if !ok && answer != nil {
			return r.deliver(answer)
		}
		if !ok {
			return r.finalRefusal(noUpstream())
		}
		var err error
		answer, err = r.tryPlain(upstream)
		if err == nil {
			return r.deliver(answer)
		}
		failure := verdict.As(err)
		r.step(verdict.ReasonName(failure.Reason), upstream.ID)
		r.excluded[upstream.ID] = true
		if !r.mayRepeat(failure) {
			if answer != nil {
				return r.deliver(answer)
			}
			return r.finalRefusal(failure)
		}
	}
}

// finalRefusal is the final refusal after the last failure.
func (r *request) finalRefusal(failure *verdict.Refusal) error {
	if failure.Verdict == verdict.NotRun && r.ran > 0 {
		failure = &verdict.Refusal{Verdict: verdict.MayHaveRun, Reason: failure.Reason, Detail: failure.Detail}
	}
	if failure.Verdict == verdict.NotRun {
		failure.RetryAfter = overloadPause(r)
	}
	return failure
}

// plainAnswer is a whole answer, or the beginning of a large one with the rest still to be read.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
	rest   *upstreamconn.Response
	work   *placement.Work
}

// tryPlain runs the request at one upstream. An error beside an answer means that the upstream itself failed; the answer
// is what the caller gets if no other upstream is tried.
func (r *request) tryPlain(upstream *fleet.Upstream) (*plainAnswer, error) {
	work := r.g.Board.BeginRun(upstream.ID, 0)
	keep := false
	defer func() {
		if !keep {
			work.End()
		}
	}()
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer func() {
		if !keep {
			cancel(nil)
		}
	}()
	defer r.watchAnswer(upstream, cancel).stop()
	began := time.Now()
	r.sends++
	r.step("send", upstream.ID)
	response, err := r.send(ctx, &Send{Upstream: upstream, ResumeAfter: r.call.ResumeAfter})
	if err != nil {
		r.g.Metrics.Sent("plain", "failed")
		return nil, err
	}
	answer := &plainAnswer{status: response.Status, header: response.Header, work: work}
	answer.body, err = io.ReadAll(io.LimitReader(response.Body, bufferedAnswer))
	if err != nil {
		response.Close()
		r.g.Board.Silent(upstream.ID, time.Now())
		r.g.Metrics.Sent("plain", "cut")
		return nil, brokenAnswer(err)
	}
	if len(answer.body) == bufferedAnswer {
		answer.rest, keep = response, true
		return answer, nil
	}
	response.Close()
	r.g.Board.Took(upstream.ID, time.Since(began))
	r.g.Metrics.Sent("plain", "answered")
	if response.Status >= 500 {
		return answer, &verdict.Refusal{Verdict: verdict.Ran, Reason: wirev1.Reason_REASON_UPSTREAM_ERROR, Detail: "status " + strconv.Itoa(response.Status)}
	}
	return answer, nil
}

// deliver passes an answer on.
func (r *request) deliver(answer *plainAnswer) error {
	header := r.w.Header()
	for name, values := range r.g.Protocol.ResponseHeader(answer.header) {
		header[name] = values
	}
	r.status = answer.status
	if answer.rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(answer.body)))
		r.written = true
		r.w.WriteHeader(answer.status)
		return passed(r.w.Write(answer.body))
	}
	defer answer.work.End()
	defer answer.rest.Close()
	r.written = true
	r.w.WriteHeader(answer.status)
	return passed(io.Copy(r.w, io.MultiReader(bytes.NewReader(answer.body), answer.rest.Body)))
}

// passed returns the error of passing an answer on.
func passed[N int | int64](_ N, err error) error {
	if err != nil {
		return errors.Wrap(err, "pass answer on")
	}
	return nil
}
