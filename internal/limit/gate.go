package limit

import (
	"errors"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Gate admits a router's requests by the rate limits of their rows.
type Gate struct {
	Admission *Admission
	Now       func() time.Time
}

// Admit takes a request of row in, or says why not. The request is over when
// release is called.
func (g *Gate) Admit(row *workspace.Row) (release func(), refused *request.RefusedError) {
	if err := g.Admission.Admit(row.ID, g.Now()); err != nil {
		errors.As(err, &refused)
		return nil, refused
	}
	return func() { g.Admission.Done(row.ID, g.Now()) }, nil
}

// Rates returns the rate limits of t, for a Gate.
func Rates(t *workspace.Table) map[workspace.RowID]Limits {
	limits := make(map[workspace.RowID]Limits, len(t.Rows))
	for i := range t.Rows {
		limits[t.Rows[i].ID] = Limits{Rate: t.Rows[i].RateLimit}
	}
	return limits
}
