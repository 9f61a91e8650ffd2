package sidecar

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/call"
	"github.com/fulmardoor/fulmardoor/internal/headers"
	"github.com/fulmardoor/fulmardoor/internal/readlimit"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
	"github.com/fulmardoor/fulmardoor/internal/wholeresponse"
)

const (
	bodyChunkBytes     = 32 << 10
	serviceDialTimeout = 2 * time.Second
)

// ServiceUpstream runs calls of a plain HTTP service.
type ServiceUpstream struct {
	baseURL string
	// transport opens a connection for each request. On a connection that was used before, net/http may send a request again by
	// itself, and takes a response that the service repeats for the response to the next request.
	transport http.RoundTripper
	timeouts  timeoutStreak
}

// NewServiceUpstreamWithTransport returns the upstream at a base URL that is reached through a given round tripper, which
// must send each request at most once.
func NewServiceUpstreamWithTransport(baseURL string, transport http.RoundTripper) *ServiceUpstream {
	return &ServiceUpstream{baseURL: baseURL, transport: transport}
}

// NewServiceUpstream returns the upstream at a base URL.
func NewServiceUpstream(baseURL string) *ServiceUpstream {
	dialer := &net.Dialer{Timeout: serviceDialTimeout}
	return &ServiceUpstream{
		baseURL: baseURL,
		transport: wholeresponse.Transport(&http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: readlimit.MaxHeadBytes,
		}),
	}
}

// Start implements Upstream.
func (u *ServiceUpstream) Start(context.Context) error { return nil }

// Run implements Upstream.
func (u *ServiceUpstream) Run(c *call.Call, work *wirev1.Work, _ func(int)) *wirev1.Outcome {
	httpWork := work.GetHttp()
	if httpWork == nil {
		return notRun(wirev1.Reason_REASON_MALFORMED, "the upstream is a plain service")
	}
	ctx, cancel := context.WithCancel(c.Context())
	if limit := httpWork.GetTimeoutMs(); limit > 0 {
		ctx, cancel = context.WithTimeout(c.Context(), time.Duration(limit)*time.Millisecond)
	}
	defer cancel()
	req, err := u.request(ctx, c.ID, httpWork)
	if err != nil {
		return notRun(wirev1.Reason_REASON_MALFORMED, err.Error())
	}
	response, err := u.transport.RoundTrip(req)
	if err != nil {
		return u.failedOutcome(ctx, c, err)
	}
	defer func() { _ = response.Body.Close() }()
	u.timeouts.reset()
	return u.copyResponse(ctx, c, response)
}

func (u *ServiceUpstream) request(ctx context.Context, id call.ID, work *wirev1.HTTPWork) (*http.Request, error) {
	body := bytes.NewReader(work.GetBody())
	req, err := http.NewRequestWithContext(ctx, work.GetMethod(), u.baseURL+work.GetPath(), body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for _, h := range work.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.Set("X-Request-Id", id.String())
	return req, nil
}

// failedOutcome returns the outcome of a call without a response. Only a failed dial proves that the request did not run.
func (u *ServiceUpstream) failedOutcome(ctx context.Context, c *call.Call, err error) *wirev1.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notRun(wirev1.Reason_REASON_UPSTREAM_UNREACHABLE, "no connection to the upstream")
	}
	outcome := &wirev1.Outcome{
		Verdict: wirev1.Verdict_VERDICT_MAY_HAVE_RUN, Reason: wirev1.Reason_REASON_UPSTREAM_BROKE,
		Detail: "the upstream closed the connection before it responded",
	}
	if errors.Is(err, wholeresponse.ErrMalformed) {
		outcome.Reason, outcome.Detail = wirev1.Reason_REASON_UPSTREAM_ERROR, "the upstream sent a malformed response"
	}
	if ctx.Err() != nil {
		outcome.Reason, outcome.Detail = cancelReason(c.Context())
	}
	if outcome.GetReason() == wirev1.Reason_REASON_DEADLINE {
		u.timeouts.recordTimeout()
	}
	return outcome
}

