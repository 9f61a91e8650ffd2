package engine

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine"
)

// Load implements engine.Engine. It returns the load as it was Config.LoadLag ago.
func (c *Core) Load(context.Context) (engine.Load, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return engine.Load{}, engine.ErrUnreachable
	}
	return c.load.at(time.Now().Add(-c.cfg.LoadLag)), nil
}

// CacheEvents implements engine.Engine.
func (c *Core) CacheEvents(ctx context.Context, after uint64, wait time.Duration) ([]engine.CacheEvent, error) {
	if err := c.checkAlive(); err != nil {
		return nil, err
	}
	return c.cache.events(ctx, after, wait)
}

// CacheState implements engine.Engine.
func (c *Core) CacheState(context.Context) (engine.CacheState, error) {
	if err := c.checkAlive(); err != nil {
		return engine.CacheState{}, err
	}
	return c.cache.state(), nil
}

// Health returns engine.ErrUnreachable after Kill, and nil before, even while the engine is stalled.
func (c *Core) Health() error {
	return c.checkAlive()
}

func (c *Core) checkAlive() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return engine.ErrUnreachable
	}
	return nil
}

// Order implements engine.Engine.
func (c *Core) Order(ctx context.Context, order engine.Order) error {
	if err := c.fence(order.FencingNumber); err != nil {
		return err
	}
	if c.cfg.OrderTime > 0 {
		if err := c.simulateWork(ctx, c.cfg.OrderTime); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return engine.ErrBroken
	}
	if model := order.Engine.GetLoadModel(); model != "" && len(c.models) > 0 {
		c.models[model] = true
	}
	if role := order.Engine.GetChangeRole(); role != wirev1.EngineRole_ENGINE_ROLE_UNSPECIFIED {
		c.role = role
	}
	c.audit.orders = append(c.audit.orders, OrderRecord{FencingNumber: order.FencingNumber, At: time.Now()})
	return nil
}

// fence rejects a fencing number that is not above the highest one seen, unless Config.IgnoreFencing is set.
func (c *Core) fence(number uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return engine.ErrUnreachable
	}
	if number <= c.highestFencingNumber && !c.cfg.IgnoreFencing {
		return errors.Wrapf(engine.ErrStaleOrder, "fencing number %d, highest seen %d", number, c.highestFencingNumber)
	}
	c.highestFencingNumber = max(c.highestFencingNumber, number)
	return nil
}

// SetFaults replaces the injected faults. Drop takes effect once and is not kept.
func (c *Core) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.Drop {
		for r := range c.requests {
			r.cancel(errors.Wrap(engine.ErrBroken, "connections dropped"))
		}
		f.Drop = false
	}
	c.faults = f
	rate := c.cfg.LinkBytesPerSecond / max(1, f.SlowTransfer)
	if f.StallTransfer {
		rate = 0
	}
	c.importLink.setRate(rate)
	c.broadcast()
}

// Faults returns the injected faults.
func (c *Core) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// Kill simulates a crash: it ends all requests with engine.ErrBroken and frees all exports, and later calls return
// engine.ErrUnreachable.
func (c *Core) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = true
	c.endAll(errors.Wrap(engine.ErrBroken, "engine died"))
}
