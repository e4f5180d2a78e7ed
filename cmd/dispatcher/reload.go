package main

import (
	"context"
	"log/slog"
	"os"

	"kitefall/internal/config"
	"kitefall/internal/lifecycle"
)

// reloadOnSignal reloads the configuration at every signal on hangup until ctx is done.
func (s *server) reloadOnSignal(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			s.ready() // enters the phase Serving if the endpoints are known but no readiness check has come yet
			s.reload()
		}
	}
}

// reload reads the configuration file again and switches to the discovery address in it. A file that is invalid or cannot
// be read changes nothing. Reloads happen in every phase: a draining program too has to learn which workers drain.
func (s *server) reload() {
	if s.phases.Enter(lifecycle.Reloading) {
		defer s.phases.Enter(lifecycle.Serving)
	}
	conf, err := config.Read(s.configPath)
	if err != nil {
		slog.Error("reload: invalid configuration, nothing has changed", "err", err)
		return
	}
	if !conf.EqualExceptReloadable(s.config) {
		slog.Warn("reload: settings other than the discovery address have changed, they take effect at the next start")
	}
	s.watcher.SetAddress(conf.DiscoveryAddr)
	slog.Info("reload: following the configured discovery address", "addr", conf.DiscoveryAddr)
}
