package main

import (
	"encoding/json"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/standin/load"
)

// loadCommand generates an open-loop load and prints a report as JSON.
type loadCommand struct {
	URL       string             `help:"Router or engine, http://IP:port; the IP must be a loopback address." required:""`
	Model     string             `help:"Model asked for." default:"letters"`
	Rate      float64            `help:"Requests per second." default:"50"`
	Duration  time.Duration      `help:"Time in which requests are sent." default:"10s"`
	Count     int                `help:"Most requests sent." default:"10000"`
	Open      int                `help:"Most requests open at once; those beyond are not sent." default:"1000"`
	Timeout   time.Duration      `help:"Timeout of one request." default:"60s"`
	MaxTokens int                `help:"Tokens asked for." default:"32"`
	Prompt    int                `help:"Size of a prompt in bytes." default:"256"`
	Stream    bool               `help:"Ask for streams." default:"true" negatable:""`
	Verify    bool               `help:"Compare each answer with that of the emulated engine."`
	Seed      uint64             `help:"Seed of the choice of workspaces and of the prompts." default:"1"`
	Workspace map[string]float64 `help:"API keys with the weights of their workspaces; default: one workspace without a key." placeholder:"KEY=WEIGHT;..."`
}

// Run sends the requests until all are sent or ctx is done.
func (c *loadCommand) Run(ctx runContext) error {
	report, err := load.Run(ctx, load.Config{
		URL:         c.URL,
		Model:       c.Model,
		Rate:        c.Rate,
		Duration:    c.Duration,
		Count:       c.Count,
		MaxOpen:     c.Open,
		Timeout:     c.Timeout,
		MaxTokens:   c.MaxTokens,
		PromptBytes: c.Prompt,
		Stream:      c.Stream,
		Verify:      c.Verify,
		Seed:        c.Seed,
		Workspaces:  c.workspaces(),
	})
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(report)
}

// workspaces returns the workspaces sorted by key.
func (c *loadCommand) workspaces() []load.Workspace {
	if len(c.Workspace) == 0 {
		return []load.Workspace{{Weight: 1}}
	}
	var workspaces []load.Workspace
	for _, key := range slices.Sorted(maps.Keys(c.Workspace)) {
		workspaces = append(workspaces, load.Workspace{Key: key, Weight: c.Workspace[key]})
	}
	return workspaces
}
