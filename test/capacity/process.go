package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ticksPerSecond is the rate of the clock ticks (USER_HZ) in which /proc reports
// processor time.
const ticksPerSecond = 100

// Positions of user and system time in /proc/PID/stat, counted from 0 after the
// command name.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// process is a child process of the measurement. address is the line that it
// printed at start: its address, or its addresses separated by spaces.
type process struct {
	cmd     *exec.Cmd
	address string
}

// startProcess starts this program with the arguments and reads its address.
func startProcess(args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	cmd := exec.Command(self, args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.WithStack(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &process{cmd: cmd, address: strings.TrimSpace(line)}, nil
}

// stop sends SIGTERM and waits until the process has exited.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Wait()
}

// usage is the resource use of a process.
type usage struct {
	// cpuTime is the sum of user and system time.
	cpuTime time.Duration
	// resident is the resident memory in bytes.
	resident int64
}

// usage reads the processor time used so far and the current resident memory from
// /proc.
func (p *process) usage() (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	text := string(stat)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	ticks := int64(0)
	for _, i := range []int{userTimeField, systemTimeField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return usage{}, errors.WithStack(err)
		}
		ticks += n
	}
	statm, err := os.ReadFile(filepath.Join(dir, "statm"))
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	return usage{
		cpuTime:  time.Duration(ticks) * time.Second / ticksPerSecond,
		resident: pages * int64(os.Getpagesize()),
	}, nil
}
