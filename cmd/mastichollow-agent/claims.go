package main

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/claim"
	"github.com/mastichollow/mastichollow/internal/platform"
)

const (
	// claimBatchInterval is how long claims are collected into one transaction.
	claimBatchInterval = 20 * time.Millisecond
	// maxClaimBatchWrites is the maximum number of writes in one transaction.
	maxClaimBatchWrites = 64
)

// batchedClaimer is a claimer with the batcher through which it writes.
type batchedClaimer struct {
	batcher *platform.Batcher
	claimer *claim.TableClaimer
}

// newBatchedClaimer returns a claimer that writes to table. The guard does not retry its
// calls: a claim that cannot be written is refused immediately, and the claimer retries
// the settlement of earlier claims in the background.
func newBatchedClaimer(table *platform.ResilientTable, cfg claim.TableConfig) *batchedClaimer {
	batcher := platform.NewBatcher(table.WithoutRetries(), claimBatchInterval, maxClaimBatchWrites)
	if cfg.Registerer != nil {
		batcher.Register(cfg.Registerer)
	}
	cfg.Table = batcher
	return &batchedClaimer{batcher: batcher, claimer: claim.NewTableClaimer(cfg)}
}
