package live

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"net"

	"github.com/valyala/fastjson"

	"whinrudder/internal/core"
)

// servePool accepts connections of the process to its worker pool and handles their messages. The emulator's model
// does the work of the pool.
func (n *node) servePool() {
	for {
		c, err := n.pool.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.poolConn = c
		n.mu.Unlock()
		for r := bufio.NewScanner(c); r.Scan(); {
			v, err := fastjson.ParseBytes(r.Bytes())
			if err != nil {
				break
			}
			n.handleMessage(c, v)
		}
		n.mu.Lock()
		n.poolConn = nil
		n.mu.Unlock()
		c.Close()
	}
}

// handleMessage handles a message of the process to its worker pool.
func (n *node) handleMessage(c net.Conn, v *fastjson.Value) {
	n.mu.Lock()
	defer n.mu.Unlock()
	call := string(v.GetStringBytes("call"))
	switch string(v.GetStringBytes("msg")) {
	case "bind":
		how := "WARM"
		if n.cold {
			how = "COLD"
		}
		fmt.Fprintf(c, `{"msg":"bound","how":%q,"duration":1}`+"\n", how)
	case "spawn":
		body, _ := base64.StdEncoding.DecodeString(string(v.GetStringBytes("blob")))
		n.outputs = append(n.outputs, core.Spawn{ID: call, Body: body})
	case "suspend":
		n.outputs = append(n.outputs, core.Suspend{ID: call})
	case "poll":
		n.cookies = append(n.cookies, string(v.GetStringBytes("cookie")))
		n.outputs = append(n.outputs, core.Poll{})
	}
}
