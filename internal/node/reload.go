package node

import (
	"errors"
	"os"
	"reflect"
	"strings"

	"whinrudder"
	"whinrudder/internal/classindex"
	"whinrudder/internal/clock"
	"whinrudder/internal/core"
	"whinrudder/internal/front"
	"whinrudder/internal/settings"
)

// LoadFunc reads the configuration and the operator's file again and validates them.
type LoadFunc func() (settings.Config, settings.Operator, error)

// reloadLoop applies a new configuration at each signal. Signals in quick succession may be handled as one: the
// file is read after the last of them. A faulty file is logged, and the current configuration stays in effect.
func (n *Node) reloadLoop(signals <-chan os.Signal, load LoadFunc) {
	for {
		select {
		case <-n.done:
			return
		case <-signals:
		}
		cfg, op, err := load()
		if err == nil {
			err = n.reload(cfg, op)
		}
		if err != nil {
			n.counters.ConfInvalid.Add(1)
			n.log("reload", "code", "faulty", "error", err)
		}
	}
}

// reload moves the link and the reports to new addresses and applies the settings, the limits and stop_ms.
// Everything else is fixed for the life of the process. If it returns an error, nothing was changed.
func (n *Node) reload(cfg settings.Config, op settings.Operator) error {
	if err := cfg.CheckMissingKeys(n.cfg); err != nil {
		return err
	}
	if _, err := n.op.KeptClassNames(cfg); err != nil {
		return err
	}
	inUse, err := n.classesInUse()
	if err != nil {
		return err
	}
	view, err := n.allocator.Update(cfg.Settings, clock.Now(), inUse)
	if err != nil {
		return err
	}
	var unchanged []string // settings whose change is ignored
	for _, f := range []struct {
		name     string
		old, new any
	}{
		{"name", n.cfg.Name, cfg.Name}, {"listen", n.cfg.Listen, cfg.Listen}, {"seed", n.cfg.Seed, cfg.Seed},
		{"admin", n.cfg.Admin, cfg.Admin}, {"operator", n.op, op},
	} {
		if !reflect.DeepEqual(f.old, f.new) {
			unchanged = append(unchanged, f.name)
		}
	}
	n.mu.Lock()
	n.stopMs, n.appliedConfig = cfg.StopMs, cfg
	n.mu.Unlock()
	n.applySettings(view, cfg.Settings.GaugeNames)
	n.applyLimits()
	n.link.setAddr(cfg.Pool)
	n.reporter.setAddr(cfg.Announce)
	n.eachSubsystem(Subsystem.Reload)
	n.counters.ConfLoaded.Add(1)
	n.log("reload", "code", "ok", "pool", cfg.Pool, "announce", cfg.Announce, "classes", len(cfg.Settings.ClassNames),
		"kept", strings.Join(unchanged, ","))
	return nil
}

// errEnded is the reason why a node that ends takes no new configuration.
var errEnded = errors.New("the node ends")

// classesInUse asks the core for the classes that have requests in progress.
func (n *Node) classesInUse() (map[int]bool, error) {
	reply := make(chan map[int]bool, 1)
	n.submit(core.QueryClassesInUse{Reply: func(inUse map[int]bool) { reply <- inUse }})
	select {
	case inUse := <-reply:
		return inUse, nil
	case <-n.done:
		return nil, errEnded
	}
}

// applySettings applies new settings: first to the link, which must know a class before a run of it is queued,
// then to the core, which must know it before a request of it arrives, and last to the fronts.
func (n *Node) applySettings(v classindex.View, gauges []string) {
	n.mu.Lock()
	n.view = v
	n.mu.Unlock()
	n.link.mu.Lock()
	n.link.state.SetNames(v.Names, gauges)
	n.link.mu.Unlock()
	names := map[int]string{}
	for _, k := range n.op.Kept.Classes {
		names[v.Active[k]] = k
	}
	t := n.validatorConfig(v, names)
	n.submit(core.ChangeSettings{Settings: v.Settings, ClassNames: v.Names, NewIndices: v.NewIndices, Counters: n.counters.Classes(v.Names),
		KeptClasses: t.KeptClasses})
	n.validator.SetConfig(t)
}

// validatorConfig returns what the fronts have to know about a view, with the classes whose results are kept.
func (n *Node) validatorConfig(v classindex.View, kept map[int]string) front.ValidatorConfig {
	return front.ValidatorConfig{ClassIndex: v.Active, Policy: v.Settings, KeptClasses: kept}
}

// currentSettings returns the class names in the order of their indices, and the current settings.
func (n *Node) currentSettings() ([]string, whinrudder.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := make([]string, len(n.view.Names))
	for name, i := range n.view.Active {
		names[i] = name
	}
	return names, n.view.Settings
}
