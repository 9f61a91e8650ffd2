package follow

import "context"

// Refresh calls read for each request until ctx ends. After a failure it waits with the same delays as WatchKey and
// Poll: while this process cannot reach the service but other processes can, each of their messages requests a read,
// about 70 times a second.
func Refresh(ctx context.Context, requests <-chan struct{}, name string, status Status, read func(ctx context.Context) error) {
	dep := &dependency{Status: status, name: name}
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests:
		}
		if err := read(ctx); err != nil {
			dep.failed(ctx, err)
			continue
		}
		dep.succeeded()
	}
}
