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

// startNode starts a fake payout node, so that the examples run without a real one.
func startNode(handle func(w http.ResponseWriter, body string)) (addr string, stop func()) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		handle(w, string(body))
	}))
	return strings.TrimPrefix(server.URL, "http://"), server.Close
}

// A client books a payout. The full node refuses the request, which proves that it did not run, so the client retries
// it at another node.
func Example() {
	full, stop := startNode(func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusServiceUnavailable) })
	defer stop()
	good, stop := startNode(func(w http.ResponseWriter, body string) { fmt.Fprint(w, "booked ", body) })
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

// A booking whose connection breaks may have run. The client does not retry it; only the payout system's records show
// whether it ran.
func Example_outcomeUnknown() {
	breaking, stop := startNode(func(http.ResponseWriter, string) { panic(http.ErrAbortHandler) })
	defer stop()
	c, err := client.New(client.Options{Source: client.Fixed{breaking},
		Classes: []client.Class{{Name: "payout-book", Write: true}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()

	_, err = c.Do(context.Background(), client.Request{Class: "payout-book"})
	var callErr *client.Error
	if errors.Is(err, client.ErrUnknown) && errors.As(err, &callErr) {
		fmt.Println(callErr.Reason, "after", len(callErr.Tries), "try with outcome", callErr.Tries[0].Outcome)
	}
	// Output: unknown after 1 try with outcome broken
}

// The client can be the transport of an http.Client.
func ExampleClient_RoundTripper() {
	good, stop := startNode(func(w http.ResponseWriter, _ string) { fmt.Fprint(w, "3.31") })
	defer stop()
	c, err := client.New(client.Options{Source: client.Fixed{good}, Classes: []client.Class{{Name: "rate-quote"}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()

	httpClient := &http.Client{Transport: c.RoundTripper()}
	resp, err := httpClient.Post("http://payouts/rpc/rate-quote", "", strings.NewReader("EUR/TND"))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	fmt.Println(resp.StatusCode, string(body))
	// Output: 200 3.31
}
