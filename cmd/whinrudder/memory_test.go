package main

import (
	"context"
	"testing"
	"time"

	"whinrudder/internal/lab"
)

// Guards against a node that is killed for its memory (review/2, and the same on other fronts): under each load of hostile
// peers the anonymous memory of its process stays within the smallest limit of the platform, and calm callers are served.
func TestMemoryStaysWithinItsLimit(t *testing.T) {
	const limitMB, length = 32, 1500 * time.Millisecond
	program, _ := buildProgram(t)
	for _, load := range lab.MemoryLoadNames() {
		t.Run(load, func(t *testing.T) {
			r, err := lab.MeasureMemory(context.Background(), program, load, limitMB, length)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", r)
			if r.PeakMB > limitMB {
				t.Errorf("got %.1f MB at the highest, want at most %d", r.PeakMB, limitMB)
			}
			if r.Messages == 0 || r.Served == 0 {
				t.Errorf("got %d messages and %d calm requests served, want some", r.Messages, r.Served)
			}
		})
	}
}
