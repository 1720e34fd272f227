package capacity

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// processUsage is the CPU time and the bytes read and written of one or more processes
// since their start, and their resident memory.
type processUsage struct {
	cpuSeconds    float64
	ioBytes       float64
	residentBytes float64
}

func readProcesses(agents []*exec.Cmd) (processUsage, error) {
	var total processUsage
	for _, agent := range agents {
		one, err := readProcess(agent.Process.Pid)
		if err != nil {
			return processUsage{}, err
		}
		total.cpuSeconds += one.cpuSeconds
		total.ioBytes += one.ioBytes
		total.residentBytes += one.residentBytes
	}
	return total, nil
}

// readProcess reads the usage of a process from /proc.
func readProcess(pid int) (processUsage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return processUsage{}, errors.Wrap(err, "read process")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userTicks, systemTicks, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return processUsage{}, errors.New("capacity: too few fields in /proc/<pid>/stat")
	}
	io, err := os.ReadFile(filepath.Join(dir, "io"))
	if err != nil {
		return processUsage{}, errors.Wrap(err, "read process")
	}
	return processUsage{
		cpuSeconds:    (parseNumber(fields[userTicks]) + parseNumber(fields[systemTicks])) / clockTicksPerSecond,
		residentBytes: parseNumber(fields[residentPages]) * bytesPerPage,
		ioBytes:       ioField(string(io), "rchar: ") + ioField(string(io), "wchar: "),
	}, nil
}

func parseNumber(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return value
}

func ioField(text, name string) float64 {
	for line := range strings.SplitSeq(text, "\n") {
		if value, ok := strings.CutPrefix(line, name); ok {
			return parseNumber(value)
		}
	}
	return 0
}
