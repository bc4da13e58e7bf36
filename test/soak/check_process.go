package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readyBound is the time within which a process must answer its readiness check, with whatever
	// status.
	readyBound = 3 * time.Second
	// readyPause is the time between two such checks.
	readyPause = 250 * time.Millisecond
	// graceMargin is the time after the grace period at which the platform kills a process.
	graceMargin = 200 * time.Millisecond
	// memoryFactor and memoryAllowance bound the memory of a process at the end by that at its start.
	memoryFactor    = 2
	memoryAllowance = 48 << 20
)

// processRecord has what is known of the processes, by VM.
type processRecord struct {
	// disturbed are the VMs whose process is paused, killed or stopped, and undisturbedAt is when
	// that ended.
	disturbed     map[string]bool
	undisturbedAt map[string]time.Time
	// memory is that of the first process of each VM when it had become ready, in bytes.
	memory map[string]int64
}

func newProcessRecord() processRecord {
	return processRecord{make(map[string]bool), make(map[string]time.Time), make(map[string]int64)}
}

// disturbProcess records that the process of a VM is paused, killed or stopped.
func (c *checkers) disturbProcess(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes.disturbed[vm] = true
}

// processGoesOn records that the process of a VM goes on, or that another one was started.
func (c *checkers) processGoesOn(vm string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.processes.disturbed, vm)
	c.processes.undisturbedAt[vm] = at
}

// askedReadiness records whether a process has answered a readiness check that was sent at a time.
func (c *checkers) askedReadiness(vm string, sent time.Time, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.processes.disturbed[vm] || sent.Before(c.processes.undisturbedAt[vm].Add(settleTime)) {
		return
	}
	c.checked[responsive]++
	if !answered {
		c.violate(responsive, "%s did not answer its readiness check", vm)
	}
}

// stopEnded records whether a process has ended within its grace period.
func (c *checkers) stopEnded(vm string, inTime bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked[stopInTime]++
	if !inTime {
		c.violate(stopInTime, "%s was killed at the end of its grace period", vm)
	}
}

// startedWith records the memory of a VM's first process.
func (c *checkers) startedWith(vm string, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes.memory[vm] = bytes
}

// endedWith checks the memory of a VM's process after the faults.
func (c *checkers) endedWith(vm string, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked[memoryKept]++
	if most := memoryFactor*c.processes.memory[vm] + memoryAllowance; bytes > most {
		c.violate(memoryKept, "%s has %d MB, it began with %d MB", vm, bytes>>20, c.processes.memory[vm]>>20)
	}
}

// runReadiness asks the VM for its readiness until the context ends.
func (w *world) runReadiness(ctx context.Context, v *vm) {
	for ctx.Err() == nil {
		sent := time.Now()
		answered := v.answersReadiness(ctx)
		if ctx.Err() == nil {
			w.checks.askedReadiness(v.name, sent, answered)
		}
		sleep(ctx, readyPause)
	}
}

func (v *vm) answersReadiness(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// stop stops the process as planned, and kills it at the end of the grace period, as the platform
// does.
func (w *world) stop(v *vm) {
	exited := v.exit()
	v.signal(syscall.SIGTERM)
	timer := time.NewTimer(grace + graceMargin)
	defer timer.Stop()
	select {
	case <-exited:
		w.checks.stopEnded(v.name, true)
	case <-timer.C:
		w.checks.stopEnded(v.name, false)
		v.signal(syscall.SIGKILL)
	}
}

// exit returns what is closed when the VM's present process has ended.
func (v *vm) exit() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exited
}

// recordMemory passes the memory of each VM's process to a checker. Where the system does not tell it,
// nothing is checked.
func (w *world) recordMemory(record func(vm string, bytes int64)) {
	for _, v := range w.vms {
		if bytes, known := v.memory(); known {
			record(v.name, bytes)
		}
	}
}

// memory returns the resident memory of the VM's process in bytes.
func (v *vm) memory() (int64, bool) {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, false
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, false
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err == nil
}
