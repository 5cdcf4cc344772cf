package plan

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/validation"
)

func TestAddressesAreUniqueAndInTheirRegion(t *testing.T) {
	target := Default()
	seen := map[string]bool{}
	for i := range 5000 {
		ip := target.NodeIP(i)
		must.False(t, seen[ip])
		must.True(t, strings.HasPrefix(ip, "127."))
		seen[ip] = true
		must.Eq(t, i%target.Zones/(target.Zones/target.Regions), target.Region(ip))
	}
	coresByRegion := map[int]int{}
	for i := range target.Cores {
		ip := target.CoreIP(i)
		must.False(t, seen[ip])
		seen[ip] = true
		coresByRegion[target.Region(ip)]++
	}
	must.Eq(t, map[int]int{0: 3, 1: 2}, coresByRegion)
	for _, ip := range []string{"127.0.0.1", "10.64.0.1", "127.200.0.1", "x", "::1"} {
		must.Eq(t, -1, target.Region(ip))
	}
}

func TestConfigsAreValidAndChange(t *testing.T) {
	target := Default()
	raw, err := json.Marshal(target.Config(0))
	must.NoError(t, err)
	tree, fault := decode.Parse(raw)
	must.Nil(t, fault)
	config, fault := validation.Strict(tree)
	must.Nil(t, fault)
	must.SliceLen(t, target.Routes, config.Routes)
	must.MapLen(t, target.Services, config.Services)
	must.NotEq(t, target.Patch(1), target.Patch(2))
	must.NotEq(t, target.Config(1), target.Config(2))
}

func TestReadValidatesTargets(t *testing.T) {
	for text, valid := range map[string]bool{
		`{}`:                            true,
		`{"nodes":90,"cores":3}`:        true,
		`{"budget":{"nodeMemory":1e6}}`: true,
		`{"cores":4}`:                   false,
		`{"ways":7}`:                    false,
		`{"districts":9}`:               false,
		`{"regions":0}`:                 false,
		`{"nodes":0}`:                   false,
		`{"unheard":1}`:                 false,
		`{`:                             false,
	} {
		file := filepath.Join(t.TempDir(), "t.json")
		must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := Read(file)
		must.Eq(t, valid, err == nil, must.Sprint(text))
	}
	target, err := Read(filepath.Join("..", "..", "samples", "capacity.json")) // the sample that the documentation shows equals the default
	must.NoError(t, err)
	must.Eq(t, Default(), target)
	_, err = Read(filepath.Join(t.TempDir(), "none"))
	must.Error(t, err)
}
