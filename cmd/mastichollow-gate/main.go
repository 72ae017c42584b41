// Command mastichollow-gate accepts the requests of callers on an entry VM of the users'
// platform, sends them to targets and forwards the responses.
package main

import (
	"context"
	"os"

	"github.com/mastichollow/mastichollow/internal/process"
)

const (
	program     = "mastichollow-gate"
	description = "Entry of the fleet on the users' platform: places the requests of callers on targets and passes the answers on."
)

func main() {
	var f flags
	os.Exit(process.Main(program, description, &f, f.validate, func(ctx context.Context) error {
		return start(ctx, &f)
	}))
}
