package main

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/claim"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/standin"
)

// TestClaimRefusedImmediatelyWhileStoreDown checks that a claim waits no longer than its
// transaction, also when the circuit breaker is open, and that claims succeed again once
// the breaker has let a call through.
func TestClaimRefusedImmediatelyWhileStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.NewTable()
		table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
		guarded := platform.NewResilientTable(table, platform.ResilientTableConfig{})
		c := newBatchedClaimer(guarded, claim.TableConfig{})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- c.batcher.Run(ctx) }()
		begin := func() error {
			_, err := c.claimer.Begin(ctx, claim.Key("key"), "attempt", []byte("content"))
			return err
		}
		for range 10 {
			began := time.Now()
			require.True(t, errors.Is(begin(), claim.ErrUnavailable))
			require.LessOrEqual(t, time.Since(began), claimBatchInterval)
		}
		require.True(t, guarded.BreakerOpen())
		table.SetFault(nil)
		require.Eventually(t, func() bool { return begin() == nil }, time.Minute, time.Second)
		stop()
		require.NoError(t, <-done)
	})
}
