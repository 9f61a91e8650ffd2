package entry

import (
	"net/http"
	"time"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/events"
	"github.com/fulmardoor/fulmardoor/internal/verdict"
)

// decode runs the decode on the KV cache of a prefill and streams the tokens to the caller.
func (c *completion) decode(p *plan, place *reservation, prefill *prefilled) (*wirev1.Outcome, error) {
	endCall, err := place.link.beginCall()
	if err != nil {
		return nil, err
	}
	defer endCall()
	session := place.upstream.session()
	if session == nil {
		return nil, verdict.Refuse(wirev1.Reason_REASON_NO_UPSTREAM, "the connection to the decode engine was lost during the prefill")
	}
	// The nonce of the grant may be too old after the prefill.
	nonce, err := freshNonce(c.ctx, session)
	if err != nil {
		return nil, err
	}
	place.nonce = nonce
	if err := c.entry.reauthorize(c.caller); err != nil {
		return nil, err
	}
	if len(c.delivered) == 0 {
		if err := c.enterQuarantine(); err != nil {
			return nil, err
		}
	}
	x := c.newExchange(place, &wirev1.Work{Kind: &wirev1.Work_Decode{Decode: &wirev1.DecodeWork{
		Model: c.model.GetName(), Prompt: prefill.prompt, Handle: prefill.done.GetHandle(),
		MaxTokens: uint32(c.maxTokens - len(c.delivered)), Priority: int32(c.params.Priority),
	}}})
	x.onFrame = func(frame *wirev1.Frame) error { return c.onToken(frame, p, place, prefill) }
	from, to, tokens := p.quote.Candidate.DataCentre, session.Remote().GetDataCentre(), p.request.PromptTokens
	c.entry.scheduler.StartTransfer(from, to, tokens)
	outcome, err := c.decodeMover(place).run(x)
	if !prefill.imported {
		c.entry.scheduler.AbandonTransfer(from, to, tokens)
	}
	if !prefill.imported && (c.replacement != nil || outcome.GetReason() == wirev1.Reason_REASON_STALLED) {
		c.entry.scheduler.ObserveTransferFailure(from, to)
	}
	if err == nil {
		err = outcomeError(outcome)
	}
	c.reportUpstreamFailure(place.upstream.name, err)
	if len(c.delivered) == 0 {
		c.recordCrash(place.upstream.name, outcome)
	}
	return outcome, err
}

// onToken handles a frame of the decode. The first token shows that the decode engine has imported the KV cache, so the prefill
// engine is then told to free it.
func (c *completion) onToken(frame *wirev1.Frame, p *plan, place *reservation, prefill *prefilled) error {
	token := frame.GetToken()
	if token == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.moved {
		return errMoved
	}
	now := time.Now()
	if !prefill.imported {
		prefill.imported = true
		c.entry.scheduler.ObserveTransfer(
			p.quote.Candidate.DataCentre, place.upstream.dataCentre(), p.request.PromptTokens, now.Sub(prefill.finishedAt))
		go cancelCall(prefill.link.peer, prefill.call)
	}
	if c.firstToken.IsZero() {
		c.firstToken = now
		c.recordSurvival(http.StatusOK)
		c.entry.scheduler.ObserveFirstToken(p.firstTokenEstimate, now.Sub(p.placeGrantedAt))
		c.entry.events.Record("first_token", c.name, place.upstream.name,
			events.Field("elapsed_ms", now.Sub(c.startTime).Milliseconds()))
		c.entry.metrics.FirstToken(c.model.GetName(), now.Sub(c.startTime))
	} else {
		c.tokenGapSum += now.Sub(c.lastToken)
		c.entry.metrics.TokenGap(c.model.GetName(), now.Sub(c.lastToken))
	}
	c.lastToken = now
	if err := c.writer.Token(token.GetText()); err != nil {
		return err
	}
	c.delivered = append(c.delivered, token.GetText())
	return nil
}
