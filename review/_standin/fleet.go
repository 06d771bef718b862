package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// metricsPort is the port in the command of the deploy file.
const metricsPort = 9464

// zones are the zones of the four machines of the small site.
var zones = []string{"scot-west", "scot-west", "scot-east", "scot-north"}

// ports are the ports of a machine; they are the same on all machines.
type ports struct {
	Front     int
	Ready     int
	Control   int
	Directory int
}

// machine is a machine with one gateway process.
type machine struct {
	name     string
	zone     string
	ip       string
	ports    ports
	settings string
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

func (m *machine) front() string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.ports.Front))
}

func (m *machine) directory() string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.ports.Directory))
}

func (m *machine) control() string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.ports.Control))
}

// fleet holds the gateways of a case.
type fleet struct {
	machines []*machine
	command  []string
	record   *record
	dir      string
}

// newFleet writes the settings of gateways, each on a loopback address of its own. Each
// machine reaches the store at the address that storeAddress returns.
func newFleet(r *record, count int, storeAddress func(machine int) string) (*fleet, error) {
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "anvilbridge-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		command: command,
		record:  r,
		dir:     dir,
	}
	ips, free, err := freeAddresses(count)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i, ip := range ips {
		m := &machine{
			name:  fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1),
			zone:  zones[i%len(zones)],
			ip:    ip,
			ports: free,
		}
		f.machines = append(f.machines, m)
		if i < 3 {
			seeds = append(seeds, m.control())
		}
	}
	settings := template.Must(template.New("settings").Parse(settingsTemplate))
	for i, m := range f.machines {
		m.settings = filepath.Join(dir, m.name+".yaml")
		var text strings.Builder
		if err := settings.Execute(&text, map[string]any{
			"Name":  m.name,
			"IP":    m.ip,
			"Zone":  m.zone,
			"Ports": m.ports,
			"Seeds": seeds,
			"Store": storeAddress(i),
		}); err != nil {
			return nil, err
		}
		if err := os.WriteFile(m.settings, []byte(text.String()), 0o600); err != nil {
			return nil, err
		}
		if m.log, err = os.Create(filepath.Join(dir, m.name+".log")); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// machineAt returns the machine with the front address.
func (f *fleet) machineAt(front string) *machine {
	for _, m := range f.machines {
		if m.front() == front {
			return m
		}
	}
	return nil
}

// deployCommand returns the command of the deploy file.
func deployCommand() ([]string, error) {
	file, err := os.Open("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, ok := strings.CutPrefix(strings.TrimSpace(lines.Text()), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no command")
}

// freeAddresses returns loopback addresses on which the same ports are free.
func freeAddresses(count int) ([]string, ports, error) {
	for range 100 {
		base := 15000 + rand.IntN(15000)
		p := ports{
			Front:     base,
			Ready:     base + 1,
			Control:   base + 2,
			Directory: base + 3,
		}
		block := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		var ips []string
		for i := range count {
			ip := block + strconv.Itoa(i+1)
			if allFree(ip, p.Front, p.Ready, p.Control, p.Directory, metricsPort) {
				ips = append(ips, ip)
			}
		}
		if len(ips) == count {
			return ips, p, nil
		}
	}
	return nil, ports{}, errors.New("no free ports")
}

func allFree(ip string, list ...int) bool {
	for _, port := range list {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// startedProcesses holds the processes that were started and have not ended.
var startedProcesses sync.Map

// endProcesses ends all processes that were started.
func endProcesses() {
	startedProcesses.Range(func(process, _ any) bool {
		_ = process.(*os.Process).Kill()
		return true
	})
}

// start starts the process of a machine.
func (f *fleet) start(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process = exec.Command(f.command[0], f.command[1:]...)
	m.process.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
		word("settings-variable") + "=" + m.settings,
	}
	m.process.Stdout, m.process.Stderr = m.log, m.log
	if err := m.process.Start(); err != nil {
		return err
	}
	process, exited := m.process, make(chan struct{})
	m.exited = exited
	startedProcesses.Store(process.Process, true)
	go func() {
		_ = process.Wait()
		startedProcesses.Delete(process.Process)
		close(exited)
	}()
	f.record.add("machine %s: process started at %s", m.name, m.front())
	return nil
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(m *machine, signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.record.add("machine %s: %s", m.name, signal)
	_ = m.process.Process.Signal(signal)
}

// startAll starts all machines and waits until they are ready.
func (f *fleet) startAll(timeout time.Duration) error {
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(timeout)
	for _, m := range f.machines {
		for !isReady(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("machine %s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.add("all machines are ready")
	return nil
}

func isReady(m *machine) bool {
	client := &http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	resp, err := client.Get("http://" + net.JoinHostPort(m.ip, strconv.Itoa(m.ports.Ready)) + word("path-ready"))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes that were started. The logs are kept if keep is set.
func (f *fleet) stop(keep bool) {
	for _, m := range f.machines {
		if m.process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
			_ = m.process.Process.Kill()
			<-m.exited
		}
		_ = m.log.Close()
	}
	if keep {
		f.record.add("logs of the machines: %s", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}
