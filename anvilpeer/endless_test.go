package anvilpeer_test

import (
	"net"
	"strings"
	"testing"

	"anvilbridge/anvilpeer"
	"anvilbridge/anvilstandin"
)

// TestEndlessBytesEndTheConnection guards against a client or a server that reads
// without limit if the process at the other end sends bytes without end.
func TestEndlessBytesEndTheConnection(t *testing.T) {
	// maxMessageBytes is the size limit of messages between nodes.
	const maxMessageBytes = 16 << 20
	buffers, err := anvilstandin.MaxSocketBufferBytes()
	if err != nil {
		t.Fatal(err)
	}
	for name, repeat := range map[string]string{
		"text":         strings.Repeat("x", 1<<10),
		"zeros":        strings.Repeat("\x00", 1<<10),
		"message data": "\x04\x01\x01\xff\x07" + strings.Repeat("x", 1023),
	} {
		t.Run("client, "+name, func(t *testing.T) {
			server, err := anvilstandin.NewEndlessServer("", repeat)
			if err != nil {
				t.Fatal(err)
			}
			defer server.Stop()
			client := anvilpeer.NewClient(anvilpeer.ClientConfig{})
			defer func() { _ = client.Close() }()
			if _, err := client.Published(t.Context(), server.Address(), anvilpeer.PublishedRequest{}); err == nil {
				t.Error("the reply was accepted")
			}
			if sent := server.SentBytes(); sent > maxMessageBytes+buffers {
				t.Errorf("%d MB were sent before the connection was closed", sent>>20)
			}
		})
		t.Run("server, "+name, func(t *testing.T) {
			p := (&testPeer{}).start(t, anvilpeer.Handlers{})
			conn, err := net.Dial("tcp", p.address.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			sent := int64(0)
			for err == nil && sent <= maxMessageBytes+buffers {
				var n int
				n, err = conn.Write([]byte(repeat))
				sent += int64(n)
			}
			if err == nil {
				t.Errorf("the connection accepted more than %d MB", sent>>20)
			}
		})
	}
}
