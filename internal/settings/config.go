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

// Config is the configuration that a payout node reads when it starts.
type Config struct {
	// Name is the node's name. Listen, Pool and Announce are the addresses of its HTTP port, of the worker pool and of
	// the announce service.
	Name, Listen, Pool, Announce string
	Admin                        string  // address of the operators' admin port; empty: none
	Seed                         uint64  // seed of the node's random decisions
	StopMs                       float64 // time that a graceful shutdown may take, in milliseconds
	Cores                        float64 // CPU limit of the node's process, not of the worker pool
	MemoryMB, Sockets            int     // limits of the node's process
	Settings                     Settings

	keys keySet // keys that the file has
}

// ParseConfig parses and checks a configuration. The error lists everything that is wrong with it.
func ParseConfig(text []byte) (Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	r := reader{subject: "config"}
	root := r.object("config", v)
	limits := r.object("limits", root.Get("limits"))
	c := Config{Name: r.text(root, "name"), Listen: r.text(root, "listen"), Pool: r.text(root, "pool"),
		Announce: r.text(root, "announce"), Admin: r.text(root, "admin"),
		StopMs: r.number(root, "stop_ms"), Cores: r.number(limits, "cores"),
		MemoryMB: r.count(limits, "memory_mb"), Sockets: r.count(limits, "sockets")}
	if seed := r.text(root, "seed"); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			r.addError("seed %q is no hexadecimal number", seed)
		}
	}
	require := func(ok bool, format string, args ...any) {
		if !ok {
			r.addError(format, args...)
		}
	}
	require(c.Name != "", "name is empty")
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"pool", c.Pool}, {"announce", c.Announce}} {
		if err := CheckAddr(a.addr); err != nil {
			r.addError("%s: %v", a.key, err)
		}
	}
	if c.Admin != "" {
		if err := CheckAddr(c.Admin); err != nil {
			r.addError("admin: %v", err)
		}
	}
	require(c.StopMs > 0, "stop_ms is %v, want more than 0", c.StopMs)
	require(c.Cores > 0, "limits.cores is %v, want more than 0", c.Cores)
	require(c.MemoryMB >= 16, "limits.memory_mb is %d, want at least 16", c.MemoryMB)
	require(c.Sockets >= 64, "limits.sockets is %d, want at least 64", c.Sockets)
	if root.Get("settings") == nil {
		r.addError("settings is missing")
	}
	s, err := ParseValue(root.Get("settings"))
	c.Settings, c.keys = s, keysOf(v)
	return c, errors.Join(errors.Join(r.errs...), err, s.Policy.Check(), s.checkProtocols())
}

// CheckAddr returns an error if addr is not an address of the form IP:PORT.
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

// classNameChars are the characters that the name of a class may have.
const classNameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

// checkProtocols returns an error for each setting that the module supports and the protocols of a payout node do not:
// they carry no calls to a dependency and no identifier that links the tries of a keyed request. It also checks the
// names of the classes.
func (s Settings) checkProtocols() error {
	var errs []error
	addError := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("settings: "+format, args...))
	}
	seen := map[string]bool{}
	for i, c := range s.Policy.Classes {
		// The name is the last part of a request's path and a part of commands to the worker pool.
		if n := s.ClassNames[i]; n == "" || seen[n] || strings.Trim(n, classNameChars) != "" {
			addError("profiles[%d].name is %q, want a name of its own of letters, digits, . _ -", i, n)
		}
		seen[s.ClassNames[i]] = true
		if c.Repeat == whinrudder.Keyed {
			addError("profiles[%d].repeat is by_key, which the protocols don't carry", i)
		}
	}
	if s.Policy.Dependency != whinrudder.DependencyNone {
		addError("below is %q, and the protocols carry no calls", s.Policy.Dependency)
	}
	return errors.Join(errs...)
}
