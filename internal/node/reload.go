package node

import (
	"os"
	"reflect"
	"strings"

	"whinrudder/internal/settings"
)

// Load reads the configuration and the operator's file anew and checks them whole.
type Load func() (settings.Config, settings.Operator, error)

// reloads takes over a new configuration at each signal. Signals that come close together may be taken as one: the
// file is read after the last of them. A faulty file is logged, and the old configuration stays.
func (n *Node) reloads(signals <-chan os.Signal, load Load) {
	for {
		select {
		case <-n.over:
			return
		case <-signals:
		}
		cfg, op, err := load()
		if err != nil {
			n.log("reload", "code", "faulty", "error", err)
			continue
		}
		n.reload(cfg, op)
	}
}

// reload moves the link and the reports to new addresses and applies the limits and stop_ms. The rest is fixed for
// the life of the process: connections, runs and the module were built on it.
func (n *Node) reload(cfg settings.Config, op settings.Operator) {
	var kept []string
	for _, f := range []struct {
		name     string
		old, new any
	}{
		{"name", n.cfg.Name, cfg.Name}, {"listen", n.cfg.Listen, cfg.Listen}, {"seed", n.cfg.Seed, cfg.Seed},
		{"settings", n.cfg.Settings, cfg.Settings}, {"operator", n.op, op},
	} {
		if !reflect.DeepEqual(f.old, f.new) {
			kept = append(kept, f.name)
		}
	}
	n.mu.Lock()
	n.stopMs = cfg.StopMs
	n.mu.Unlock()
	limits(cfg, n.op)
	n.conns.limit(cfg.Sockets - ownSockets)
	n.link.move(cfg.Pool)
	n.reports.move(cfg.Announce)
	n.parted(Part.Reload)
	n.log("reload", "code", "ok", "pool", cfg.Pool, "announce", cfg.Announce, "kept", strings.Join(kept, ","))
}
