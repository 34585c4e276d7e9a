package live

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"net"

	"github.com/valyala/fastjson"

	"whinrudder/internal/core"
)

// serveLink is the worker pool's side of the link: its work is the emulator's model.
func (n *node) serveLink() {
	for {
		c, err := n.pool.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.link = c
		n.mu.Unlock()
		for r := bufio.NewScanner(c); r.Scan(); {
			v, err := fastjson.ParseBytes(r.Bytes())
			if err != nil {
				break
			}
			n.command(c, v)
		}
		n.mu.Lock()
		n.link = nil
		n.mu.Unlock()
		c.Close()
	}
}

// command takes a line of the process.
func (n *node) command(c net.Conn, v *fastjson.Value) {
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
		n.out = append(n.out, core.Spawn{ID: call, Body: body})
	case "suspend":
		n.out = append(n.out, core.Suspend{ID: call})
	case "poll":
		n.cookies = append(n.cookies, string(v.GetStringBytes("cookie")))
		n.out = append(n.out, core.Poll{})
	}
}
