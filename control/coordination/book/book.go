// Package book is the machine under every control key: it finds the handler of a
// deed by its kind and makes repeats harmless.
package book

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
)

// opsMax is how many past operations a key remembers.
const opsMax = 64

// Done is one past operation with its return.
type Done struct {
	Op   ident.Op        `json:"op"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Page is the value of every control key. Invariant: Ops holds only operations
// whose effect is in State.
type Page struct {
	State json.RawMessage `json:"state,omitempty"`
	Ops   []Done          `json:"ops,omitempty"`
}

// Entry is what a handler makes of a deed. Invariants: State is new if and only if
// it is not nil, and is JSON without spaces; Kept, when set, is the decoded form of the
// state that is then in force, which the next handler finds in its turn.
type Entry struct {
	State  json.RawMessage
	Body   json.RawMessage
	Defect *defect.Defect
	Kept   any
}

// open is a page with the decoded form of its state, as kept between turns. Invariant:
// neither it nor its Ops are changed once they are kept.
type open struct {
	page Page
	kept any
}

// Handler serves one kind of deed.
type Handler func(turn proposer.Context, state, args json.RawMessage) Entry

// Book is a table of handlers.
type Book map[string]Handler

// timed lists the deeds whose return says how long from now on something holds. A repeat
// of one is served anew: the old return would be counted from the repeat on.
var timed = map[string]bool{"lock/claim": true}

// blind lists the deeds that need nothing of the page but its revision: it may be large,
// and they come often.
var blind = map[string]bool{"manifest/epoch": true}

// known lists the deeds that tell a repeat by what they carry: no operation of theirs is
// remembered, and a repeat is served anew.
var known = map[string]bool{"group/put": true, "share/enter": true}

// Apply serves a deed.
func (b Book) Apply(turn proposer.Context, value json.RawMessage, deed proposer.Operation) proposer.Result {
	serve, ok := b[deed.Kind]
	if !ok {
		return proposer.Result{Defect: defect.New(defect.Malformed, "no deed %q", deed.Kind)}
	}
	if blind[deed.Kind] {
		e := serve(turn, nil, deed.Args)
		return proposer.Result{Body: e.Body, Defect: e.Defect, Decoded: turn.Decoded}
	}
	have, ok := turn.Decoded.(*open)
	if !ok {
		have = &open{}
		if len(value) > 0 {
			if err := json.Unmarshal(value, &have.page); err != nil {
				return proposer.Result{Defect: defect.New(defect.Damaged, "page: %v", err)}
			}
		}
	}
	page := have.page
	remember := deed.Op != "" && !deed.Repeatable && !timed[deed.Kind] && !known[deed.Kind]
	if remember {
		for _, past := range page.Ops {
			if past.Op == deed.Op {
				return proposer.Result{Body: past.Body, Decoded: have}
			}
		}
	}
	turn.Decoded = have.kept
	e := serve(turn, page.State, deed.Args)
	if e.Kept == nil && e.State == nil {
		e.Kept = have.kept
	}
	if e.Defect != nil || e.State == nil {
		return proposer.Result{Body: e.Body, Defect: e.Defect, Decoded: &open{have.page, e.Kept}}
	}
	page.State = e.State
	if remember {
		page.Ops = append(slices.Clip(page.Ops), Done{deed.Op, e.Body})
		if len(page.Ops) > opsMax {
			page.Ops = page.Ops[len(page.Ops)-opsMax:]
		}
	}
	out, err := page.encode()
	if err != nil {
		return proposer.Result{Defect: defect.New(defect.Malformed, "page: %v", err)}
	}
	return proposer.Result{Value: out, Changed: true, Body: e.Body, Decoded: &open{page, e.Kept}}
}

// encode is json.Marshal but for a page of state alone, which needs no second pass over a
// state that is JSON already.
func (p Page) encode() (json.RawMessage, error) {
	if len(p.Ops) > 0 {
		return json.Marshal(p)
	}
	out := make(json.RawMessage, 0, len(p.State)+12)
	return append(append(append(out, `{"state":`...), p.State...), '}'), nil
}

// State reads the state out of a value.
func State(value json.RawMessage) json.RawMessage {
	var page Page
	if len(value) == 0 || json.Unmarshal(value, &page) != nil {
		return nil
	}
	return page.State
}

// Read decodes state and args; a defect says which was wrong.
func Read(state, args json.RawMessage, s, a any) *defect.Defect {
	if len(state) > 0 {
		if err := json.Unmarshal(state, s); err != nil {
			return defect.New(defect.Damaged, "state: %v", err)
		}
	}
	if len(args) > 0 {
		if err := json.Unmarshal(args, a); err != nil {
			return defect.New(defect.Malformed, "%v", err)
		}
	}
	return nil
}

// JSON encodes what cannot fail to encode.
func JSON(v any) json.RawMessage {
	out, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return out
}

// Turned makes an entry of a defect.
func Turned(d *defect.Defect) Entry { return Entry{Defect: d} }
