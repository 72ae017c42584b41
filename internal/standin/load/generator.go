package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/clock"
)

// maxIdleConnsPerHost is large enough to reuse the connections of all concurrent requests.
const maxIdleConnsPerHost = maxOpen

// generator sends the requests of one load and collects their outcomes.
type generator struct {
	config    Config
	client    *http.Client
	random    *rand.Rand // used only by the goroutine that sends
	outcomes  chan outcome
	openSlots chan struct{}
	requests  sync.WaitGroup
}

// Run sends the load and returns its report. Requests are due at fixed times, independent of
// how long earlier ones take. If ctx is done, the load ends early.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := config.Validate(); err != nil {
		return Report{}, err
	}
	g := newGenerator(config)
	defer g.client.CloseIdleConnections()
	began := time.Now()
	reported := make(chan *recorder, 1)
	go func() { reported <- g.recordOutcomes() }()
	notSent := g.send(ctx, began)
	g.requests.Wait()
	close(g.outcomes)
	return (<-reported).finish(notSent, time.Since(began)), nil
}

func newGenerator(config Config) *generator {
	transport := &http.Transport{
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConnsPerHost,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
	}
	return &generator{
		config:    config,
		client:    &http.Client{Transport: transport, CheckRedirect: refuseRedirects},
		random:    rand.New(rand.NewPCG(config.Seed, config.Seed)),
		outcomes:  make(chan outcome, config.MaxOpen),
		openSlots: make(chan struct{}, config.MaxOpen),
	}
}

// refuseRedirects makes the client return redirects as answers, since following one could
// send requests to an address other than loopback.
func refuseRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (g *generator) recordOutcomes() *recorder {
	r := newRecorder(len(g.config.Workspaces))
	for o := range g.outcomes {
		r.add(o)
	}
	return r
}

// send starts each request when it is due. It returns the number of requests that were not
// sent because MaxOpen requests were open.
func (g *generator) send(ctx context.Context, began time.Time) (notSent int) {
	interval := time.Duration(float64(time.Second) / g.config.Rate)
	for i := range g.config.Count {
		after := time.Duration(i) * interval
		if after >= g.config.Duration || !waitUntil(ctx, began.Add(after)) {
			return notSent
		}
		r := g.newRequest(i, began.Add(after))
		select {
		case g.openSlots <- struct{}{}:
			g.requests.Go(func() {
				defer func() { <-g.openSlots }()
				g.outcomes <- g.run(ctx, r)
			})
		default:
			notSent++
		}
	}
	return notSent
}

// waitUntil waits until t. It reports false if ctx is done.
func waitUntil(ctx context.Context, t time.Time) bool {
	return clock.Sleep(ctx, time.Until(t)) && ctx.Err() == nil
}

// pickWorkspace chooses a workspace at random by weight and returns its index.
func (g *generator) pickWorkspace() int {
	total := 0.0
	for _, w := range g.config.Workspaces {
		total += w.Weight
	}
	remaining := g.random.Float64() * total
	for i, w := range g.config.Workspaces {
		remaining -= w.Weight
		if remaining < 0 {
			return i
		}
	}
	return len(g.config.Workspaces) - 1
}
