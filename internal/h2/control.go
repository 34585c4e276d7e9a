package h2

import "encoding/binary"

// handlePriority checks a PRIORITY frame, which has no effect otherwise (RFC 9113, 6.3).
func (c *Conn) handlePriority(h frameHeader, p []byte) {
	if h.stream == 0 {
		c.fail(ProtocolError, "bad-stream")
		return
	}
	e := NoError
	if len(p) != 5 {
		e = FrameSizeError
	} else if binary.BigEndian.Uint32(p)&maxUint31 == h.stream {
		e = ProtocolError
	}
	switch {
	case e != NoError && c.streams[h.stream] != nil:
		c.resetStream(h.stream, e)
	case e == FrameSizeError || e != NoError && h.stream > c.highestID:
		c.fail(e, "bad-priority") // a stream that is not open cannot be reset
	default:
		c.spend(&c.priorities) // deprecated and ignored
	}
}

// handleRstStream processes a RST_STREAM frame (RFC 9113, 6.4).
func (c *Conn) handleRstStream(h frameHeader, p []byte) {
	switch {
	case h.stream == 0:
		c.fail(ProtocolError, "bad-stream")
	case len(p) != 4:
		c.fail(FrameSizeError, "bad-size")
	case h.stream > c.highestID:
		c.fail(ProtocolError, "idle-stream")
	case c.streams[h.stream] == nil:
		c.spend(&c.strays) // sent before the peer learned that the stream is closed
	default:
		rapid := c.now < c.streams[h.stream].openedAt+rapidResetMs
		c.closeStream(h.stream, resetByPeer)
		if rapid {
			c.spend(&c.resets)
		}
	}
}

// handleSettings processes a SETTINGS frame (RFC 9113, 6.5).
func (c *Conn) handleSettings(h frameHeader, p []byte) {
	switch {
	case h.stream != 0:
		c.fail(ProtocolError, "bad-stream")
		return
	case h.has(flagAck):
		if len(p) != 0 {
			c.fail(FrameSizeError, "bad-size")
		} else if len(c.unackedLimits) > 0 {
			c.streamLimit, c.unackedLimits = c.unackedLimits[0], c.unackedLimits[1:]
			if c.ackDeadline = 0; len(c.unackedLimits) > 0 {
				c.ackDeadline = c.now + settingsAckTimeoutMs
			}
		}
		return
	case len(p)%6 != 0:
		c.fail(FrameSizeError, "bad-size")
		return
	case !c.spend(&c.settings):
		return
	}
	c.settingsRead = true
	for ; len(p) > 0; p = p[6:] {
		v := binary.BigEndian.Uint32(p[2:])
		switch binary.BigEndian.Uint16(p) {
		case settingHeaderTableSize:
			c.enc.SetMaxDynamicTableSize(min(v, maxTableBytes))
		case settingEnablePush:
			if v > 1 {
				c.fail(ProtocolError, "bad-setting")
				return
			}
		case settingInitialWindowSize:
			if v > maxUint31 {
				c.fail(FlowControlError, "bad-setting")
				return
			}
			delta := int64(v) - c.peerInitialWindow
			c.peerInitialWindow = int64(v)
			for _, s := range c.streams {
				if s.sendWindow += delta; s.sendWindow > maxUint31 {
					c.fail(FlowControlError, "flow-control")
					return
				}
			}
			c.unblock()
		case settingMaxFrameSize:
			if v < minFrameBytes || v > maxFrameBytes {
				c.fail(ProtocolError, "bad-setting")
				return
			}
			c.peerMaxFrame = int(v)
		}
	}
	c.control = appendFrameHeader(c.control, 0, frameSettings, flagAck, 0)
}

// handlePing processes a PING frame (RFC 9113, 6.7).
func (c *Conn) handlePing(h frameHeader, p []byte) {
	switch {
	case h.stream != 0:
		c.fail(ProtocolError, "bad-stream")
	case len(p) != 8:
		c.fail(FrameSizeError, "bad-size")
	case h.has(flagAck):
		if c.draining && string(p) == drainPingData {
			c.sendFinalGoAway()
		}
	case c.spend(&c.pings):
		c.control = append(appendFrameHeader(c.control, 8, framePing, flagAck, 0), p...)
	}
}

// handleWindowUpdate processes a WINDOW_UPDATE frame (RFC 9113, 6.9).
func (c *Conn) handleWindowUpdate(h frameHeader, p []byte) {
	if len(p) != 4 {
		c.fail(FrameSizeError, "bad-size")
		return
	}
	increment, s := int64(binary.BigEndian.Uint32(p)&maxUint31), c.streams[h.stream]
	switch {
	case h.stream > c.highestID:
		c.fail(ProtocolError, "idle-stream")
	case h.stream == 0 && increment == 0:
		c.fail(ProtocolError, "bad-update")
	case h.stream == 0:
		if c.sendWindow += increment; c.sendWindow > maxUint31 {
			c.fail(FlowControlError, "flow-control")
			return
		}
		c.unblock()
		c.spend(&c.updates)
	case s == nil:
		c.spend(&c.strays)
	case increment == 0:
		c.resetStream(s.id, ProtocolError)
	default:
		if s.sendWindow += increment; s.sendWindow > maxUint31 {
			c.resetStream(s.id, FlowControlError)
			return
		}
		c.unblock()
		c.spend(&c.updates)
	}
}
