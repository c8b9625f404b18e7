// Package sleeper has a sleep that a context can end.
package sleeper

import (
	"context"
	"time"
)

// Sleep returns nil after d, or ctx.Err() when ctx ends first. When d is 0 or less it returns ctx.Err() at once.
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
