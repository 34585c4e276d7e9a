package settings

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// Operator is the parsed operator's file: optional features of a node beyond its configuration. All are off by default.
type Operator struct {
	UWSGI     string   // address on which the uwsgi protocol is accepted; empty: off
	H2C       string   // address on which HTTP/2 without TLS is accepted; empty: off
	Ensemble  []string // addresses of a ZooKeeper ensemble; empty: off
	ZNodePath string   // the parent znode under which nodes register
	SessionMs float64  // session timeout: how long the ensemble keeps the znode of a node that it does not hear from
	AuthFile  string   // file with USER:PASSWORD for the ensemble; empty: none
	Peer      PeerConfig
	Kept      KeptConfig
	// UpgradeDir is the folder that a running process and its successor share for a handover; empty: no handover.
	UpgradeDir string
	JSONLog    bool // the log is written as JSON, one object per line
}

// PeerConfig is the section peer of the operator's file: how a node exchanges learned state with other nodes, and its
// snapshot.
type PeerConfig struct {
	Listen   string   // address of the peer port, where other nodes fetch the learned state; empty: no peer port
	Donors   []string // addresses of the peer ports of donors
	Discover bool     // donors are also looked up among the znodes of the ensemble
	// CertFile, KeyFile and AuthorityFile are TLS files. PeerName is the name that the certificate of each peer must
	// have.
	CertFile, KeyFile, AuthorityFile, PeerName string
	Plaintext                                  bool    // connections without TLS; on loopback addresses only
	FetchTimeoutMs                             float64 // fetching from donors ends this long after the start
	SnapshotFile                               string  // file for a snapshot of the learned state; empty: no snapshot
	SnapshotIntervalMs                         float64 // how often the snapshot is written
	// The weight of a reported value halves every HalfLifeMs and becomes 0 at the age MaxAgeMs.
	HalfLifeMs, MaxAgeMs float64
}

// Enabled reports whether the node has a peer port, donors or a snapshot.
func (p PeerConfig) Enabled() bool {
	return p.Listen != "" || len(p.Donors) > 0 || p.Discover || p.SnapshotFile != ""
}

// HasDonors reports whether the node asks other nodes for their learned state.
func (p PeerConfig) HasDonors() bool { return len(p.Donors) > 0 || p.Discover }

const maxDonors = 64

// ParseOperator parses and checks the operator's file at path. A text that is not JSON is a template: evaluate returns
// its value as JSON. The error lists everything that is wrong, each with the path of its field.
func ParseOperator(text []byte, path string,
	evaluate func(text []byte, path string) (string, error)) (Operator, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		json, evalErr := evaluate(text, path)
		if evalErr != nil {
			return Operator{}, fmt.Errorf("operator: %w", evalErr)
		}
		if v, err = fastjson.Parse(json); err != nil {
			return Operator{}, fmt.Errorf("operator: %w", err)
		}
	}
	r := reader{subject: "operator"}
	root := r.object("operator", v)
	r.beginObject(root, "", "uwsgi", "h2c", "zookeeper", "peer", "kept", "log", "upgrade")
	var o Operator
	for _, f := range []struct {
		name string
		dest *string
	}{{"uwsgi", &o.UWSGI}, {"h2c", &o.H2C}} {
		if u := r.object(f.name, root.Get(f.name)); u != nil {
			r.beginObject(u, f.name+".", "listen")
			*f.dest = r.text(u, "listen")
			if err := CheckAddr(*f.dest); err != nil {
				r.addError("%s.listen: %v", f.name, err)
			}
		}
	}
	if l := r.object("log", root.Get("log")); l != nil {
		r.beginObject(l, "log.", "form")
		form := r.text(l, "form")
		o.JSONLog = form == "json"
		if form != "json" && form != "text" {
			r.addError("log.form is %q, want text or json", form)
		}
	}
	if z := r.object("zookeeper", root.Get("zookeeper")); z != nil {
		r.beginObject(z, "zookeeper.", "servers", "path", "session_ms", "auth_file")
		o.Ensemble = r.addresses(z, "zookeeper.", "servers")
		o.ZNodePath, o.SessionMs = r.text(z, "path"), r.number(z, "session_ms")
		o.AuthFile = r.text(z, "auth_file")
		if len(o.Ensemble) == 0 {
			r.addError("zookeeper.servers is empty")
		}
		if !strings.HasPrefix(o.ZNodePath, "/") || len(o.ZNodePath) < 2 || strings.HasSuffix(o.ZNodePath, "/") {
			r.addError("zookeeper.path is %q, want a path from the root", o.ZNodePath)
		}
		if !(o.SessionMs >= 1000 && o.SessionMs <= 60000) {
			r.addError("zookeeper.session_ms is %v, want 1000 to 60000", o.SessionMs)
		}
	}
	if u := r.object("upgrade", root.Get("upgrade")); u != nil {
		r.beginObject(u, "upgrade.", "dir")
		if o.UpgradeDir = r.text(u, "dir"); o.UpgradeDir == "" {
			r.addError("upgrade.dir is empty")
		}
	}
	if k := r.object("kept", root.Get("kept")); k != nil {
		o.Kept = r.keptConfig(k)
	}
	if p := r.object("peer", root.Get("peer")); p != nil {
		o.Peer = r.peerConfig(p)
		if o.Peer.Discover && len(o.Ensemble) == 0 {
			r.addError("peer.discover wants a zookeeper section")
		}
	}
	return o, errors.Join(r.errs...)
}

