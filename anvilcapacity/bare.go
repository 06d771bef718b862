package anvilcapacity

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// bareCalls sends the requests of calls as bytes and reads replies as bytes.
func bareCalls(address netip.AddrPort, worker, count int) error {
	conn, err := net.DialTimeout("tcp", address.String(), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	reply := make([]byte, 16<<10)
	for i := range count {
		if _, err := conn.Write(bareRequest(leafCall(worker<<20|i), address)); err != nil {
			return err
		}
		// The reply is small and was written at once.
		if _, err := conn.Read(reply); err != nil {
			return err
		}
	}
	return nil
}

func bareRequest(c anvilmodel.Call, address netip.AddrPort) []byte {
	b := make([]byte, 0, 1024)
	b = fmt.Appendf(b, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", anvilwire.PathLeafCall, address, len(c.Body))
	for name, values := range anvilwire.CallHeader(&c) {
		b = fmt.Appendf(b, "%s: %s\r\n", name, values[0])
	}
	return append(append(b, "\r\n"...), c.Body...)
}

// bareServer answers each read with one reply.
type bareServer struct {
	listener net.Listener
	address  netip.AddrPort
	tasks    sync.WaitGroup
}

func startBareServer() (*bareServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &bareServer{
		listener: listener,
		address:  listener.Addr().(*net.TCPAddr).AddrPort(),
	}
	s.tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.tasks.Go(func() { answerBare(conn) })
		}
	})
	return s, nil
}

func answerBare(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reply := []byte("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n" + string(make([]byte, 400)))
	request := make([]byte, 16<<10)
	for {
		if _, err := conn.Read(request); err != nil {
			return
		}
		if _, err := conn.Write(reply); err != nil {
			return
		}
	}
}

func (s *bareServer) close() {
	_ = s.listener.Close()
	s.tasks.Wait()
}