// copyResponse emits the head and the body of a response as frames of a call.
func (u *ServiceUpstream) copyResponse(ctx context.Context, c *call.Call, response *http.Response) *wirev1.Outcome {
	head := &wirev1.HTTPHead{Status: uint32(response.StatusCode)}
	headers.EachResponseHeader(response.Header, func(name, value string) {
		head.Headers = append(head.Headers, &wirev1.Header{Name: name, Value: value})
	})
	outcome := &wirev1.Outcome{Verdict: wirev1.Verdict_VERDICT_RAN}
	if err := c.Emit(&wirev1.Frame{Body: &wirev1.Frame_HttpHead{HttpHead: head}}); err != nil {
		outcome.Reason, outcome.Detail = cancelReason(c.Context())
		return outcome
	}
	chunk := make([]byte, bufferSize(response.ContentLength))
	for {
		n, err := response.Body.Read(chunk)
		if n > 0 {
			// Frames are kept until they are acknowledged, some for a minute, so each gets a copy of exactly its size.
			body := bytes.Clone(chunk[:n])
			if emitErr := c.Emit(&wirev1.Frame{Body: &wirev1.Frame_HttpBody{HttpBody: body}}); emitErr != nil {
				outcome.Reason, outcome.Detail = cancelReason(c.Context())
				return outcome
			}
		}
		if errors.Is(err, io.EOF) {
			return outcome
		}
		if err != nil {
			outcome.Reason, outcome.Detail = wirev1.Reason_REASON_UPSTREAM_BROKE, "the upstream closed the connection before the end of its response"
			if ctx.Err() != nil {
				outcome.Reason, outcome.Detail = cancelReason(c.Context())
			}
			return outcome
		}
	}
}

// bufferSize returns the size of the read buffer for a response with a content length, which is negative if unknown. The
// buffer is one byte larger than a short response, so that the read of its last bytes can also return io.EOF.
func bufferSize(length int64) int {
	if length < 0 || length >= bodyChunkBytes {
		return bodyChunkBytes
	}
	return int(length) + 1
}

// cancelReason returns the reason for which the context of a call ended, with its detail.
func cancelReason(ctx context.Context) (wirev1.Reason, string) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, call.ErrEntryLost):
		return wirev1.Reason_REASON_ENTRY_LOST, cause.Error()
	case errors.Is(cause, call.ErrCancelled):
		return wirev1.Reason_REASON_CANCELLED, cause.Error()
	case errors.Is(cause, call.ErrStalled):
		return wirev1.Reason_REASON_STALLED, cause.Error()
	case errors.Is(cause, call.ErrStopping):
		return wirev1.Reason_REASON_STOPPING, cause.Error()
	default:
		return wirev1.Reason_REASON_DEADLINE, "the call exceeded the timeout of its route"
	}
}

func notRun(reason wirev1.Reason, detail string) *wirev1.Outcome {
	return &wirev1.Outcome{Verdict: verdict.NotRun.Wire(), Reason: reason, Detail: detail}
}

// Stalled implements Upstream.
func (u *ServiceUpstream) Stalled() bool { return u.timeouts.stalled() }

// Probe implements Upstream with a request that any HTTP service answers.
func (u *ServiceUpstream) Probe(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodOptions, u.baseURL+"/", nil)
	if err != nil {
		return errors.Wrap(err, "build probe")
	}
	response, err := u.transport.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	if err := response.Body.Close(); err != nil {
		return errors.Wrap(err, "close probe response")
	}
	if !u.timeouts.endStall() {
		return errors.New("the backoff after the stall is not over")
	}
	return nil
}

// Quote implements Upstream.
func (u *ServiceUpstream) Quote(_ *wirev1.QuoteRequest, load *wirev1.Load) *wirev1.QuoteReply {
	return &wirev1.QuoteReply{WaitMs: load.GetQueueMs()}
}

// FillLoad implements Upstream.
func (u *ServiceUpstream) FillLoad(*wirev1.Load) {}

// Release implements Upstream.
func (u *ServiceUpstream) Release(call.ID) {}

// Order implements Upstream.
func (u *ServiceUpstream) Order(context.Context, uint64, *wirev1.EngineOrder) error {
	return errors.New("a plain service accepts no engine orders")
}
