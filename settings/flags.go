package settings

import (
	"os"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/decode"
)

// Flags are the settings that can be given on the command line; a flag overrides the settings file.
type Flags struct {
	Address       string   `help:"Address at which other processes of the mesh reach this process, ip:port."`
	Listen        string   `help:"Address to listen at, ip:port, if it differs from --address."`
	ClientAddress string   `name:"client-address" aliases:"caller" help:"Sidecar only: address at which clients reach the sidecar, ip:port."`
	Node          string   `help:"Sidecar only: name of the node; defaults to the address."`
	Zone          string   `name:"zone" aliases:"district" help:"Failure zone of this machine."`
	Seeds         []string `help:"Addresses of up to three other processes of the mesh, ip:port."`
	Founders      []string `help:"Core only: addresses of all cores that form the first membership; defaults to the seeds if this core is one of the seeds."`
	Data          string   `help:"Core only: path of the data folder."`
}

// Load reads the settings file, if file is not empty, and overrides the settings with the flags.
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
			override(values, key, toAnySlice(list))
		}
	}
	return values, nil
}

// readFile parses a settings file; the values are empty if file is empty.
func readFile(file string) (map[string]any, *failure.Error) {
	if file == "" {
		return map[string]any{}, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, failure.New(failure.BadSettings, "%v", err)
	}
	values, fail := decode.Parse(content)
	if fail != nil {
		fail.Kind, fail.Message = failure.BadSettings, file+": "+fail.Message
		return nil, fail
	}
	return values, nil
}

// override sets a key and removes the value that the file gives under the key's deprecated name.
func override(values map[string]any, key string, value any) {
	values[key] = value
	if old, renamed := deprecatedNames[key]; renamed {
		delete(values, old)
	}
}

func toAnySlice(list []string) []any {
	out := make([]any, len(list))
	for i, text := range list {
		out[i] = text
	}
	return out
}
