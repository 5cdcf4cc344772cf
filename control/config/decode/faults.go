package decode

import (
	"fmt"

	"cottonarch.example/cottonarch/base/failure"
)

// maxFaults bounds the faults that are listed for one document.
const maxFaults = 100

// Faults collects the faults of one document. Invariant: List holds the first maxFaults faults;
// Total is the number of all faults, including the faults that List does not hold.
type Faults struct {
	List  []failure.Fault
	Total int
	// AllowUnknown makes Object.RejectUnknown accept every field.
	AllowUnknown bool
}

// Add records a fault at a path. The fault's message is formatted as by fmt.Sprintf.
func (f *Faults) Add(path, format string, args ...any) {
	f.Total++
	if len(f.List) < maxFaults {
		f.List = append(f.List, failure.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

// Err returns the collected faults as one error of the given kind, or nil if there are no faults.
func (f *Faults) Err(kind failure.Kind) *failure.Error {
	if f.Total == 0 {
		return nil
	}
	err := failure.New(kind, "%d faults", f.Total)
	err.Faults = f.List
	return err
}
