package main

import (
	"context"

	"github.com/mastichollow/mastichollow/internal/agent"
	"github.com/mastichollow/mastichollow/internal/claim"
	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/process/member"
	"github.com/mastichollow/mastichollow/internal/suspect"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// parts are the long-lived objects of the program.
type parts struct {
	member *member.Member
	claims *batchedClaimer
	agent  *agent.Agent
	kind   target.Kind
	pool   string
}

// start builds the parts and runs them until ctx is done and the agent has drained.
func start(ctx context.Context, s *settings) error {
	m, err := member.New(program, &s.Settings, s.Listen)
	if err != nil {
		return err
	}
	p, err := build(s, m)
	if err != nil {
		return err
	}
	return m.Run(ctx, p.memberSpec())
}

func build(s *settings, m *member.Member) (*parts, error) {
	c := newBatchedClaimer(m.Table, claim.TableConfig{
		Objects:    platform.NewObjectClient(s.ObjectsURL, s.PlatformOptions()),
		Logger:     m.Log.Named("claim"),
		Registerer: m.Registry,
	})
	a, err := agent.New(agent.Config{
		ID:               s.ID,
		Domain:           s.Domain,
		Pool:             s.Pool,
		Kind:             target.Kind(s.Kind),
		Slots:            s.Slots + s.InteractiveSlots,
		InteractiveSlots: s.InteractiveSlots,
		Limits:           s.limits(),
		Store:            m.Store,
		Target:           newTargetClient(s),
		Claims:           c.claimer,
		Suspects:         suspect.NewTableRegistry(m.Table, m.Registry),
		Fence:            agent.TableFence(m.Table, s.ID),
		Logger:           m.Log.Named("agent"),
		Registerer:       m.Registry,
	})
	if err != nil {
		return nil, err
	}
	m.Store.OnDigest(a.ApplyDigest)
	return &parts{member: m, claims: c, agent: a, kind: target.Kind(s.Kind), pool: s.Pool}, nil
}

func newTargetClient(s *settings) engine.Client {
	options := engine.Options{BeginTimeout: s.BeginTimeout, ProgressTimeout: s.Progress}
	if target.Kind(s.Kind) == target.KindService {
		return engine.NewServiceClient(s.TargetURL, options)
	}
	return engine.NewModelClient(s.TargetURL, options)
}

func (s *settings) limits() agent.Limits {
	return agent.Limits{
		GrantTimeout:     s.Hold,
		PlatformTimeout:  s.PlatformTimeout,
		AnswerRetention:  s.Keep,
		MaxRetainedBytes: s.KeepBytes,
	}
}

// memberSpec describes the agent as a member of the fleet. The batcher and the claimer run
// until the agent has drained, because requests in flight still settle their claims.
func (p *parts) memberSpec() *member.Spec {
	return &member.Spec{
		Role:           target.RoleAgent,
		Pool:           p.pool,
		Kind:           p.kind,
		RequestHandler: p.agent,
		Report:         func() []wire.PoolTotals { return []wire.PoolTotals{p.agent.Report()} },
		Ready:          p.agent.Ready,
		Tasks:          []member.Task{p.claims.batcher.Run, p.claims.claimer.Run, p.agent.Run},
		Drain:          p.drain,
	}
}

func (p *parts) drain(ctx context.Context) {
	if err := p.agent.Drain(ctx); err != nil {
		p.member.Log.Warn("drain did not complete", "error", err)
	}
}
