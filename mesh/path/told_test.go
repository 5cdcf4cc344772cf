package path

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/mesh/loadreport"
)

// What a gate tells reaches the picker with every kind of end; one that its bay turned away
// goes elsewhere as one that must, and the endpoint is not suspect for it, only busy.
func TestWhatIsToldComesBack(t *testing.T) {
	p, c := ready(), &Call{Host: "h", Path: "/x", Method: "POST"}
	must.Nil(t, p.Way(start, c, 0))
	first := p.Next(start, c)
	must.False(t, first.Must)
	must.Eq(t, 0, first.Work)
	must.True(t, p.Ended(start, c, End{Verdict: NotRun, Turned: true, Shed: true, Told: &loadreport.Report{Running: 7, Waiting: 20, Slots: 6, RelativeTime: 1}}))
	next := p.Next(start, c)
	must.True(t, next.Must)
	must.NotEq(t, first.Entry.UID, next.Entry.UID)
	must.False(t, p.Ended(start, c, End{Verdict: Ran, Took: 80 * time.Millisecond, Size: 100, Told: &loadreport.Report{Running: 1, Slots: 6, RelativeTime: 1}}))
	for range 50 {
		e, _ := p.Picker.ChooseFor(start, "w", p.Index.Workloads("a"), nil)
		must.NotEq(t, first.Entry.UID, e.UID)
	}
	// Were it suspect, it would not be chosen now.
	p.Picker.Heard(start, first.Entry.UID, loadreport.Report{Slots: 6, RelativeTime: 0.1})
	e, _ := p.Picker.ChooseFor(start, "w", p.Index.Workloads("a"), nil)
	must.Eq(t, first.Entry.UID, e.UID)
	must.Eq(t, 80*time.Millisecond, p.Picker.Work("w"))
}
