package main

import (
	"fmt"

	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// keyCommand holds the commands on API keys.
type keyCommand struct {
	New newKeyCommand `cmd:"" help:"Print a new API key and its hash for the column key_hashes. The key is kept nowhere."`
}

type newKeyCommand struct{}

// Run prints the key and its hash.
func (*newKeyCommand) Run(e *env) error {
	key := workspace.NewKey()
	_, err := fmt.Fprintf(e.out, "key   %s\nhash  %s\n", key, workspace.HashKey(key))
	return err
}

// fleetKeyCommand holds the commands on fleet keys.
type fleetKeyCommand struct {
	New newFleetKeyCommand `cmd:"" help:"Print a new key for the setting of the fleet's keys."`
}

type newFleetKeyCommand struct{}

// Run prints the key.
func (*newFleetKeyCommand) Run(e *env) error {
	_, err := fmt.Fprintln(e.out, transport.NewKey())
	return err
}
