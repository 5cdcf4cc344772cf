package main

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A deployment file with the field names of earlier releases describes the same deployment as the
// sample, which bears the present ones.
func TestDeploymentFileWithOldFieldNames(t *testing.T) {
	old, fail := readDeployment("testdata/old-deployment.json")
	must.Nil(t, fail)
	current, fail := readDeployment("../../samples/what-if.json")
	must.Nil(t, fail)
	must.Eq(t, current, old)
	must.Eq(t, 2, old.Zones)
}
