package platformdaemon

import (
	"math"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/memory"
)

// machineMemory returns the memory of the VM in bytes: that of the settings, or what the system says. If neither says how much there
// is, it returns false.
func (b *builder) machineMemory() (int64, bool) {
	if set := b.settings.Limits.MemoryBytes(); set > 0 {
		return set, true
	}
	machine, err := memory.OfMachine()
	if err != nil {
		b.log.Log(event.MemoryUnknown, "error", err)
		return 0, false
	}
	return machine, true
}

// requestMemory limits the process to the memory of the VM, and returns the part of it for the bodies of requests, and the account for
// all that callers make it hold. If the memory is not known, nothing is limited.
func (b *builder) requestMemory() (*memory.Budget, *memory.Account) {
	machine, known := b.machineMemory()
	if !known {
		return memory.NewBudget(math.MaxInt64), memory.NewUnlimitedAccount()
	}
	memory.LimitProcess(machine)
	return memory.ForRequests(machine), memory.ForCallers(machine)
}

// descriptors returns the number of file descriptors that may be open at the same time: the lower one of the settings and what the
// system allows, or 0 if neither says.
func (b *builder) descriptors() int {
	allowed, err := memory.Descriptors()
	if set := b.settings.Limits.Descriptors; set > 0 && (err != nil || set < allowed) {
		return set
	}
	return allowed
}
