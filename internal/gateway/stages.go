package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/fulmardoor/fulmardoor/internal/fleet"
	"github.com/fulmardoor/fulmardoor/internal/restage"
	"github.com/fulmardoor/fulmardoor/internal/upstreamconn"
	"github.com/fulmardoor/fulmardoor/internal/wait"
)

const (
	// observeInterval is the time between two checks of the engines' use.
	observeInterval = 250 * time.Millisecond
	// orderTimeout limits an order together with the query that precedes it.
	orderTimeout = time.Second
	// orderSettleTime is how long an order without an answer may still take effect. No other order is sent during that time.
	orderSettleTime = 15 * time.Second
)

// Order is a request to an engine to change its stage.
type Order struct {
	Engine *fleet.Upstream
	To     fleet.Stage
	// Holder is the name of this process. Fence is its fencing number, with which engines reject the orders of earlier
	// leaders.
	Holder string
	Fence  int64
	// Accepted is the number of orders that the engine must have accepted so far; the engine refuses the order otherwise, so
	// that a delayed order has no effect.
	Accepted int64
}

// ErrFenced means that an engine has seen a greater fencing number.
var ErrFenced = errors.New("the engine has seen the fencing number of a newer leader")

// Leadership says whether this process is the leader, which alone may send orders.
type Leadership interface {
	// Fence returns the fencing number; ok is false if this process is not the leader.
	Fence() (fence int64, ok bool)
	// StepDown ends the leadership.
	StepDown()
}

// StageController switches engines between prefill and decode while this process is the leader.
type StageController struct {
	Gateway       *Gateway
	Leadership    Leadership
	Holder        string
	planners      map[string]*restage.Planner
	noOrdersUntil time.Time
}

// Run checks the engines' use regularly until ctx ends.
func (c *StageController) Run(ctx context.Context) {
	c.planners = make(map[string]*restage.Planner)
	for wait.For(ctx, observeInterval) {
		config := c.Gateway.Config()
		if _, ok := c.Leadership.Fence(); !ok || config == nil {
			clear(c.planners)
			continue
		}
		for _, service := range config.Services {
			if service.Engine != nil && service.Engine.SwitchTime > 0 {
				c.observe(ctx, service)
			}
		}
	}
}

// observe passes the engines' use to the planner of a service and sends the order that it returns, if any.
func (c *StageController) observe(ctx context.Context, service *fleet.Service) {
	planner := c.planners[service.Name]
	if planner == nil {
		planner = new(restage.Planner)
		c.planners[service.Name] = planner
	}
	now := time.Now()
	move, ok := planner.Observe(now, c.Gateway.Board.Use(service), service.Engine.SwitchTime)
	if !ok || now.Before(c.noOrdersUntil) {
		return
	}
	accepted, err := c.sendOrder(ctx, move)
	logger := c.Gateway.Logger.With(zap.String("upstream", move.Upstream.ID), zap.Int("to", int(move.To)), zap.Int64("accepted", accepted))
	switch {
	case err == nil:
		logger.Info("order accepted")
	case errors.Is(err, ErrFenced):
		logger.Warn("order refused; giving up leadership", zap.String("error", err.Error()))
		c.Leadership.StepDown()
	default:
		c.noOrdersUntil = now.Add(orderSettleTime)
		logger.Warn("order failed or its result is unknown", zap.String("error", err.Error()))
	}
}

// sendOrder asks the engine for its number of accepted orders and sends the order. After an error other than ErrFenced the
// order may still take effect.
func (c *StageController) sendOrder(ctx context.Context, move restage.Move) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	protocol := c.Gateway.Protocol
	status, body, err := c.call(ctx, move.Upstream, protocol.OrderCountRequest(move.Upstream))
	if err != nil {
		return 0, err
	}
	accepted, err := protocol.ReadOrderCount(status, body)
	if err != nil {
		return 0, err
	}
	if !c.Gateway.Board.Accepts(move.Upstream) {
		return accepted, errors.New("the engine is leaving")
	}
	fence, ok := c.Leadership.Fence()
	if !ok {
		return accepted, errors.New("the leadership ended before the order")
	}
	order := &Order{Engine: move.Upstream, To: move.To, Holder: c.Holder, Fence: fence, Accepted: accepted}
	status, _, err = c.call(ctx, move.Upstream, protocol.GiveOrder(order))
	if err != nil {
		return accepted, err
	}
	return accepted, protocol.ReadOrderAnswer(status)
}

// call sends a call to an engine and reads the answer. An engine without a complete answer becomes suspect.
func (c *StageController) call(ctx context.Context, engine *fleet.Upstream, request *upstreamconn.Request) (status int, body []byte, err error) {
	defer func() {
		if err != nil && ctx.Err() == nil && !errors.Is(err, errUpstreamLimited) {
			c.Gateway.Board.MarkSuspect(engine.ID, time.Now())
		}
	}()
	response, err := c.Gateway.callUpstream(ctx, engine, request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Close()
	body, err = readAllLimited(response)
	return response.Status, body, err
}
