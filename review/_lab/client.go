package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// directory is the answer of a gateway to a client that asks where to connect, shared by the
// clients of a lab.
type directory struct {
	gateways []*gateway

	mu        sync.Mutex
	addresses []string
	expiresAt time.Time
}

// lookUp returns the addresses of gateways. It keeps an answer for as long as it says, and
// longer if it gets no new one.
func (d *directory) lookUp() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.expiresAt) {
		return d.addresses
	}
	for _, g := range d.gateways {
		if addresses, lifetime, ok := resolve(g); ok {
			d.addresses, d.expiresAt = addresses, time.Now().Add(lifetime)
			break
		}
	}
	return d.addresses
}

func resolve(g *gateway) (addresses []string, lifetime time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.directoryAddress()+word("resolve-path")+"?name="+host+"&region=land&zone=nord", http.NoBody)
	if err != nil {
		return nil, 0, false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addrs []string
		//nolint:revive // The name on the wire has an underscore.
		TTL_s float64
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Addrs) == 0 {
		return nil, 0, false
	}
	return answer.Addrs, time.Duration(answer.TTL_s * float64(time.Second)), true
}

// user is a client that keeps one connection open and sends one request at a time.
type user struct {
	lab       *lab
	directory *directory
	conn      net.Conn
	reader    *bufio.Reader
	address   string
	// failed are the addresses that have failed this user lately.
	failed []string
}

// sent is a request of a client and what became of it.
type sent struct {
	id       string
	address  string
	at       time.Time
	deadline time.Duration
	// answeredAfter is the time until the whole answer was there; 0 if there was none.
	answeredAfter time.Duration
	// closedAt is when the client closed the connection because there was no answer.
	closedAt time.Time
	status   int
	err      error
}

const connectTimeout = time.Second

// connect opens a connection to one of the addresses at random, without those that failed.
func (u *user) connect() error {
	addresses := u.directory.lookUp()
	usable := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(u.failed, a) })
	if len(usable) == 0 {
		u.failed = nil
		usable = addresses
	}
	if len(usable) == 0 {
		return fmt.Errorf("no address")
	}
	u.address = usable[rand.IntN(len(usable))]
	conn, err := net.DialTimeout("tcp", u.address, connectTimeout)
	if err != nil {
		u.failed = append(u.failed, u.address)
		return err
	}
	u.conn, u.reader = conn, bufio.NewReader(conn)
	return nil
}

func (u *user) disconnect() {
	if u.conn != nil {
		_ = u.conn.Close()
		u.conn = nil
	}
}

// ask sends a request and waits for the answer until its deadline. It opens a connection if
// there is none, or if the gateway has closed it or is no longer listed.
func (u *user) ask(method, path, body string, deadline time.Duration) sent {
	s := sent{
		id:       u.lab.ids.next(),
		deadline: deadline,
	}
	if u.conn != nil && (!slices.Contains(u.directory.lookUp(), u.address) || u.closedByPeer()) {
		u.disconnect()
	}
	for range 3 {
		if u.conn != nil {
			break
		}
		if s.err = u.connect(); s.err != nil {
			u.lab.rec.add("client: no connection to %s: %v", u.address, s.err)
		}
	}
	s.address, s.at = u.address, time.Now()
	if u.conn == nil {
		return s
	}
	_ = u.conn.SetDeadline(s.at.Add(deadline))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", method, path, host, s.id, word("deadline"), deadline.Milliseconds(), len(body), body)
	u.lab.rec.add("client: %s %s %s to %s", s.id, method, path, s.address)
	if _, s.err = io.WriteString(u.conn, text); s.err == nil {
		s.err = u.read(&s, method)
	}
	if s.err != nil {
		u.lab.rec.add("client: %s failed after %.3f s: %v", s.id, time.Since(s.at).Seconds(), s.err)
		u.disconnect()
		s.closedAt = time.Now()
		return s
	}
	s.answeredAfter = time.Since(s.at)
	u.lab.rec.add("client: %s got %d after %.3f s", s.id, s.status, s.answeredAfter.Seconds())
	return s
}

func (u *user) read(s *sent, method string) error {
	response, err := http.ReadResponse(u.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return err
	}
	s.status = response.StatusCode
	if response.Close || strings.EqualFold(response.Header.Get("Connection"), "close") {
		u.disconnect()
	}
	return nil
}

// closedByPeer reports whether the gateway has closed the idle connection.
func (u *user) closedByPeer() bool {
	_ = u.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := u.reader.Peek(1)
	netErr, ok := err.(net.Error)
	return !ok || !netErr.Timeout()
}
