package main

import (
	"strings"
	"testing"
)

const provision = `PROVISION 1 {"tick_ms":4,"rules":{"fall_multiple":6},"specifics":{"cores":4,"ram_kb":1e6,"run_factor":8,` +
	`"say":"window"},"profiles":[{"aim_ms":1000,"deadline_ms":3000,"worth":1,"repeat":"repeatable"}]}`

func talk(t *testing.T, in string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestServeKeepsInstancesApartAndLivesToo(t *testing.T) {
	out, err := talk(t, "TICK 1\nEOF_BATCH\n"+
		"TICK 2\nAT 3\n"+provision+"\nAT 5\n"+provision+"\nEOF_BATCH\n"+
		"TICK 3\nAT 3\nACCEPT 774f54295d3a91c4 2000 1 1 0 - - 20 - - - 0\nEOF_BATCH\n"+
		"TICK 4\nAT 3\nSTOP\n"+provision+"\nEOF_BATCH\n"+
		"TICK 5\nAT 3\nRESULT 774f54295d3a91c4 GOOD 2\nAT 5\nSTOP\nEOF_BATCH\n")
	if err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(strings.TrimSuffix(out, "END\n"), "END\n")
	if len(replies) != 5 || replies[0] != "" || replies[4] != "" {
		t.Fatalf("replies %q", replies)
	}
	if !strings.Contains(replies[1], "FROM 5\nSTATUS") || !strings.Contains(replies[2], "LAUNCH 774f54295d3a91c4") ||
		!strings.HasPrefix(replies[3], "FROM 3\nSTATUS") {
		t.Fatalf("replies %q", replies)
	}
}

func TestServeReportsBadSettings(t *testing.T) {
	if _, err := talk(t, "TICK 1\nAT 7\nPROVISION 1 {}\nEOF_BATCH\n"); err == nil ||
		!strings.Contains(err.Error(), "instance 7: whinrudder: settings: Cores") {
		t.Fatalf("error %v", err)
	}
}

func TestPanicBecomesAFault(t *testing.T) {
	if _, fault := step(nil, 0, nil, nil); !strings.HasPrefix(fault, "panic: ") {
		t.Fatalf("fault %q", fault)
	}
}
