package operation

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
)

// Decode decodes the state and the arguments of an operation; either may be empty. A state
// that cannot be decoded is Corrupted, arguments that cannot be decoded are Malformed.
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

// DecodeAs decodes the state and the arguments of an operation as values of their types, with the
// failures of Decode. What is empty has the zero value.
func DecodeAs[S, A any](rawState, rawArgs json.RawMessage) (state S, args A, err *failure.Error) {
	err = Decode(rawState, rawArgs, &state, &args)
	return state, args, err
}

// Encode encodes a value of a type that cannot fail to encode.
func Encode(v any) json.RawMessage {
	encoded, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return encoded
}
