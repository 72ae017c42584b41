// Command mastichollow-router accepts the requests of callers, offers them to agents and
// forwards the answers.
package main

import (
	"context"
	"os"

	"github.com/mastichollow/mastichollow/internal/process"
)

const (
	program     = "mastichollow-router"
	description = "Entry of the fleet: authenticates callers, offers their requests to agents and relays the answers."
)

func main() {
	var s settings
	os.Exit(process.Main(program, description, &s, s.validate, func(ctx context.Context) error {
		return start(ctx, &s)
	}))
}
