package engine

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	wirev1 "github.com/fulmardoor/fulmardoor/api/wire/v1"
	"github.com/fulmardoor/fulmardoor/internal/engine"
)

// Load implements engine.Engine. The report is as old as the configured lag.
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
	if err := c.alive(); err != nil {
		return nil, err
	}
	return c.cache.events(ctx, after, wait)
}

// CacheState implements engine.Engine.
func (c *Core) CacheState(context.Context) (engine.CacheState, error) {
	if err := c.alive(); err != nil {
		return engine.CacheState{}, err
	}
	return c.cache.state(), nil
}

// Health returns engine.ErrUnreachable once the engine is dead, and nil before, also when it is stalled.
func (c *Core) Health() error {
	return c.alive()
}

func (c *Core) alive() error {
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
		if err := c.step(ctx, c.cfg.OrderTime); err != nil {
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

// fence checks a fencing number, unless the engine ignores them.
func (c *Core) fence(number uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return engine.ErrUnreachable
	}
	if number <= c.highestOrder && !c.cfg.IgnoreFencing {
		return errors.Wrapf(engine.ErrStaleOrder, "%d, highest %d", number, c.highestOrder)
	}
	c.highestOrder = max(c.highestOrder, number)
	return nil
}

// SetFaults replaces the faults in force. Drop takes effect once.
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
	c.imports.setRate(rate)
	c.broadcast()
}

// Faults returns the faults in force.
func (c *Core) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// Kill ends the engine as a crash does: requests break, exports are lost, new calls find nobody.
func (c *Core) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = true
	c.endAll(errors.Wrap(engine.ErrBroken, "engine died"))
}
