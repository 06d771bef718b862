package anvilplatform_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilplatform"
	"anvilbridge/anvilstandin"
	"anvilbridge/anvilwire"
)

// TestMain guards against goroutines and connections that outlive a client.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testTimeout = time.Hour

func startPlatform(t *testing.T, c anvilplatform.Config) (*anvilstandin.ConfigService, *anvilstandin.VMList, *anvilplatform.Client) {
	t.Helper()
	config, err := anvilstandin.NewConfigService()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(config.Stop)
	list, err := anvilstandin.NewVMList()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Stop)
	c.ConfigAddress = config.Address()
	c.ListAddress = list.Address()
	client := anvilplatform.New(c)
	t.Cleanup(client.Shutdown)
	return config, list, client
}

// TestReadConfig guards against documents that are changed by encoding and decoding, and
// against a client that accepts an older version than it has.
func TestReadConfig(t *testing.T) {
	config, _, client := startPlatform(t, anvilplatform.Config{})
	config.SetDocument("sfax", []byte("b: 2\n"))
	config.SetDocuments(anvilwire.Document{Name: "base", Content: []byte("a: \"é\"\n")})
	want := anvilplatform.ConfigReply{
		Version: 2,
		Documents: []anvilwire.Document{
			{Name: "base", Content: []byte("a: \"é\"\n")},
			{Name: "sfax", Content: []byte("b: 2\n")},
		},
	}
	got, err := client.ReadConfig(t.Context(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("documents (-want +got):\n%s", diff)
	}
	if err := config.ServeVersion(1); err != nil {
		t.Fatal(err)
	}
	if got, err = client.ReadConfig(t.Context(), 2, time.Millisecond); err != nil || !got.NotModified {
		t.Errorf("read of a stale service: got %+v, %v", got, err)
	}
	config.ServeLatest()
	if got, err = client.ReadConfig(t.Context(), 1, 0); err != nil || got.Version != 2 {
		t.Errorf("read of the latest version: got %+v, %v", got, err)
	}
}

// TestWatchCountsAsOneRead guards against a watch that polls, which would exceed the
// rate limit of the configuration service.
func TestWatchCountsAsOneRead(t *testing.T) {
	config, _, client := startPlatform(t, anvilplatform.Config{})
	done := make(chan anvilplatform.ConfigReply)
	go func() {
		read, err := client.ReadConfig(t.Context(), 0, testTimeout)
		if err != nil {
			t.Error(err)
		}
		done <- read
	}()
	for config.WaitingReads() == 0 {
		time.Sleep(time.Millisecond)
	}
	config.SetDocument("base", []byte("a"))
	if read := <-done; read.Version != 1 || len(read.Documents) != 1 {
		t.Errorf("got %+v", read)
	}
	if n := config.Reads(); n != 1 {
		t.Errorf("the watch counted as %d reads", n)
	}
}

// TestListVMs guards against a VM list that is decoded wrongly, and against a read that
// blocks while the platform serves an outdated list.
func TestListVMs(t *testing.T) {
	_, list, client := startPlatform(t, anvilplatform.Config{})
	vm := anvilmodel.ListedVM{
		Name:          "entry-1",
		CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"),
		PeerAddress:   netip.MustParseAddrPort("127.0.0.1:2"),
		FailureDomain: "a",
		Leaving:       true,
	}
	list.Set(vm)
	list.SetFrozen(true)
	list.Set()
	got, err := client.ListVMs(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]anvilmodel.ListedVM{vm}, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("outdated list (-want +got):\n%s", diff)
	}
	list.SetFrozen(false)
	if got, err = client.ListVMs(t.Context()); err != nil || len(got) != 0 {
		t.Errorf("updated list: got %v, %v", got, err)
	}
}

// TestFailuresAreTyped guards against errors of the wrong type for a platform that fails,
// is slow or unreachable, or sends too much.
func TestFailuresAreTyped(t *testing.T) {
	config, list, client := startPlatform(t, anvilplatform.Config{
		Timeout:          testTimeout,
		MaxDocumentBytes: 10,
		MaxDocuments:     1,
		MaxListBytes:     10,
	})
	shortTimeout := anvilplatform.New(anvilplatform.Config{
		ConfigAddress: config.Address(),
		Timeout:       time.Millisecond,
	})
	defer shortTimeout.Shutdown()
	read := func(client *anvilplatform.Client, want *errorx.Type) {
		t.Helper()
		if _, err := client.ReadConfig(t.Context(), 0, 0); !errorx.IsOfType(err, want) {
			t.Errorf("read configuration: got %v, want %s", err, want)
		}
	}
	config.SetDocument("base", []byte(strings.Repeat("x", 11)))
	read(client, anvilplatform.TooLarge)
	config.SetDocument("base", []byte(strings.Repeat("x", 100<<10)))
	read(client, anvilplatform.TooLarge)
	config.SetErrorStatus(http.StatusServiceUnavailable)
	read(client, anvilplatform.BadStatus)
	config.SetDelay(testTimeout)
	read(shortTimeout, anvilplatform.TimedOut)
	config.Stop()
	read(client, anvilplatform.Unreachable)
	if _, err := client.ListVMs(t.Context()); !errorx.IsOfType(err, anvilplatform.TooLarge) {
		t.Errorf("read a list above the limit: got %v", err)
	}
	list.SetErrorStatus(http.StatusTeapot)
	if _, err := client.ListVMs(t.Context()); !errorx.IsOfType(err, anvilplatform.BadStatus) {
		t.Errorf("read a failing list: got %v", err)
	}
	malformedServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{`)) }))
	defer malformedServer.Close()
	address := netip.MustParseAddrPort(malformedServer.Listener.Addr().String())
	malformed := anvilplatform.New(anvilplatform.Config{ConfigAddress: address, ListAddress: address})
	defer malformed.Shutdown()
	if _, err := malformed.ReadConfig(t.Context(), 0, 0); !errorx.IsOfType(err, anvilplatform.Malformed) {
		t.Errorf("read malformed configuration: got %v", err)
	}
	if _, err := malformed.ListVMs(t.Context()); !errorx.IsOfType(err, anvilplatform.Malformed) {
		t.Errorf("read malformed list: got %v", err)
	}
}

// TestEndlessReplyIsRefused guards against a reader that reads without limit if a faulty
// server sends a reply without end.
func TestEndlessReplyIsRefused(t *testing.T) {
	const limit = 1 << 20
	buffers, err := anvilstandin.MaxSocketBufferBytes()
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ first, repeat string }{
		"header lines":      {"HTTP/1.1 200 OK\r\n", "Some-Header: with a value\r\n"},
		"one header line":   {"HTTP/1.1 200 OK\r\nSome-Header: ", strings.Repeat("x", 1<<10)},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		"body":              {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := anvilstandin.NewEndlessServer(c.first, c.repeat)
			if err != nil {
				t.Fatal(err)
			}
			defer server.Stop()
			dialer := net.Dialer{}
			reader := anvilplatform.NewReader(dialer.DialContext)
			defer reader.Close()
			_, err = reader.Get(t.Context(), anvilplatform.Request{
				Address: server.Address(),
				Path:    "/x",
				Timeout: testTimeout,
				Limit:   limit,
			})
			if err == nil {
				t.Error("the reply was accepted")
			}
			if sent := server.SentBytes(); sent > limit+buffers {
				t.Errorf("%d MB were sent before the connection was closed, want at most %d", sent>>20, (limit+buffers)>>20)
			}
		})
	}
}
