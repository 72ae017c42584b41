package claim

import (
	"bytes"
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/standin"
)

func newTestClaimer() (*TableClaimer, *standin.Table) {
	table := standin.NewTable()
	return NewTableClaimer(TableConfig{Table: table, Objects: standin.NewObjects()}), table
}

func TestBeginReplaysAnswer(t *testing.T) {
	for name, size := range map[string]int{"empty": 0, "inline": maxInlineBodyBytes, "object": maxInlineBodyBytes + 1, "largest": maxStoredBodyBytes} {
		t.Run(name, func(t *testing.T) {
			c, _ := newTestClaimer()
			want := &Answer{Status: 201, Header: map[string][]string{"X": {"y"}}, Body: bytes.Repeat([]byte{7}, size)}
			_, err := c.Begin(t.Context(), testKey, "a", testFingerprint)
			require.NoError(t, err)
			require.NoError(t, c.Finish(t.Context(), testKey, "a", want))
			got, err := c.Begin(t.Context(), testKey, "b", testFingerprint)
			require.NoError(t, err)
			require.Equal(t, want.Status, got.Status)
			require.Equal(t, want.Header, got.Header)
			require.True(t, bytes.Equal(want.Body, got.Body))
		})
	}
}

func TestBeginAfterDroppedAnswerBody(t *testing.T) {
	c, _ := newTestClaimer()
	_, err := c.Begin(t.Context(), testKey, "a", testFingerprint)
	require.NoError(t, err)
	require.NoError(t, c.Finish(t.Context(), testKey, "a", &Answer{Body: make([]byte, maxStoredBodyBytes+1)}))
	_, err = c.Begin(t.Context(), testKey, "b", testFingerprint)
	require.True(t, errors.Is(err, ErrStarted))
}

func TestBeginKeyReusedInEveryState(t *testing.T) {
	states := map[string]func(c *TableClaimer) error{
		"started":   func(*TableClaimer) error { return nil },
		"released":  func(c *TableClaimer) error { return c.Release(context.Background(), testKey, "a") },
		"completed": func(c *TableClaimer) error { return c.Finish(context.Background(), testKey, "a", &Answer{}) },
	}
	for name, enter := range states {
		t.Run(name, func(t *testing.T) {
			c, _ := newTestClaimer()
			_, err := c.Begin(t.Context(), testKey, "a", testFingerprint)
			require.NoError(t, err)
			require.NoError(t, enter(c))
			_, err = c.Begin(t.Context(), testKey, "b", []byte("other"))
			require.True(t, errors.Is(err, ErrKeyReused))
		})
	}
}

func TestBeginAfterRelease(t *testing.T) {
	c, _ := newTestClaimer()
	_, err := c.Begin(t.Context(), testKey, "a", testFingerprint)
	require.NoError(t, err)
	require.NoError(t, c.Release(t.Context(), testKey, "a"))
	answer, err := c.Begin(t.Context(), testKey, "b", testFingerprint)
	require.NoError(t, err)
	require.Nil(t, answer)
}

// TestBeginWithTableFaults checks the result for one attempt, and that a second attempt
// cannot claim the key as well.
func TestBeginWithTableFaults(t *testing.T) {
	cases := []struct {
		name  string
		op    string
		fault standin.Fault
		times int
		want  string
	}{
		{"no fault", "", standin.FaultNone, 0, "made"},
		{"write unavailable", "commit", standin.FaultDown, 1, "unavailable"},
		{"response to the write lost", "commit", standin.FaultResponseLost, 1, "made"},
		{"write lost once", "commit", standin.FaultRequestLost, 1, "made"},
		{"every write lost", "commit", standin.FaultRequestLost, 100, "unavailable"},
		{"response to the write lost, then reads unavailable", "", standin.FaultResponseLost, 100, "unavailable"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			claimer, table := newTestClaimer()
			table.SetFault(standin.FailFirstCalls(c.times, c.op, c.fault))
			answer, err := claimer.Begin(t.Context(), testKey, "a", testFingerprint)
			require.Equal(t, c.want, beginResult(answer, err))
			table.SetFault(nil)
			answer, err = claimer.Begin(t.Context(), testKey, "b", testFingerprint)
			if c.want == "made" {
				require.Equal(t, "started", beginResult(answer, err))
			}
		})
	}
}

// The responses to all writes of an attempt are lost and reads fail, so that its claim is
// uncertain. The release that Begin queued for Run must free the key.
func TestUncertainBeginReleasedByRun(t *testing.T) {
	claimer, table := newTestClaimer()
	table.SetFault(func(op, _ string) standin.Fault {
		if op == "get" {
			return standin.FaultDown
		}
		return standin.FaultResponseLost
	})
	_, err := claimer.Begin(t.Context(), testKey, "a", testFingerprint)
	require.True(t, errors.Is(err, ErrUnavailable))
	table.SetFault(nil)
	answer, err := claimer.Begin(t.Context(), testKey, "b", testFingerprint)
	require.Equal(t, "started", beginResult(answer, err), "the uncertain write blocks the key")
	claimer.settleWithRetry(t.Context(), <-claimer.pending)
	answer, err = claimer.Begin(t.Context(), testKey, "c", testFingerprint)
	require.Equal(t, "made", beginResult(answer, err))
}
