package main

import (
	"strings"
	"testing"
)

const provision = `PROVISION 1 {"tick_ms":4,"rules":{"fall_multiple":6},"specifics":{"cores":4,"ram_kb":1e6,"run_factor":8,` +
	`"say":"window"},"profiles":[{"aim_ms":1000,"deadline_ms":3000,"worth":1,"repeat":"repeatable"}]}`

// runServe runs serve on an input and returns its output.
func runServe(t *testing.T, in string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

// Each instance has its own policy. An instance that starts again gets a new one, which does not know the requests of
// the old one: their results cause no actions.
func TestServeSeparatesInstancesAndRestarts(t *testing.T) {
	out, err := runServe(t, "TICK 1\nEOF_BATCH\n"+
		"TICK 2\nAT 3\n"+provision+"\nAT 5\n"+provision+"\nEOF_BATCH\n"+
		"TICK 3\nAT 3\nACCEPT 774f54295d3a91c4 2000 1 1 0 - - 20 - - - 0\nEOF_BATCH\n"+
		"TICK 4\nAT 3\nSTOP\n"+provision+"\nEOF_BATCH\n"+
		"TICK 5\nAT 3\nRESULT 774f54295d3a91c4 GOOD 2\nAT 5\nSTOP\nEOF_BATCH\n")
	if err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(strings.TrimSuffix(out, "END\n"), "END\n")
	if len(replies) != 5 || replies[0] != "" || replies[4] != "" {
		t.Fatalf("got replies %q, want 5, the first and last one empty", replies)
	}
	if !strings.Contains(replies[1], "FROM 5\nSTATUS") || !strings.Contains(replies[2], "LAUNCH 774f54295d3a91c4") ||
		!strings.HasPrefix(replies[3], "FROM 3\nSTATUS") {
		t.Fatalf("got replies %q, want STATUS of instance 5, LAUNCH, and STATUS of instance 3", replies)
	}
}

func TestServeReportsBadSettings(t *testing.T) {
	if _, err := runServe(t, "TICK 1\nAT 7\nPROVISION 1 {}\nEOF_BATCH\n"); err == nil ||
		!strings.Contains(err.Error(), "instance 7: whinrudder: settings: Cores") {
		t.Fatalf("got error %v, want the instance and the setting", err)
	}
}

func TestStepReportsPanic(t *testing.T) {
	if _, failure := step(nil, 0, nil, nil); !strings.HasPrefix(failure, "panic: ") {
		t.Fatalf("got failure %q, want prefix %q", failure, "panic: ")
	}
}
