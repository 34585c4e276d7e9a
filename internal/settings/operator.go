package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fastjson"
)

// Operator is what an operator adds to a node beyond the platform's configuration. All of it is off by default.
type Operator struct {
	UWSGI     string   // address on which the uwsgi protocol is accepted; empty: off
	Ensemble  []string // addresses of a ZooKeeper ensemble; empty: off
	Path      string   // the znode under which nodes register
	SessionMs float64  // how long the ensemble keeps the znode of a silent node
}

// ParseOperator reads an operator's file. The error names every fault.
func ParseOperator(text []byte) (Operator, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Operator{}, fmt.Errorf("operator: %w", err)
	}
	r := reader{what: "operator"}
	root := r.object("operator", v)
	var o Operator
	if u := r.object("uwsgi", root.Get("uwsgi")); u != nil {
		o.UWSGI = r.text(u, "listen")
		if err := CheckAddr(o.UWSGI); err != nil {
			r.fault("uwsgi.listen: %v", err)
		}
	}
	if z := r.object("zookeeper", root.Get("zookeeper")); z != nil {
		for _, e := range r.list(z, "servers") {
			addr := string(e.GetStringBytes())
			if err := CheckAddr(addr); err != nil {
				r.fault("zookeeper.servers: %v", err)
			}
			o.Ensemble = append(o.Ensemble, addr)
		}
		o.Path, o.SessionMs = r.text(z, "path"), r.num(z, "session_ms")
		if len(o.Ensemble) == 0 {
			r.fault("zookeeper.servers is empty")
		}
		if !strings.HasPrefix(o.Path, "/") || len(o.Path) < 2 || strings.HasSuffix(o.Path, "/") {
			r.fault("zookeeper.path is %q, want a path from the root", o.Path)
		}
		if !(o.SessionMs >= 1000 && o.SessionMs <= 60000) {
			r.fault("zookeeper.session_ms is %v, want 1000 to 60000", o.SessionMs)
		}
	}
	return o, errors.Join(r.faults...)
}
