package settings

import (
	"testing"

	"github.com/shoenig/test/must"
)

// loadFile returns the values of a settings file.
func loadFile(t *testing.T, file string) map[string]any {
	values, fail := Flags{}.Load(file)
	must.Nil(t, fail, must.Sprint(file))
	return values
}

// Settings files with deprecated keys of earlier releases give the same settings as the samples,
// which use the current keys, and each deprecated key is reported.
func TestDeprecatedSamplesAreRead(t *testing.T) {
	core, fail := ReadCore(loadFile(t, "testdata/old/core.json"))
	must.Nil(t, fail)
	must.Eq(t, []DeprecatedKey{{Old: "district", New: keyZone}}, core.DeprecatedKeys)
	core.DeprecatedKeys = nil
	currentCore, fail := ReadCore(loadFile(t, "../samples/prairie/core1.json"))
	must.Nil(t, fail)
	must.Eq(t, currentCore, core)

	sidecar, fail := ReadSidecar(loadFile(t, "testdata/old/sidecar.json"))
	must.Nil(t, fail)
	must.SliceContainsAll(t, []DeprecatedKey{
		{Old: "caller", New: keyClientAddress},
		{Old: "district", New: keyZone},
	}, sidecar.DeprecatedKeys)
	sidecar.DeprecatedKeys = nil
	currentSidecar, fail := ReadSidecar(loadFile(t, "../samples/volta/sidecar1.json"))
	must.Nil(t, fail)
	must.Eq(t, currentSidecar, sidecar)
}
