package limit

import (
	"errors"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// RateLimiter admits a router's requests by the rate limits of their workspaces' rows.
type RateLimiter struct {
	Limiter *AdmissionLimiter
	Now     func() time.Time
}

// Admit admits a request of row or returns the refusal. The caller calls release when
// the request ends.
func (l *RateLimiter) Admit(row *workspace.Row) (release func(), refused *request.RefusedError) {
	if err := l.Limiter.Admit(row.ID, l.Now()); err != nil {
		errors.As(err, &refused)
		return nil, refused
	}
	return func() { l.Limiter.Done(row.ID, l.Now()) }, nil
}

// RateLimits returns the rate limits of t for a RateLimiter, without other limits.
func RateLimits(t *workspace.Table) map[workspace.RowID]Limits {
	limits := make(map[workspace.RowID]Limits, len(t.Rows))
	for i := range t.Rows {
		limits[t.Rows[i].ID] = Limits{Rate: t.Rows[i].RateLimit}
	}
	return limits
}
