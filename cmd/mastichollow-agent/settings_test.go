package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/process/member"
	"github.com/mastichollow/mastichollow/internal/transport"
)

const (
	anyAddr = "127.0.0.1:0"
	anyURL  = "http://127.0.0.1:1"
)

func TestValidateReportsEveryInvalidSetting(t *testing.T) {
	valid := settings{
		Settings: member.Settings{
			ID: "agent-1", Domain: "a", Region: "r", Admin: anyAddr, FleetKey: transport.NewKey(),
			TableURL: anyURL, VMsURL: anyURL, PlatformTimeout: 1,
		},
		Listen: anyAddr, Pool: "letters", Kind: "model", Slots: 8, InteractiveSlots: -1,
		TargetURL: anyURL, ObjectsURL: anyURL,
		Hold: 1, BeginTimeout: 1, Progress: 1, Keep: 1, KeepBytes: 1,
	}
	copied := valid
	require.NoError(t, copied.validate())
	require.Equal(t, 1, copied.InteractiveSlots)

	invalid := settings{Listen: "localhost:1", Settings: member.Settings{Admin: "no"}, TargetURL: "ftp://x", InteractiveSlots: -2}
	err := invalid.validate()
	for _, flag := range []string{
		"id", "domain", "region", "listen", "admin", "fleet-key", "pool", "kind", "slots", "interactive-slots",
		"target-url", "table-url", "vms-url", "objects-url",
		"hold", "begin-timeout", "progress", "platform-timeout", "keep", "keep-bytes",
	} {
		require.ErrorContains(t, err, "--"+flag+":")
	}
}
