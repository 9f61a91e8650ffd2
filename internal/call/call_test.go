package call

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/transport"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

func execute(issuer *transport.NonceIssuer, sequence uint64) *wirev1.ExecuteRequest {
	return &wirev1.ExecuteRequest{
		Call: ID{Incarnation: 9, Sequence: sequence}.Wire(), Nonce: issuer.Issue(), Account: "a",
	}
}

func query(req *wirev1.ExecuteRequest) *wirev1.QueryRequest {
	return &wirev1.QueryRequest{Call: req.GetCall(), Nonce: req.GetNonce(), Bar: true}
}

// Guards against a call that starts because its first message arrives after a query was answered with "not run".
func TestBarredCallNeverStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := transport.NewNonceIssuer(1)
		r := NewRegistry(issuer, 0)
		late := execute(issuer, 1)
		if got := r.Query(query(late)).GetVerdict(); got != wirev1.Verdict_VERDICT_NOT_RUN {
			t.Fatalf("verdict of an unknown call: %v", got)
		}
		for _, wait := range []time.Duration{0, transport.FenceWindow, barRetention, Retention} {
			time.Sleep(wait)
			if _, _, err := r.Start(late); err == nil || verdict.As(err).Verdict != verdict.NotRun {
				t.Fatalf("late copy started, err %v", err)
			}
		}
	})
}

// Guards against the verdict "not run" for a call that ran but is no longer kept, after its retention or after a
// restart.
func TestForgottenCallMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := transport.NewNonceIssuer(1)
		r := NewRegistry(issuer, 0)
		req := execute(issuer, 1)
		c, _, err := r.Start(req)
		if err != nil {
			t.Fatal(err)
		}
		c.Finish(&wirev1.Outcome{Verdict: wirev1.Verdict_VERDICT_RAN})
		time.Sleep(Retention)
		if got := r.Query(query(req)).GetVerdict(); got != wirev1.Verdict_VERDICT_RAN {
			t.Errorf("verdict within retention: %v", got)
		}
		time.Sleep(2 * sweepInterval)
		if got := r.Query(query(req)).GetVerdict(); got != wirev1.Verdict_VERDICT_MAY_HAVE_RUN {
			t.Errorf("verdict after retention: %v", got)
		}
		restarted := NewRegistry(transport.NewNonceIssuer(2), 0)
		if got := restarted.Query(query(execute(issuer, 1))).GetVerdict(); got != wirev1.Verdict_VERDICT_MAY_HAVE_RUN {
			t.Errorf("verdict after restart: %v", got)
		}
	})
}

// Guards against lost or duplicate frames when the answer continues over a new stream, and against work that goes on
// for an entry that does not reconnect.
func TestResumeAndLostEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := transport.NewNonceIssuer(1)
		r := NewRegistry(issuer, 0)
		c, _, err := r.Start(execute(issuer, 1))
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for c.Emit(&wirev1.Frame{Body: &wirev1.Frame_Token{Token: &wirev1.Token{Text: "x"}}}) == nil {
				time.Sleep(100 * time.Millisecond)
				if c.Context().Err() != nil {
					return
				}
			}
		}()
		first := c.Attach()
		next := readFrames(t, c, first, 1, 20)
		c.Ack(next - 3)
		c.Detach(first)
		time.Sleep(DefaultResumeWindow - time.Second)
		second := c.Attach()
		if _, err := c.Next(t.Context(), first, next); err != ErrSuperseded {
			t.Errorf("old stream still delivers frames: %v", err)
		}
		readFrames(t, c, second, next-2, 40)
		c.Detach(second)
		time.Sleep(DefaultResumeWindow + time.Millisecond)
		if context.Cause(c.Context()) != ErrEntryLost {
			t.Errorf("call goes on without an entry: %v", context.Cause(c.Context()))
		}
		time.Sleep(time.Second)
	})
}

func readFrames(t *testing.T, c *Call, generation int, from uint64, count int) uint64 {
	t.Helper()
	for range count {
		frame, err := c.Next(t.Context(), generation, from)
		if err != nil || frame.GetNumber() != from {
			t.Fatalf("frame %d: got %v, err %v", from, frame.GetNumber(), err)
		}
		from++
	}
	return from
}

