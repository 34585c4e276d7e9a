// Package fronttest holds what the fuzz targets of the fronts share.
package fronttest

import (
	"reflect"

	"whinrudder"
	"whinrudder/internal/front"
)

// NewValidator returns a validator with a single class, status.
func NewValidator() *front.Validator {
	return front.NewValidator([]string{"status"}, whinrudder.Settings{PassesDeadline: true,
		Classes: []whinrudder.Class{{Aim: 1000, Deadline: 3000, Repeat: whinrudder.Safe}}})
}

// CheckParser feeds bytes to two parsers, to one all at once and to one byte by byte, and reports where they differ and
// what is out of its bounds. It serves the fuzz targets of the fronts.
func CheckParser(t interface{ Fatalf(string, ...any) }, b []byte, parser func() front.Parser) {
	if len(b) > 1<<16 {
		return
	}
	read := func(pieces [][]byte) (all []front.Message) {
		p := parser()
		for _, piece := range pieces {
			p.Feed(piece)
			for {
				m, ok := p.Next()
				if !ok {
					break
				}
				all = append(all, m)
				if m.Fault != nil || m.Close {
					return all
				}
			}
		}
		return all
	}
	var single [][]byte
	for i := range b {
		single = append(single, b[i:i+1])
	}
	whole, bytes := read([][]byte{b}), read(single)
	if !reflect.DeepEqual(whole, bytes) {
		t.Fatalf("all at once: %+v, byte by byte: %+v", whole, bytes)
	}
	for _, m := range whole {
		if r := m.Request; r != nil && (len(r.Body) > front.MaxBodyBytes || len(r.ID) != 16) {
			t.Fatalf("out of bounds: %+v", r)
		}
	}
}
