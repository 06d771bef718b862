package anvilupstream_test

import (
	"strings"
	"testing"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
	"anvilbridge/anvilupstream"
)

// Guards against a node that keeps the bytes that a faulty leaf sends without end in place of a
// reply, until it runs out of memory and the requests of all callers end with it.
func TestEndlessReplyBreaksTheCall(t *testing.T) {
	const maxReplyBytes = 1 << 20
	buffers, err := anvilstandin.MaxSocketBufferBytes()
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ first, repeat string }{
		"header lines":      {"HTTP/1.1 200 OK\r\n", "Some-Header: with a value\r\n"},
		"one header line":   {"HTTP/1.1 200 OK\r\nSome-Header: ", strings.Repeat("x", 1<<10)},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		"body":              {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1<<10)},
		"chunked body":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := anvilstandin.NewEndlessServer(c.first, c.repeat)
			if err != nil {
				t.Fatal(err)
			}
			defer server.Stop()
			client := startClient(t, anvilupstream.Config{
				MaxReplyBytes: maxReplyBytes,
			})
			out := client.Call(t.Context(), server.Address(), 1, newCall(1, longEnough))
			if out.Reply.Result != anvilmodel.CallBroken {
				t.Errorf("result %v of the call, want %v", out.Reply.Result, anvilmodel.CallBroken)
			}
			if _, err := client.ReadState(t.Context(), server.Address()); err == nil {
				t.Error("the reply to a request for the state was accepted")
			}
			if sent := server.SentBytes(); sent > 2*(maxReplyBytes+buffers) {
				t.Errorf("%d MB were sent before the connections were closed, want at most %d", sent>>20, 2*(maxReplyBytes+buffers)>>20)
			}
		})
	}
}
