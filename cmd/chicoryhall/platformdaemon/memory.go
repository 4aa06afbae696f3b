package platformdaemon

import (
	"math"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/memory"
)

// requestMemory limits the process to the memory of the VM, and returns the part of it for the bodies of requests. If the system
// does not say how much there is, nothing is limited.
func (b *builder) requestMemory() *memory.Budget {
	machine, err := memory.OfMachine()
	if err != nil {
		b.log.Log(event.MemoryUnknown, "error", err)
		return memory.NewBudget(math.MaxInt64)
	}
	memory.LimitProcess(machine)
	return memory.ForRequests(machine)
}
