package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestValidateReportsEveryInvalidSetting(t *testing.T) {
	s := settings{Listen: "router.example:80", FleetListen: "x", BodyLimit: -1, HeaderLimit: 1, PromptLimit: 1, Route: []string{"bad"}}
	err := s.validate()
	for _, fault := range []string{
		"--id", "--domain", "--region", `--listen: "router.example:80"`, "--fleet-listen", "--admin", "--table-url", "--vms-url",
		"--fleet-key", "--platform-timeout", "--route", "--connections-limit", "body limit", "deadline",
	} {
		require.ErrorContains(t, err, fault)
	}
}
