package settings

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// Operator is what an operator adds to a node beyond the platform's configuration. All of it is off by default.
type Operator struct {
	UWSGI     string   // address on which the uwsgi protocol is accepted; empty: off
	H2C       string   // address on which HTTP/2 without TLS is accepted; empty: off
	Ensemble  []string // addresses of a ZooKeeper ensemble; empty: off
	ZNodePath string   // the znode under which nodes register
	SessionMs float64  // how long the ensemble keeps the znode of a silent node
	AuthFile  string   // file with USER:PASSWORD for the ensemble; empty: none
	Peer      PeerConfig
	Kept      KeptConfig
	// UpgradeDir is a folder that a running process and its successor share; empty: no handover.
	UpgradeDir string
	JSONLog    bool // the log is JSON, one object a line
}

// PeerConfig says how a node learns from others and gives to them.
type PeerConfig struct {
	Listen                                     string   // address on which the node gives; empty: it gives nothing
	Donors                                     []string // addresses of nodes that give
	Discover                                   bool     // donors are also found among the znodes of the ensemble
	CertFile, KeyFile, AuthorityFile, PeerName string   // files of keys, and the name that peers' certificates must have
	Plaintext                                  bool     // without keys, on loopback addresses only
	FetchTimeoutMs                             float64  // all taking ends so long after the start
	SnapshotFile                               string   // file for what the node knows; empty: none
	SnapshotIntervalMs                         float64  // how often it is written
	HalfLifeMs, MaxAgeMs                       float64  // the weight of a fact halves with each of the one, and is nothing at the other
}

// Enabled tells whether anything of it is wanted.
func (p PeerConfig) Enabled() bool {
	return p.Listen != "" || len(p.Donors) > 0 || p.Discover || p.SnapshotFile != ""
}

// HasDonors tells whether other nodes are to be asked.
func (p PeerConfig) HasDonors() bool { return len(p.Donors) > 0 || p.Discover }

const maxDonors = 64

// ParseOperator reads an operator's file. Path names it. One that is no JSON is taken for a template and handed to
// evaluate, which returns its value as JSON; a JSON file is taken as it stands. The error names every fault, by the
// path of the field.
func ParseOperator(text []byte, path string, evaluate func(text []byte, path string) (string, error)) (Operator, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		json, fault := evaluate(text, path)
		if fault != nil {
			return Operator{}, fmt.Errorf("operator: %w", fault)
		}
		if v, err = fastjson.Parse(json); err != nil {
			return Operator{}, fmt.Errorf("operator: %w", err)
		}
	}
	r := reader{what: "operator"}
	root := r.object("operator", v)
	r.only(root, "", "uwsgi", "h2c", "zookeeper", "peer", "kept", "log", "upgrade")
	var o Operator
	for _, f := range []struct {
		name string
		to   *string
	}{{"uwsgi", &o.UWSGI}, {"h2c", &o.H2C}} {
		if u := r.object(f.name, root.Get(f.name)); u != nil {
			r.only(u, f.name+".", "listen")
			*f.to = r.text(u, "listen")
			if err := CheckAddr(*f.to); err != nil {
				r.fault("%s.listen: %v", f.name, err)
			}
		}
	}
	if l := r.object("log", root.Get("log")); l != nil {
		r.only(l, "log.", "form")
		form := r.text(l, "form")
		o.JSONLog = form == "json"
		if form != "json" && form != "text" {
			r.fault("log.form is %q, want text or json", form)
		}
	}
	if z := r.object("zookeeper", root.Get("zookeeper")); z != nil {
		r.only(z, "zookeeper.", "servers", "path", "session_ms", "auth_file")
		o.Ensemble = r.addrs(z, "zookeeper.", "servers")
		o.ZNodePath, o.SessionMs = r.text(z, "path"), r.num(z, "session_ms")
		o.AuthFile = r.text(z, "auth_file")
		if len(o.Ensemble) == 0 {
			r.fault("zookeeper.servers is empty")
		}
		if !strings.HasPrefix(o.ZNodePath, "/") || len(o.ZNodePath) < 2 || strings.HasSuffix(o.ZNodePath, "/") {
			r.fault("zookeeper.path is %q, want a path from the root", o.ZNodePath)
		}
		if !(o.SessionMs >= 1000 && o.SessionMs <= 60000) {
			r.fault("zookeeper.session_ms is %v, want 1000 to 60000", o.SessionMs)
		}
	}
	if u := r.object("upgrade", root.Get("upgrade")); u != nil {
		r.only(u, "upgrade.", "dir")
		if o.UpgradeDir = r.text(u, "dir"); o.UpgradeDir == "" {
			r.fault("upgrade.dir is empty")
		}
	}
	if k := r.object("kept", root.Get("kept")); k != nil {
		o.Kept = r.kept(k)
	}
	if p := r.object("peer", root.Get("peer")); p != nil {
		o.Peer = r.peer(p)
		if o.Peer.Discover && len(o.Ensemble) == 0 {
			r.fault("peer.discover wants a zookeeper section")
		}
	}
	return o, errors.Join(r.faults...)
}

