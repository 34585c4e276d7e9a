package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"whinrudder/client"
)

// node is a stand-in for a payout node, so that the examples run anywhere.
func node(answer func(w http.ResponseWriter, body string)) (addr string, stop func()) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		answer(w, string(body))
	}))
	return strings.TrimPrefix(s.URL, "http://"), s.Close
}

// A client books a payout. The node that is full turns it away, with the promise that it did not run, so that another is asked.
func Example() {
	full, stop := node(func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusServiceUnavailable) })
	defer stop()
	good, stop := node(func(w http.ResponseWriter, body string) { fmt.Fprint(w, "booked ", body) })
	defer stop()

	c, err := client.New(client.Options{
		Source:  client.Fixed{full, good},
		Classes: []client.Class{{Name: "rate-quote"}, {Name: "payout-book", Write: true}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()

	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(10*time.Second))
	defer cancel()
	resp, err := c.Do(ctx, client.Request{Class: "payout-book", Subject: "account 7", Body: []byte("42.00 TND")})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%s\n", resp.Body)
	// Output: booked 42.00 TND
}

// A booking whose connection breaks may have run or not: nobody but the books can tell, and the client asks no other node.
func Example_outcomeUnknown() {
	breaks, stop := node(func(http.ResponseWriter, string) { panic(http.ErrAbortHandler) })
	defer stop()
	c, err := client.New(client.Options{Source: client.Fixed{breaks}, Classes: []client.Class{{Name: "payout-book", Write: true}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()

	_, err = c.Do(context.Background(), client.Request{Class: "payout-book"})
	var fault *client.Error
	if errors.Is(err, client.ErrUnknown) && errors.As(err, &fault) {
		fmt.Println(fault.Reason, "after", len(fault.Tries), "try, which", fault.Tries[0].Outcome)
	}
	// Output: unknown after 1 try, which broken
}

// Who has an http.Client already gives it the client as its transport.
func ExampleClient_RoundTripper() {
	good, stop := node(func(w http.ResponseWriter, _ string) { fmt.Fprint(w, "3.31") })
	defer stop()
	c, err := client.New(client.Options{Source: client.Fixed{good}, Classes: []client.Class{{Name: "rate-quote"}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()

	h := &http.Client{Transport: c.RoundTripper()}
	resp, err := h.Post("http://payouts/rpc/rate-quote", "", strings.NewReader("EUR/TND"))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	fmt.Println(resp.StatusCode, string(body))
	// Output: 200 3.31
}
