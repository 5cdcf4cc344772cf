package main

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A deployment file with the field names of earlier releases yields the same deployment as the sample
// file, which has the current field names.
func TestDeploymentFileWithOldFieldNames(t *testing.T) {
	old, fail := readDeployment("testdata/old-deployment.json")
	must.Nil(t, fail)
	current, fail := readDeployment("../../samples/what-if.json")
	must.Nil(t, fail)
	must.Eq(t, current, old)
	must.Eq(t, 2, old.Zones)
}
