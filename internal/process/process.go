// Package process holds the parts that all programs of the system share: the log settings,
// the admin listener with metrics and health checks, and the context that is done on a
// signal.
package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/mastichollow/mastichollow/internal/connlimit"
)

const (
	// adminTimeout bounds reading a request and writing its response.
	adminTimeout = 10 * time.Second
	// maxScrapes bounds the copies of all metrics that are held at once.
	maxScrapes = 4
)

// Version is the version of the programs, set by the linker.
var Version = "dev"

// VersionString returns the program name, its version and the Go version that built it.
func VersionString(program string) string {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	return fmt.Sprintf("%s %s (%s)", program, Version, goVersion)
}

// LogSettings are the log settings, for embedding in a kong command line.
type LogSettings struct {
	Level string `help:"Least level of log lines: trace, debug, info, warn or error." default:"info" enum:"trace,debug,info,warn,error" env:"MASTICHOLLOW_LOG_LEVEL"`
	JSON  bool   `help:"Write log lines as JSON." env:"MASTICHOLLOW_LOG_JSON"`
}

// NewLogger returns a logger that writes to standard error.
func (s LogSettings) NewLogger(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(s.Level),
		JSONFormat: s.JSON,
		Output:     os.Stderr,
	})
}

// SignalContext returns a context that is done at the first SIGTERM or SIGINT. Later
// signals of these kinds are ignored, so that a second one does not abort the graceful
// shutdown.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// NewRegistry returns a registry with the collectors of the Go runtime and of
// the process.
func NewRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector())
	reg.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return reg
}

// Admin serves /metrics, /healthz and /readyz.
type Admin struct {
	listener net.Listener
	server   *http.Server
}

// NewAdmin listens on addr (IP:port). ready returns nil when the process can accept
// requests; otherwise its error is the body of the answer to /readyz. stats, which may be nil,
// counts the connections that are closed to keep a limit.
func NewAdmin(addr string, reg *prometheus.Registry, ready func() error, stats *connlimit.Stats) (*Admin, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for admin requests on %q", addr)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	server := &http.Server{Handler: mux, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}
	connlimit.Configure(server)
	limited := connlimit.NewListener(listener, connlimit.NewAccount(connlimit.SmallLimits), stats, "metrics")
	return &Admin{listener: limited, server: server}, nil
}

// Addr returns the address that the admin listener is bound to.
func (a *Admin) Addr() string { return a.listener.Addr().String() }

// Run serves until ctx is done.
func (a *Admin) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = a.server.Close() })
	defer stop()
	err := a.server.Serve(a.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serving admin requests")
}
