package main

import (
	"context"
	"log/slog"
	"os"

	"kitefall/internal/config"
	"kitefall/internal/lifecycle"
)

// reloadOn reloads the configuration at every signal until ctx ends.
func (s *server) reloadOn(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			s.ready() // the endpoints may be known although no CHECK has asked yet
			s.reload()
		}
	}
}

// reload reads the configuration file again and follows the discovery address that it names. This is done in every phase,
// as a draining program too has to learn which workers drain. A file that cannot be used changes nothing.
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
