package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/clock"
)

// idlePerHost bounds the idle connections that are kept.
const idlePerHost = maxOpen

// generator sends the requests of one load.
type generator struct {
	config   Config
	client   *http.Client
	random   *rand.Rand // belongs to the goroutine that sends
	outcomes chan outcome
	open     chan struct{}
	requests sync.WaitGroup
}

// Run sends the load and returns its report. Requests are due at fixed times,
// however long earlier ones take. The end of ctx ends the load early.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.Validate(); err != nil {
		return Report{}, err
	}
	g := newGenerator(config)
	defer g.client.CloseIdleConnections()
	began := time.Now()
	reported := make(chan *recorder, 1)
	go func() { reported <- g.record() }()
	notSent := g.send(ctx, began)
	g.requests.Wait()
	close(g.outcomes)
	return (<-reported).finish(notSent, time.Since(began)), nil
}

func newGenerator(config Config) *generator {
	transport := &http.Transport{
		DisableCompression:  true,
		MaxIdleConns:        idlePerHost,
		MaxIdleConnsPerHost: idlePerHost,
	}
	return &generator{
		config:   config,
		client:   &http.Client{Transport: transport, CheckRedirect: keepRedirect},
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed)),
		outcomes: make(chan outcome, config.MaxOpen),
		open:     make(chan struct{}, config.MaxOpen),
	}
}

// keepRedirect follows no redirect, which could lead away from the loopback
// address.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (g *generator) record() *recorder {
	r := newRecorder(len(g.config.Workspaces))
	for o := range g.outcomes {
		r.add(o)
	}
	return r
}

// send starts each request when it is due and returns how many were not sent
// because too many were open.
func (g *generator) send(ctx context.Context, began time.Time) (notSent int) {
	interval := time.Duration(float64(time.Second) / g.config.Rate)
	for i := range g.config.Count {
		after := time.Duration(i) * interval
		if after >= g.config.Duration || !waitUntil(ctx, began.Add(after)) {
			return notSent
		}
		r := g.newRequest(i, began.Add(after))
		select {
		case g.open <- struct{}{}:
			g.requests.Go(func() {
				defer func() { <-g.open }()
				g.outcomes <- g.run(ctx, r)
			})
		default:
			notSent++
		}
	}
	return notSent
}

// waitUntil waits until t and reports whether ctx still lasts.
func waitUntil(ctx context.Context, t time.Time) bool {
	return clock.Sleep(ctx, time.Until(t)) && ctx.Err() == nil
}

// pick chooses a workspace by weight.
func (g *generator) pick() int {
	total := 0.0
	for _, w := range g.config.Workspaces {
		total += w.Weight
	}
	left := g.random.Float64() * total
	for i, w := range g.config.Workspaces {
		left -= w.Weight
		if left < 0 {
			return i
		}
	}
	return len(g.config.Workspaces) - 1
}
