package settings

import (
	"os"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/decode"
)

// Flags are the settings that the command line may give; a flag overrides the file.
type Flags struct {
	Address       string   `help:"Own address towards the mesh, ip:port, as others reach it."`
	Listen        string   `help:"Where to listen for it, when that differs from the address."`
	ClientAddress string   `name:"client-address" aliases:"caller" help:"Sidecar only: address that clients use, ip:port."`
	Node          string   `help:"Sidecar only: name of the node; its address if not given."`
	Zone          string   `name:"zone" aliases:"district" help:"Failure zone of this machine."`
	Seeds         []string `help:"Addresses of up to three other processes, ip:port."`
	Founders      []string `help:"Core only: addresses of all cores that form the first membership; the seeds and this core if not given and this core is among the seeds."`
	Data          string   `help:"Core only: the one data folder."`
}

// Load reads the settings file, if one is named, and lays the flags over it.
func (f Flags) Load(file string) (map[string]any, *failure.Error) {
	values, fail := readFile(file)
	if fail != nil {
		return nil, fail
	}
	for key, value := range map[string]string{
		keyAddress:       f.Address,
		keyListen:        f.Listen,
		keyClientAddress: f.ClientAddress,
		keyNode:          f.Node,
		keyZone:          f.Zone,
		keyData:          f.Data,
	} {
		if value != "" {
			override(values, key, value)
		}
	}
	for key, list := range map[string][]string{keySeeds: f.Seeds, keyFounders: f.Founders} {
		if len(list) > 0 {
			override(values, key, anyList(list))
		}
	}
	return values, nil
}

// readFile parses a settings file; without a file there are no values.
func readFile(file string) (map[string]any, *failure.Error) {
	if file == "" {
		return map[string]any{}, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, failure.New(failure.BadSettings, "%v", err)
	}
	values, fail := decode.Parse(raw)
	if fail != nil {
		fail.Kind, fail.Message = failure.BadSettings, file+": "+fail.Message
		return nil, fail
	}
	return values, nil
}

// override sets a key, whatever name the file gives it under.
func override(values map[string]any, key string, value any) {
	values[key] = value
	if old, renamed := deprecatedNames[key]; renamed {
		delete(values, old)
	}
}

func anyList(list []string) []any {
	out := make([]any, len(list))
	for i, text := range list {
		out[i] = text
	}
	return out
}
