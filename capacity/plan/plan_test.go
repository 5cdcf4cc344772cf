package plan

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/walk"
)

func TestAddresses(t *testing.T) {
	p := Default()
	seen := map[string]bool{}
	for i := range 5000 {
		ip := p.NodeIP(i)
		must.False(t, seen[ip])
		must.True(t, strings.HasPrefix(ip, "127."))
		seen[ip] = true
		must.Eq(t, i%p.Districts/(p.Districts/p.Regions), p.Region(ip))
	}
	sum := map[int]int{}
	for i := range p.Cores {
		ip := p.CoreIP(i)
		must.False(t, seen[ip])
		seen[ip] = true
		sum[p.Region(ip)]++
	}
	must.Eq(t, map[int]int{0: 3, 1: 2}, sum)
	for _, ip := range []string{"127.0.0.1", "10.64.0.1", "127.200.0.1", "x", "::1"} {
		must.Eq(t, -1, p.Region(ip))
	}
}

func TestManifestsAreGoodAndChange(t *testing.T) {
	p := Default()
	raw, err := json.Marshal(p.Manifest(0))
	must.NoError(t, err)
	tree, d := walk.Parse(raw)
	must.Nil(t, d)
	m, d := check.Read(tree)
	must.Nil(t, d)
	must.SliceLen(t, p.Ways, m.Ways)
	must.MapLen(t, p.Services, m.Services)
	must.NotEq(t, p.Change(1), p.Change(2))
	must.NotEq(t, p.Manifest(1), p.Manifest(2))
}

func TestTargets(t *testing.T) {
	for text, good := range map[string]bool{
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
		must.Eq(t, good, err == nil, must.Sprint(text))
	}
	p, err := Read(filepath.Join("..", "..", "samples", "capacity.json")) // what the how-to shows is the default
	must.NoError(t, err)
	must.Eq(t, Default(), p)
	_, err = Read(filepath.Join(t.TempDir(), "none"))
	must.Error(t, err)
}
