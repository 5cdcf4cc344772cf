package operation

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
)

// Decode decodes the state and the arguments of an operation; either may be empty. It returns
// Corrupted if the state cannot be decoded, and Malformed if the arguments cannot be decoded.
func Decode(state, args json.RawMessage, stateInto, argsInto any) *failure.Error {
	if len(state) > 0 {
		if err := json.Unmarshal(state, stateInto); err != nil {
			return failure.New(failure.Corrupted, "state: %v", err)
		}
	}
	if len(args) > 0 {
		if err := json.Unmarshal(args, argsInto); err != nil {
			return failure.New(failure.Malformed, "%v", err)
		}
	}
	return nil
}

// DecodeAs is like Decode, but returns the state and the arguments as values of type S and A. An
// empty state or empty arguments give the zero value.
func DecodeAs[S, A any](rawState, rawArgs json.RawMessage) (state S, args A, err *failure.Error) {
	err = Decode(rawState, rawArgs, &state, &args)
	return state, args, err
}

// Encode returns the JSON encoding of a value whose type always encodes without error.
func Encode(v any) json.RawMessage {
	encoded, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return encoded
}
