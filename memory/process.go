package memory

import (
	"math"
	"runtime/debug"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// gcShare is the share of the VM's memory above which the garbage collector spends more time to stay below it. The rest is
	// for what it does not count: the program, stacks that grow, and the kernel's buffers.
	gcShare = 0.75
	// requestShare is the share for the bodies of requests. Each may be held three times for a moment: as read, as encoded for an
	// endpoint, and as far as the kernel has not taken it.
	requestShare = 1.0 / 6
	// accountShare is the share for all that callers make the process hold, each byte counted once. The program itself, what the
	// garbage collector has not freed yet, and second copies take as much again.
	accountShare = 1.0 / 2
)

// OfMachine returns the VM's memory in bytes.
func OfMachine() (int64, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, errors.Wrap(err, "ask the system for its memory")
	}
	return int64(info.Totalram) * int64(info.Unit), nil
}

// Descriptors returns the number of file descriptors that the system allows the process.
func Descriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "ask the system for its limit of file descriptors")
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// LimitProcess makes the garbage collector keep the process below a share of the VM's memory, given in bytes.
func LimitProcess(machine int64) { debug.SetMemoryLimit(int64(gcShare * float64(machine))) }

// ForRequests returns the Budget for the bodies of requests of a VM with the given memory in bytes.
func ForRequests(machine int64) *Budget { return NewBudget(int64(requestShare * float64(machine))) }

// ForCallers returns the Account for what callers make the process hold on a VM with the given memory in bytes.
func ForCallers(machine int64) *Account { return NewAccount(int64(accountShare * float64(machine))) }
