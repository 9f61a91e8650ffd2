package processtest

import (
	"fmt"
	"time"
)

// memoryBound is the time within which engines free the memory of requests that are gone.
const memoryBound = 6 * time.Second

// waitMemoryFree guards H1. The stand-ins state since when memory is held, but not when its request was gone, so this
// waits for the bound and then expects no memory held at all, and no waiting prompt.
func (d *deployment) waitMemoryFree() {
	d.t.Helper()
	held := ""
	for begin := time.Now(); time.Since(begin) < memoryBound; time.Sleep(pollPace) {
		if held = d.memoryHeld(); held == "" {
			return
		}
	}
	d.t.Errorf("%v after the last request: %s", memoryBound, held)
}

// memoryHeld describes what the engines hold.
func (d *deployment) memoryHeld() string {
	for _, u := range d.upstreams {
		if u.role == "service" {
			continue
		}
		if audit := d.engineAudit(u); audit.BlocksHeld > 0 || len(audit.Waiting) > 0 {
			return fmt.Sprintf("%s holds %d blocks: %+v, waiting %v", u.name, audit.BlocksHeld, audit.Holders, audit.Waiting)
		}
	}
	return ""
}
