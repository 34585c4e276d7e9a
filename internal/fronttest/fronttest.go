// Package fronttest holds helpers shared by the fuzz targets of the protocol fronts.
package fronttest

import (
	"reflect"

	"whinrudder"
	"whinrudder/internal/front"
)

// NewValidator returns a validator with a single class named status.
func NewValidator() *front.Validator {
	return front.NewValidator([]string{"status"}, whinrudder.Settings{PassesDeadline: true,
		Classes: []whinrudder.Class{{Aim: 1000, Deadline: 3000, Repeat: whinrudder.Safe}}})
}

// CheckParser feeds b to two parsers, to one all at once and to one byte by byte. It fails the test if their messages
// differ or if a request has a body over the limit or an id of the wrong length.
func CheckParser(t interface{ Fatalf(string, ...any) }, b []byte, newParser func() front.Parser) {
	if len(b) > 1<<16 {
		return
	}
	read := func(pieces [][]byte) (messages []front.Message) {
		p := newParser()
		for _, piece := range pieces {
			p.Feed(piece)
			for {
				m, ok := p.Next()
				if !ok {
					break
				}
				messages = append(messages, m)
				if m.Fault != nil || m.Close {
					return messages
				}
			}
		}
		return messages
	}
	var singleBytes [][]byte
	for i := range b {
		singleBytes = append(singleBytes, b[i:i+1])
	}
	whole, bytewise := read([][]byte{b}), read(singleBytes)
	if !reflect.DeepEqual(whole, bytewise) {
		t.Fatalf("messages differ: fed at once %+v, fed byte by byte %+v", whole, bytewise)
	}
	for _, m := range whole {
		if r := m.Request; r != nil && (len(r.Body) > front.MaxBodyBytes || len(r.ID) != 16) {
			t.Fatalf("request with a body of %d bytes and an id of %d bytes: %+v", len(r.Body), len(r.ID), r)
		}
	}
}
