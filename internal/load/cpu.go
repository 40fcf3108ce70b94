package load

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor times under /proc.
const ticksPerSecond = 100

// CPUClock measures how busy the whole machine is.
type CPUClock struct {
	started time.Time
	busy    time.Duration
	known   bool
}

// StartCPUClock begins a measurement.
func StartCPUClock() *CPUClock {
	busy, err := machineBusy()
	return &CPUClock{started: time.Now(), busy: busy, known: err == nil}
}

// BusyCores returns the mean number of busy cores since the start, or a
// negative number if the machine doesn't tell.
func (c *CPUClock) BusyCores() float64 {
	busy, err := machineBusy()
	if !c.known || err != nil {
		return -1
	}
	return (busy - c.busy).Seconds() / time.Since(c.started).Seconds()
}

// Cores returns the number of cores.
func Cores() int {
	return runtime.NumCPU()
}

// machineBusy returns the processor time that all cores have spent.
func machineBusy() (time.Duration, error) {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, err
	}
	line, _, _ := strings.Cut(string(data), "\n")
	fields := strings.Fields(line)
	const (
		minFields = 8 // cpu user nice system idle iowait irq softirq
		idle      = 4
		iowait    = 5
	)
	if len(fields) < minFields {
		return 0, fmt.Errorf("/proc/stat has %d fields in its first line, want %d", len(fields), minFields)
	}
	var busy time.Duration
	for i := 1; i < minFields; i++ {
		if i == idle || i == iowait {
			continue
		}
		ticks, err := strconv.ParseUint(fields[i], 10, 63)
		if err != nil {
			return 0, err
		}
		busy += fromTicks(ticks)
	}
	return busy, nil
}

// ProcessTime returns the processor time that a process has spent.
func ProcessTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the command in parentheses, which may hold spaces.
	_, rest, found := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const (
		userTime   = 11
		systemTime = 12
	)
	if !found || len(fields) <= systemTime {
		return 0, fmt.Errorf("/proc/%d/stat has an unknown form", pid)
	}
	var total time.Duration
	for _, field := range []string{fields[userTime], fields[systemTime]} {
		ticks, err := strconv.ParseUint(field, 10, 63)
		if err != nil {
			return 0, err
		}
		total += fromTicks(ticks)
	}
	return total, nil
}

func fromTicks(ticks uint64) time.Duration {
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// ResidentBytes returns the resident memory of a process.
func ResidentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	const resident = 1
	if len(fields) <= resident {
		return 0, fmt.Errorf("/proc/%d/statm has an unknown form", pid)
	}
	pages, err := strconv.ParseInt(fields[resident], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
