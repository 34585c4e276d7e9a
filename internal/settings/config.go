package settings

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"whinrudder"
)

// Config is what a payout node is told at its start.
type Config struct {
	Name, Listen, Pool, Announce string
	Admin                        string // address of the operators' door; empty: none
	Seed                         uint64
	StopMs                       float64
	Cores                        float64 // of the program, not of the worker pool
	MemoryMB, Sockets            int
	Settings                     Settings

	shape shape // of the file
}

// ParseConfig reads a configuration. The error names every fault.
func ParseConfig(text []byte) (Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	r := reader{what: "config"}
	root := r.object("config", v)
	limits := r.object("limits", root.Get("limits"))
	c := Config{Name: r.text(root, "name"), Listen: r.text(root, "listen"), Pool: r.text(root, "pool"),
		Announce: r.text(root, "announce"), Admin: r.text(root, "admin"), StopMs: r.num(root, "stop_ms"), Cores: r.num(limits, "cores"),
		MemoryMB: r.count(limits, "memory_mb"), Sockets: r.count(limits, "sockets")}
	if seed := r.text(root, "seed"); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			r.fault("seed %q is no hexadecimal number", seed)
		}
	}
	want := func(ok bool, format string, args ...any) {
		if !ok {
			r.fault(format, args...)
		}
	}
	want(c.Name != "", "name is empty")
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"pool", c.Pool}, {"announce", c.Announce}} {
		if err := CheckAddr(a.addr); err != nil {
			r.fault("%s: %v", a.key, err)
		}
	}
	if c.Admin != "" {
		if err := CheckAddr(c.Admin); err != nil {
			r.fault("admin: %v", err)
		}
	}
	want(c.StopMs > 0, "stop_ms is %v, want more than 0", c.StopMs)
	want(c.Cores > 0, "limits.cores is %v, want more than 0", c.Cores)
	want(c.MemoryMB >= 16, "limits.memory_mb is %d, want at least 16", c.MemoryMB)
	want(c.Sockets >= 64, "limits.sockets is %d, want at least 64", c.Sockets)
	if root.Get("settings") == nil {
		r.fault("settings are absent")
	}
	s, err := ParseValue(root.Get("settings"))
	c.Settings, c.shape = s, shapeOf(v)
	return c, errors.Join(errors.Join(r.faults...), err, s.Policy.Check(), s.serves())
}

// CheckAddr tells what is wrong with an address of the form HOST:PORT.
func CheckAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	_, err = strconv.ParseUint(port, 10, 16)
	if net.ParseIP(host) == nil || err != nil {
		return fmt.Errorf("%q is not of the form IP:PORT", addr)
	}
	return nil
}

const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

// serves tells what a payout node can't do though the module could: its protocols carry no calls to a
// dependency and no name by which tries of a keyed class know each other.
func (s Settings) serves() error {
	var errs []error
	fault := func(format string, args ...any) { errs = append(errs, fmt.Errorf("settings: "+format, args...)) }
	seen := map[string]bool{}
	for i, c := range s.Policy.Classes {
		// A name is the last part of a path and stands in commands to the worker pool.
		if n := s.ClassNames[i]; n == "" || seen[n] || strings.Trim(n, nameChars) != "" {
			fault("profiles[%d].name is %q, want a name of its own of letters, digits, . _ -", i, n)
		}
		seen[s.ClassNames[i]] = true
		if c.Repeat == whinrudder.Keyed {
			fault("profiles[%d].repeat is by_key, which the protocols don't carry", i)
		}
	}
	if s.Policy.Dependency != whinrudder.DependencyNone {
		fault("below is %q, and the protocols carry no calls", s.Policy.Dependency)
	}
	return errors.Join(errs...)
}