// peerConfig parses and checks the section peer.
func (r *reader) peerConfig(v *fastjson.Value) PeerConfig {
	r.beginObject(v, "peer.", "listen", "donors", "discover", "keys", "plain", "take_ms", "snapshot", "half_life_ms",
		"end_ms")
	p := PeerConfig{Listen: r.text(v, "listen"), Donors: r.addresses(v, "peer.", "donors"),
		Discover: r.boolean(v, "discover"), Plaintext: r.boolean(v, "plain")}
	inRange := r.numberInRange
	p.FetchTimeoutMs = inRange(v, "peer.", "take_ms", 5000, 100, 60000)
	p.HalfLifeMs = inRange(v, "peer.", "half_life_ms", 180e3, 1000, 86400e3)
	p.MaxAgeMs = inRange(v, "peer.", "end_ms", 900e3, 1000, 86400e3)
	if p.Listen != "" {
		if err := CheckAddr(p.Listen); err != nil {
			r.addError("peer.listen: %v", err)
		}
	}
	if len(p.Donors) > maxDonors {
		r.addError("peer.donors has %d addresses, want at most %d", len(p.Donors), maxDonors)
	}
	if s := r.object("peer.snapshot", v.Get("snapshot")); s != nil {
		r.beginObject(s, "peer.snapshot.", "file", "every_ms")
		p.SnapshotFile = r.text(s, "file")
		p.SnapshotIntervalMs = inRange(s, "peer.snapshot.", "every_ms", 60e3, 1000, 3600e3)
		if p.SnapshotFile == "" {
			r.addError("peer.snapshot.file is empty")
		}
	}
	k := r.object("peer.keys", v.Get("keys"))
	if k != nil {
		r.beginObject(k, "peer.keys.", "cert", "key", "authority", "name")
		p.CertFile, p.KeyFile, p.AuthorityFile, p.PeerName =
			r.text(k, "cert"), r.text(k, "key"), r.text(k, "authority"), r.text(k, "name")
		if p.CertFile == "" || p.KeyFile == "" || p.AuthorityFile == "" {
			r.addError("peer.keys wants cert, key and authority")
		}
	}
	switch usesNetwork := p.Listen != "" || p.HasDonors(); {
	case p.Plaintext && k != nil:
		r.addError("peer.plain is true, and there are keys: want one of them")
	case p.Plaintext && !(isLoopbackOrEmpty(p.Listen) &&
		!slices.ContainsFunc(p.Donors, func(a string) bool { return !isLoopbackOrEmpty(a) })):
		r.addError("peer.plain is for loopback addresses only")
	case usesNetwork && !p.Plaintext && k == nil:
		r.addError("peer.keys is absent: other nodes are met with keys, or on loopback addresses with plain")
	case !p.Enabled():
		r.addError("peer has none of listen, donors, discover and snapshot, want at least one")
	}
	return p
}

// numberInRange returns the number of a key and records an error if it is outside low to high. A missing key has the
// default value.
func (r *reader) numberInRange(o *fastjson.Value, path, key string, defaultValue, low, high float64) float64 {
	if o.Get(key) == nil {
		return defaultValue
	}
	f := r.number(o, key)
	if !(f >= low && f <= high) {
		r.addError("%s%s is %v, want %.0f to %.0f", path, key, f, low, high)
	}
	return f
}

