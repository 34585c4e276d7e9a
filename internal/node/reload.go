package node

import (
	"os"
	"reflect"
	"strings"

	"whinrudder"
	"whinrudder/internal/classindex"
	"whinrudder/internal/core"
	"whinrudder/internal/front"
	"whinrudder/internal/settings"
)

// LoadFunc reads the configuration and the operator's file anew and checks them whole.
type LoadFunc func() (settings.Config, settings.Operator, error)

// reloads takes over a new configuration at each signal. Signals that come close together may be taken as one: the
// file is read after the last of them. A faulty file is logged, and the old configuration stays.
func (n *Node) reloads(signals <-chan os.Signal, load LoadFunc) {
	for {
		select {
		case <-n.over:
			return
		case <-signals:
		}
		cfg, op, err := load()
		if err == nil {
			err = n.reload(cfg, op)
		}
		if err != nil {
			n.figures.ConfInvalid.Add(1)
			n.log("reload", "code", "faulty", "error", err)
		}
	}
}

// reload moves the link and the reports to new addresses and applies the settings, the limits and stop_ms. The rest is
// fixed for the life of the process. An error means that nothing was changed.
func (n *Node) reload(cfg settings.Config, op settings.Operator) error {
	if err := cfg.CheckMissingKeys(n.cfg); err != nil {
		return err
	}
	if _, err := n.op.KeptClassNames(cfg); err != nil {
		return err
	}
	view, err := n.catalog.Update(cfg.Settings, now())
	if err != nil {
		return err
	}
	var kept []string
	for _, f := range []struct {
		name     string
		old, new any
	}{
		{"name", n.cfg.Name, cfg.Name}, {"listen", n.cfg.Listen, cfg.Listen}, {"seed", n.cfg.Seed, cfg.Seed},
		{"admin", n.cfg.Admin, cfg.Admin}, {"operator", n.op, op},
	} {
		if !reflect.DeepEqual(f.old, f.new) {
			kept = append(kept, f.name)
		}
	}
	n.mu.Lock()
	n.stopMs, n.granted = cfg.StopMs, cfg
	n.mu.Unlock()
	n.retune(view, cfg.Settings.GaugeNames)
	n.grant()
	n.link.move(cfg.Pool)
	n.reports.move(cfg.Announce)
	n.parted(Subsystem.Reload)
	n.figures.ConfLoaded.Add(1)
	n.log("reload", "code", "ok", "pool", cfg.Pool, "announce", cfg.Announce, "classes", len(cfg.Settings.ClassNames), "kept",
		strings.Join(kept, ","))
	return nil
}

// retune takes over new settings: first the link, which must know a class before a run of it is handed over, then the
// core, which must know it before a request of it comes, and at last the fronts.
func (n *Node) retune(v classindex.View, gauges []string) {
	n.mu.Lock()
	n.view = v
	n.mu.Unlock()
	n.link.mu.Lock()
	n.link.machine.SetNames(v.Names, gauges)
	n.link.mu.Unlock()
	names := map[int]string{}
	for _, k := range n.op.Kept.Classes {
		names[v.Active[k]] = k
	}
	t := n.terms(v, names)
	n.tell(core.ChangeSettings{Settings: v.Settings, NewIndices: v.NewIndices, Counters: n.figures.Classes(v.Names), KeptClasses: t.KeptClasses})
	n.site.SetConfig(t)
}

// terms are what the fronts must know of a view, with the classes whose results are kept.
func (n *Node) terms(v classindex.View, kept map[int]string) front.ValidatorConfig {
	return front.ValidatorConfig{ClassIndex: v.Active, Policy: v.Settings, KeptClasses: kept}
}

// present returns the present settings and the names of the classes, by their places.
func (n *Node) present() ([]string, whinrudder.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := make([]string, len(n.view.Names))
	for name, i := range n.view.Active {
		names[i] = name
	}
	return names, n.view.Settings
}
