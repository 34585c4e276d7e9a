package simproto

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"whinrudder"
)

const provision = `PROVISION 42 {"new_key":[1],"specifics":{"cores":6,"halt":"suspend","say":"window","below":"shared",` +
	`"class_calls":[true],"class_skip_worth":[0.3],"ram_kb":100},"profiles":[{"aim_ms":1,"deadline_ms":2,` +
	`"repeat":"by_key","memory_span_ms":9}],"allowed":{"retry_after":true,"max_retry_after_ms":7},"worth_by":"work"}`

func decode(t *testing.T, in string) (Batch, error) {
	t.Helper()
	var b Batch
	err := NewDecoder(strings.NewReader(in)).Decode(&b)
	return b, err
}

func TestDecodeTranscript(t *testing.T) {
	b, err := decode(t, "TICK 8412.25\nAT 3\n"+provision+"\n"+
		"ACCEPT 774f54295d3a91c4 8652.25 17 1.85 5 2ecc51910e6f2b19 acct/k 24.5 12.0 0.625 1 2\n"+
		"ACCEPT 774f54295d3a91c5 - 17 1.85 0 - - 24.5 - - - 0\n"+
		"TIMEOUT_FIRED 77 cpu_busy:0.62,runnable:3,news:9,sockets:120\n"+
		"RESULT 774f54295d3a91c4 GOOD 18.5\nCAME_BACK 774f54295d3a91c4 LATE 80.0\nAT_CALL 774f54295d3a91c4\n"+
		"NOTICE 11912.25\nAT 5\nWITHDRAWN 2ecc51910e6f2b19\nSTOP\nEOF_BATCH\n")
	if err != nil {
		t.Fatal(err)
	}
	s := b.Items[0].Start.Settings
	if b.Items[0].Start.Seed != 42 || s.Cores != 6 || s.Halt != whinrudder.StopPause || !s.WorthByWork ||
		s.MaxRetryAfter != 7 || !s.Classes[0].CallsDependency || s.Classes[0].Window != 9 {
		t.Errorf("got seed %d and settings %+v, want those of the PROVISION line", b.Items[0].Start.Seed, s)
	}
	const id, earlierID = whinrudder.RequestID("774f54295d3a91c4"), whinrudder.RequestID("2ecc51910e6f2b19")
	want := []whinrudder.Event{
		whinrudder.Arrival{ID: id, Due: 8652.25, Caller: 17, ReadDelay: 1.85, WorkKnown: true, Write: true, RepeatOf: earlierID,
			Key: "acct/k", MemoryKB: 24.5, Work: 12, Rank: 0.625, Tenant: 1, Class: 2},
		whinrudder.Arrival{ID: "774f54295d3a91c5", Caller: 17, ReadDelay: 1.85, MemoryKB: 24.5},
		whinrudder.Timer{Token: 77, Gauges: whinrudder.Gauges{CPU: 0.62, Runnable: 3, Conns: 120}},
		whinrudder.Ended{ID: id, Code: whinrudder.OK, Latency: 18.5},
		whinrudder.Called{ID: id, Code: whinrudder.Timeout, Latency: 80},
		whinrudder.AtCall{ID: id}, whinrudder.Notice{StopAt: 11912.25}, whinrudder.Gone{ID: earlierID},
	}
	for i, w := range want {
		if it := b.Items[i+1]; !reflect.DeepEqual(it.Event, w) {
			t.Errorf("event %d: got %+v, want %+v", i, it.Event, w)
		}
	}
	if n := len(b.Items); b.Now != 8412.25 || n != 10 || !b.Items[n-1].Stopped || b.Items[n-1].Instance != 5 {
		t.Errorf("got time %v and %d items, want 8412.25 and 10 with a stop of instance 5 at the end: %+v", b.Now, n, b)
	}
}

