package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/mastichollow/mastichollow/internal/standin"
)

// runContext is done when the program has to stop; kong passes it to the Run methods.
type runContext = context.Context

// listenSettings are the listen addresses of a stand-in.
type listenSettings struct {
	Listen      string `help:"Address (IP:port) of the interface; port 0 chooses a free port." default:"127.0.0.1:0"`
	AdminListen string `help:"Address (IP:port) of the admin interface; port 0 chooses a free port." default:"127.0.0.1:0"`
}

// addresses is the JSON line that the program prints to standard output once it listens.
type addresses struct {
	Role  string `json:"role"`
	Addr  string `json:"addr"`
	Admin string `json:"admin"`
}

// standIn is a stand-in with its admin interface.
type standIn interface {
	Host() *standin.Host
	Admin(addr string) (*standin.Host, error)
}

// serve prints the addresses of s and serves it until ctx is done.
func (l listenSettings) serve(ctx context.Context, logger hclog.Logger, role string, s standIn) error {
	admin, err := s.Admin(l.AdminListen)
	if err != nil {
		return err
	}
	line := addresses{Role: role, Addr: s.Host().Addr(), Admin: admin.Addr()}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return err
	}
	logger.Info("serving", "role", role, "addr", line.Addr, "admin", line.Admin)
	err = standin.RunAll(ctx, s.Host(), admin)
	logger.Info("stopped", "role", role)
	return err
}
