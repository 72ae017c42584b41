// Command mastichollow-agent runs beside one target, a model engine or a plain service.
// All requests to the target go through it.
package main

import (
	"context"
	"os"

	"github.com/mastichollow/mastichollow/internal/process"
)

const (
	program     = "mastichollow-agent"
	description = "Side process of a target: queues, claims and hands over its requests."
)

func main() {
	var s settings
	os.Exit(process.Main(program, description, &s, s.validate, func(ctx context.Context) error {
		return start(ctx, &s)
	}))
}