// Errors name the line and what is wrong with it. Only an empty input, or the end between two batches, gives io.EOF.
func TestMalformedInput(t *testing.T) {
	for in, want := range map[string]string{
		"TOCK 1\n":                                 "line 1: want TICK",
		"TICK x\n":                                 `line 1: TICK: bad number "x"`,
		"TICK NaN\n":                               "bad number",
		"TICK 1\nAT 1\nHELLO\nEOF_BATCH\n":         "line 3: HELLO: unknown message",
		"TICK 1\nSTOP\nEOF_BATCH\n":                "line 2: STOP before any AT",
		"TICK 1\nAT -1\nEOF_BATCH\n":               "bad instance",
		"TICK 1\nAT 1\nWITHDRAWN xyz\nEOF_BATCH\n": "bad request id",
		"TICK 1\nAT 1\nRESULT 774f54295d3a91c4 WELL 1\nEOF_BATCH\n": `unknown outcome "WELL"`,
		"TICK 1\nAT 1\nRESULT 774f54295d3a91c4 GOOD\nEOF_BATCH\n":   "too few values",
		"TICK 1\nAT 1\nNOTICE 5 6\nEOF_BATCH\n":                     "too many values",
		"TICK 1\nAT 1\nPROVISION 1 {\nEOF_BATCH\n":                  "line 3: PROVISION: settings",
		"TICK 1\nAT 1\n": "ends within a batch",
		"TICK 1":         "ends within a line",
		"TICK 1\nAT 1\nPROVISION 1 " + `{"specifics":{"halt":"maybe"}}` + "\nEOF_BATCH\n": "unknown halt",
	} {
		if _, err := decode(t, in); err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one with %q", in, err, want)
		}
	}
	if _, err := decode(t, ""); !errors.Is(err, io.EOF) {
		t.Errorf("empty input: got error %v, want io.EOF", err)
	}
}

func TestReplyTranscript(t *testing.T) {
	var r Reply
	r.AppendActions(3, []whinrudder.Action{whinrudder.Run{ID: "a"}, whinrudder.Stop{ID: "a"},
		whinrudder.Refuse{ID: "a", RetryAfter: 250, NoRetryElsewhere: true}, whinrudder.Fail{ID: "a"},
		whinrudder.Call{ID: "a", Timeout: 80}, whinrudder.Skip{ID: "a"}, whinrudder.Keep{ID: "a", TTL: 8000.0004},
		whinrudder.Forget{ID: "a"}, whinrudder.Reuse{ID: "a"}, whinrudder.Health{Cached: true},
		whinrudder.Advertise{Credit: 0.25}, whinrudder.CloseIdle{After: 2000}, whinrudder.Wake{At: 8912.25, Token: 77},
		whinrudder.Log{Text: "two\nlines"}})
	r.AppendActions(4, nil)
	r.AppendCrash(5, "index out of range")
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := "FROM 3\nLAUNCH a\nABORT_WORK a\nREFUSE a 250 1\nEND_FAILED a\nDIAL a 80\nBYPASS a\nMEMO a 8000\n" +
		"DROP_KEY a\nSHARE a\nSTATUS 1 0\nADVERTISE 0.25\nTRIM_AFTER 2000\nSLEEP 8912.25 77\nRECORD two lines\n" +
		"FROM 5\nCRASH index out of range\nEND\n"
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

// FuzzDecode checks for arbitrary input that Decode does not panic and that every item has an instance and a message.
func FuzzDecode(f *testing.F) {
	f.Add("TICK 1\nAT 3\n" + provision + "\nEOF_BATCH\n")
	f.Add("TICK 1\nAT 1\nTIMEOUT_FIRED 7 cpu_busy:1\nEOF_BATCH\n")
	f.Fuzz(func(t *testing.T, in string) {
		d := NewDecoder(strings.NewReader(in))
		var b Batch
		for d.Decode(&b) == nil {
			for _, it := range b.Items {
				if it.Instance < 0 || (it.Start == nil && !it.Stopped && it.Event == nil) {
					t.Fatalf("item without an instance or a message: %+v", it)
				}
			}
		}
	})
}
