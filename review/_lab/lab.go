package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"text/template"
	"time"
)

//go:embed settings.txt
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// lab holds the processes and stand-ins of a run.
type lab struct {
	rec     *record
	trouble bool
	dir     string
	// octets are the second and third part of the loopback addresses of the run.
	octets   string
	store    *store
	gateways []*gateway
	leaves   []*leaf
	ids      idSource
}

func newLab(rec *record, trouble bool) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		rec:     rec,
		trouble: trouble,
		dir:     dir,
		octets:  fmt.Sprintf("%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)),
	}
	l.store, err = newStore(rec)
	return l, err
}

// close ends all processes of the run.
func (l *lab) close() {
	for _, g := range l.gateways {
		g.kill()
	}
	for _, f := range l.leaves {
		f.close()
	}
	l.store.close()
	_ = os.RemoveAll(l.dir)
}

// address returns a loopback address of the run.
func (l *lab) address(host int) string {
	return fmt.Sprintf("127.%s.%d", l.octets, host)
}

// gateway is a process of the deploy file on a machine of its own.
type gateway struct {
	Name, IP, Zone                   string
	Front, Ready, Control, Directory int
	Memory, Descriptors              int
	Seeds                            []string
	Store                            string
	rec                              *record
	settings, logs                   string
	process                          *exec.Cmd
	ended                            chan struct{}
}

func (g *gateway) frontAddress() string { return fmt.Sprintf("%s:%d", g.IP, g.Front) }

func (g *gateway) directoryAddress() string { return fmt.Sprintf("%s:%d", g.IP, g.Directory) }

func (g *gateway) readyAddress() string { return fmt.Sprintf("%s:%d", g.IP, g.Ready) }

// machine describes a machine for a gateway.
type machine struct {
	zone        string
	memory      int
	descriptors int
}

// smallSite holds the machines of a small site.
var smallSite = []machine{
	{zone: "nord", memory: 414, descriptors: 6150},
	{zone: "nord", memory: 414, descriptors: 6150},
	{zone: "sued", memory: 544, descriptors: 8200},
	{zone: "ost", memory: 284, descriptors: 4100},
}

// freePorts returns ports on which nothing listens on any address.
func freePorts(count int) ([]int, error) {
	ports := make([]int, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startGateways starts a gateway on each machine.
func (l *lab) startGateways(machines []machine) error {
	const portsPerGateway = 4
	ports, err := freePorts(portsPerGateway)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(len(machines), 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", l.address(i+1), ports[2]))
	}
	for i, m := range machines {
		g := &gateway{
			Name:        fmt.Sprintf("front-%s-%d", m.zone, i+1),
			IP:          l.address(i + 1),
			Zone:        m.zone,
			Front:       ports[0],
			Ready:       ports[1],
			Control:     ports[2],
			Directory:   ports[3],
			Memory:      m.memory,
			Descriptors: m.descriptors,
			Seeds:       seeds,
			Store:       l.store.address(),
			rec:         l.rec,
			settings:    filepath.Join(l.dir, fmt.Sprintf("boot-%d.yaml", i+1)),
			logs:        filepath.Join(l.dir, fmt.Sprintf("log-%d.txt", i+1)),
		}
		if keep := os.Getenv("LAB_LOGS"); keep != "" {
			g.logs = filepath.Join(keep, fmt.Sprintf("log-%d.txt", i+1))
		}
		l.gateways = append(l.gateways, g)
	}
	for _, g := range l.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	file, err := os.Create(g.settings)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := settingsTemplate.Execute(file, g); err != nil {
		return err
	}
	logs, err := os.OpenFile(g.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	command := exec.Command("target/anvilbridge", "gateway", "--metrics-port", "9464")
	command.Env = append(os.Environ(), word("boot")+"="+g.settings)
	command.Stdout = logs
	command.Stderr = logs
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		err := command.Wait()
		g.rec.add("gateway %s ended: %v", g.Name, err)
		close(ended)
	}()
	g.process, g.ended = command, ended
	g.rec.add("gateway %s started", g.Name)
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	if g.process != nil {
		g.rec.add("gateway %s gets %v", g.Name, s)
		_ = g.process.Process.Signal(s)
	}
}

func (g *gateway) kill() {
	if g.process == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.ended
	g.process = nil
}

// running reports whether the process has not ended.
func (g *gateway) running() bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// ready reports whether the readiness check succeeds.
func (g *gateway) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.readyAddress()+word("ready-path"), http.NoBody)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var (
	errNotReady = errors.New("a gateway is not ready after 20 s")
	errEnded    = errors.New("a gateway that was not killed has ended")
	errNoSample = errors.New("no request reached what the case is about")
)

// awaitReady waits until all gateways are ready.
func (l *lab) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, g := range l.gateways {
		for !g.ready() {
			if time.Now().After(deadline) {
				logs, _ := os.ReadFile(g.logs)
				lines := strings.Split(string(logs), "\n")
				l.rec.add("log of %s: %s", g.Name, strings.Join(lines[max(0, len(lines)-10):], " | "))
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
