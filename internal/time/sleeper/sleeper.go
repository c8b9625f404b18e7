// Package sleeper sleeps until a time has passed or a context has ended.
package sleeper

import (
	"context"
	"time"
)

// Sleep returns nil after d, or the error of ctx when it ends first. A d that is
// not above 0 only asks ctx.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
