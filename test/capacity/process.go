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

// ticksPerSecond is the unit of processor time under /proc.
const ticksPerSecond = 100

// processorFields are the positions of user and system time in /proc/PID/stat,
// counted after the command's name.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// process is one child of the measurement.
type process struct {
	cmd     *exec.Cmd
	address string
}

// startProcess starts this program in a role and reads its address.
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

// stop ends the process.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Wait()
}

// usage is what a process has used.
type usage struct {
	// processor time, user and system.
	processor time.Duration
	// resident memory in bytes.
	resident int64
}

// usage reads the process's use so far.
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
		processor: time.Duration(ticks) * time.Second / ticksPerSecond,
		resident:  pages * int64(os.Getpagesize()),
	}, nil
}
