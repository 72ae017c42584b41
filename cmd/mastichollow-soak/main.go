// Command mastichollow-soak runs gates as processes on loopback, injects random faults and
// checks the answers that callers receive.
package main

import (
	"context"
	"os"

	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/soak"
)

const (
	program     = "mastichollow-soak"
	description = "Runs gates as processes on loopback, brings random faults upon them and checks what callers get."
)

func main() {
	var s soak.Session
	os.Exit(process.Main(program, description, &s, s.Check, func(ctx context.Context) error {
		return s.Run(ctx, os.Stdout)
	}))
}