func (r *reader) peer(v *fastjson.Value) PeerConfig {
	r.only(v, "peer.", "listen", "donors", "discover", "keys", "plain", "take_ms", "snapshot", "half_life_ms", "end_ms")
	p := PeerConfig{Listen: r.text(v, "listen"), Donors: r.addrs(v, "peer.", "donors"), Discover: r.flag(v, "discover"),
		Plaintext: r.flag(v, "plain")}
	within := r.within
	p.FetchTimeoutMs = within(v, "peer.", "take_ms", 5000, 100, 60000)
	p.HalfLifeMs = within(v, "peer.", "half_life_ms", 180e3, 1000, 86400e3)
	p.MaxAgeMs = within(v, "peer.", "end_ms", 900e3, 1000, 86400e3)
	if p.Listen != "" {
		if err := CheckAddr(p.Listen); err != nil {
			r.fault("peer.listen: %v", err)
		}
	}
	if len(p.Donors) > maxDonors {
		r.fault("peer.donors has %d, %d at most", len(p.Donors), maxDonors)
	}
	if s := r.object("peer.snapshot", v.Get("snapshot")); s != nil {
		r.only(s, "peer.snapshot.", "file", "every_ms")
		p.SnapshotFile = r.text(s, "file")
		p.SnapshotIntervalMs = within(s, "peer.snapshot.", "every_ms", 60e3, 1000, 3600e3)
		if p.SnapshotFile == "" {
			r.fault("peer.snapshot.file is empty")
		}
	}
	k := r.object("peer.keys", v.Get("keys"))
	if k != nil {
		r.only(k, "peer.keys.", "cert", "key", "authority", "name")
		p.CertFile, p.KeyFile, p.AuthorityFile, p.PeerName = r.text(k, "cert"), r.text(k, "key"), r.text(k, "authority"), r.text(k, "name")
		if p.CertFile == "" || p.KeyFile == "" || p.AuthorityFile == "" {
			r.fault("peer.keys wants cert, key and authority")
		}
	}
	switch wired := p.Listen != "" || p.HasDonors(); {
	case p.Plaintext && k != nil:
		r.fault("peer.plain is true, and there are keys: want one of them")
	case p.Plaintext && !(loopback(p.Listen) && !slices.ContainsFunc(p.Donors, func(a string) bool { return !loopback(a) })):
		r.fault("peer.plain is for loopback addresses only")
	case wired && !p.Plaintext && k == nil:
		r.fault("peer.keys is absent: other nodes are met with keys, or on loopback addresses with plain")
	case !p.Enabled():
		r.fault("peer wants listen, donors, discover or snapshot")
	}
	return p
}

// within reads a figure that must lie within bounds; an absent one is the usual.
func (r *reader) within(o *fastjson.Value, path, key string, usual, low, high float64) float64 {
	if o.Get(key) == nil {
		return usual
	}
	f := r.num(o, key)
	if !(f >= low && f <= high) {
		r.fault("%s%s is %v, want %.0f to %.0f", path, key, f, low, high)
	}
	return f
}

func loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	return addr == "" || err == nil && net.ParseIP(host) != nil && net.ParseIP(host).IsLoopback()
}

// addrs reads a list of addresses.
func (r *reader) addrs(o *fastjson.Value, path, key string) (out []string) {
	for _, e := range r.list(o, key) {
		addr := string(e.GetStringBytes())
		if err := CheckAddr(addr); err != nil {
			r.fault("%s%s: %v", path, key, err)
		}
		out = append(out, addr)
	}
	return out
}

// only begins to read an object of a path: it finds the keys that nobody reads.
func (r *reader) only(o *fastjson.Value, path string, known ...string) {
	r.path = path
	if o == nil {
		return
	}
	o.GetObject().Visit(func(key []byte, _ *fastjson.Value) {
		if !slices.Contains(known, string(key)) {
			r.fault("%s%s is not known%s", path, key, Suggestion(string(key), known))
		}
	})
}

// EffectiveJSON returns the effective value of an operator's file, as JSON: what is off is left out.
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
		root.Set("kept", o.Kept.print(&a, list))
	}
	if o.UpgradeDir != "" {
		u := a.NewObject()
		u.Set("dir", a.NewString(o.UpgradeDir))
		root.Set("upgrade", u)
	}
	if o.Peer.Enabled() {
		root.Set("peer", o.Peer.print(&a, list))
	}
	return string(root.MarshalTo(nil))
}

func (p PeerConfig) print(a *fastjson.Arena, list func([]string) *fastjson.Value) *fastjson.Value {
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