// isLoopbackOrEmpty reports whether addr is empty or has a loopback IP address.
func isLoopbackOrEmpty(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return addr == "" || err == nil && net.ParseIP(host) != nil && net.ParseIP(host).IsLoopback()
}

// addresses returns the list of addresses of a key and records an error for each that is malformed.
func (r *reader) addresses(o *fastjson.Value, path, key string) (out []string) {
	for _, e := range r.list(o, key) {
		addr := string(e.GetStringBytes())
		if err := CheckAddr(addr); err != nil {
			r.addError("%s%s: %v", path, key, err)
		}
		out = append(out, addr)
	}
	return out
}

// beginObject makes path the prefix of the keys that are read next and records an error for each key of o that is not
// known.
func (r *reader) beginObject(o *fastjson.Value, path string, known ...string) {
	r.path = path
	if o == nil {
		return
	}
	o.GetObject().Visit(func(key []byte, _ *fastjson.Value) {
		if !slices.Contains(known, string(key)) {
			r.addError("%s%s is not known%s", path, key, Suggestion(string(key), known))
		}
	})
}

// EffectiveJSON returns the effective values of the operator's file as JSON. Features that are off are left out.
func (o Operator) EffectiveJSON() string {
	var a fastjson.Arena
	list := func(in []string) *fastjson.Value {
		l := a.NewArray()
		for i, s := range in {
			l.SetArrayItem(i, a.NewString(s))
		}
		return l
	}
	root := a.NewObject()
	for _, f := range []struct{ name, listen string }{{"uwsgi", o.UWSGI}, {"h2c", o.H2C}} {
		if f.listen != "" {
			u := a.NewObject()
			u.Set("listen", a.NewString(f.listen))
			root.Set(f.name, u)
		}
	}
	if len(o.Ensemble) > 0 {
		z := a.NewObject()
		z.Set("servers", list(o.Ensemble))
		z.Set("path", a.NewString(o.ZNodePath))
		z.Set("session_ms", a.NewNumberFloat64(o.SessionMs))
		if o.AuthFile != "" {
			z.Set("auth_file", a.NewString(o.AuthFile))
		}
		root.Set("zookeeper", z)
	}
	if o.JSONLog {
		l := a.NewObject()
		l.Set("form", a.NewString("json"))
		root.Set("log", l)
	}
	if o.Kept.Enabled() {
		root.Set("kept", o.Kept.toJSON(&a, list))
	}
	if o.UpgradeDir != "" {
		u := a.NewObject()
		u.Set("dir", a.NewString(o.UpgradeDir))
		root.Set("upgrade", u)
	}
	if o.Peer.Enabled() {
		root.Set("peer", o.Peer.toJSON(&a, list))
	}
	return string(root.MarshalTo(nil))
}

// toJSON returns the section peer with its effective values.
func (p PeerConfig) toJSON(a *fastjson.Arena, list func([]string) *fastjson.Value) *fastjson.Value {
	v := a.NewObject()
	flag := func(on bool) *fastjson.Value {
		if on {
			return a.NewTrue()
		}
		return a.NewFalse()
	}
	text := func(o *fastjson.Value, key, s string) {
		if s != "" {
			o.Set(key, a.NewString(s))
		}
	}
	text(v, "listen", p.Listen)
	if len(p.Donors) > 0 {
		v.Set("donors", list(p.Donors))
	}
	v.Set("discover", flag(p.Discover))
	v.Set("plain", flag(p.Plaintext))
	if p.CertFile != "" {
		k := a.NewObject()
		text(k, "cert", p.CertFile)
		text(k, "key", p.KeyFile)
		text(k, "authority", p.AuthorityFile)
		text(k, "name", p.PeerName)
		v.Set("keys", k)
	}
	if p.SnapshotFile != "" {
		s := a.NewObject()
		text(s, "file", p.SnapshotFile)
		s.Set("every_ms", a.NewNumberFloat64(p.SnapshotIntervalMs))
		v.Set("snapshot", s)
	}
	v.Set("take_ms", a.NewNumberFloat64(p.FetchTimeoutMs))
	v.Set("half_life_ms", a.NewNumberFloat64(p.HalfLifeMs))
	v.Set("end_ms", a.NewNumberFloat64(p.MaxAgeMs))
	return v
}