// Guards against unbounded buffering of an upstream's answer while the entry acknowledges nothing.
func TestBackpressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCall(ID{}, "a", time.Second, nil)
		emitted := 0
		go func() {
			for c.Emit(&wirev1.Frame{Body: &wirev1.Frame_HttpBody{HttpBody: make([]byte, 64<<10)}}) == nil {
				emitted++
			}
		}()
		synctest.Wait()
		if emitted*(64<<10) > MaxBufferedBytes {
			t.Errorf("%d frames buffered", emitted)
		}
		before := emitted
		c.Ack(uint64(before))
		synctest.Wait()
		if emitted <= before {
			t.Error("Emit is still blocked after an acknowledgement")
		}
		c.Cancel(ErrCancelled)
	})
}

// Guards against a booking that runs twice because the caller repeated it with the same idempotency key.
func TestIdempotencyKeyReplays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := transport.NewNonceIssuer(1)
		r := NewRegistry(issuer, 0)
		booking := func(sequence uint64) *wirev1.ExecuteRequest {
			req := execute(issuer, sequence)
			req.Work = &wirev1.Work{Kind: &wirev1.Work_Http{Http: &wirev1.HTTPWork{IdempotencyKey: "k"}}}
			return req
		}
		first, started, err := r.Start(booking(1))
		if err != nil || !started {
			t.Fatalf("started %v, err %v", started, err)
		}
		first.Finish(&wirev1.Outcome{Verdict: wirev1.Verdict_VERDICT_RAN})
		first.Ack(1)
		again, started, err := r.Start(booking(2))
		if err != nil || started || again != first {
			t.Fatalf("repeat started %v, err %v", started, err)
		}
		readFrames(t, again, Observer, 1, 1)
	})
}

// Guards against a call that starts although its entry cancelled it while it waited for its place.
func TestCancelledBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := transport.NewNonceIssuer(1)
		r := NewRegistry(issuer, 0)
		req := execute(issuer, 1)
		r.Bar(FromWire(req.GetCall()))
		if _, _, err := r.Start(req); err == nil || verdict.As(err).Reason != wirev1.Reason_REASON_BARRED {
			t.Errorf("cancelled call started, err %v", err)
		}
	})
}

// Guards against answers that are kept for repeated requests and take ever more memory: a long one, and many together. Ordinary answers
// are kept all the same.
func TestKeptAnswersAreBounded(t *testing.T) {
	issuer := transport.NewNonceIssuer(1)
	r := NewRegistry(issuer, 0)
	answer := func(sequence uint64, bytes int) *Call {
		t.Helper()
		req := execute(issuer, sequence)
		req.Work = &wirev1.Work{Kind: &wirev1.Work_Http{Http: &wirev1.HTTPWork{IdempotencyKey: fmt.Sprint(sequence)}}}
		c, _, err := r.Start(req)
		if err != nil {
			t.Fatal(err)
		}
		for number := uint64(1); bytes > 0; number++ {
			chunk := min(bytes, 32<<10)
			if err := c.Emit(&wirev1.Frame{Body: &wirev1.Frame_HttpBody{HttpBody: make([]byte, chunk)}}); err != nil {
				t.Fatal(err)
			}
			c.Ack(number)
			bytes -= chunk
		}
		c.Finish(&wirev1.Outcome{Verdict: wirev1.Verdict_VERDICT_RAN})
		return c
	}
	kept := func(c *Call) bool {
		_, err := c.Next(t.Context(), Observer, 1)
		return err == nil
	}
	if long := answer(1, 100<<20); kept(long) || len(long.frames) > 1 {
		t.Errorf("an answer of 100 MB is kept, with %d frames", len(long.frames))
	}
	const count, size = 100, 900 << 10
	memory := 0
	for i := range count {
		if kept(answer(uint64(10+i), size)) {
			memory += size
		}
	}
	if memory > keptMemoryBytes || memory < keptMemoryBytes-2*size {
		t.Errorf("%d MB of answers of 900 KB are kept, the limit is %d", memory>>20, keptMemoryBytes>>20)
	}
	if !kept(answer(2, 800)) {
		t.Error("an ordinary answer is not kept")
	}
}
