package main

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/claim"
	"github.com/mastichollow/mastichollow/internal/platform"
)

const (
	// claimTick is the time for which claims gather into one transaction.
	claimTick = 20 * time.Millisecond
	// claimWrites is the most writes of one transaction.
	claimWrites = 64
)

// claims are the claimer and the batcher that it writes through.
type claims struct {
	batcher *platform.Batcher
	claimer *claim.TableClaimer
}

// newClaims returns claims over table. The guard does not repeat their calls: a
// claim that cannot be made is refused at once, and the claimer repeats in the
// background what has to be settled.
func newClaims(table *platform.ResilientTable, cfg claim.TableConfig) *claims {
	batcher := platform.NewBatcher(table.WithoutRetries(), claimTick, claimWrites)
	if cfg.Registerer != nil {
		batcher.Register(cfg.Registerer)
	}
	cfg.Table = batcher
	return &claims{batcher: batcher, claimer: claim.NewTableClaimer(cfg)}
}
