// Package membership contains the tests of membership changes. The tests run complete nodes with
// disks under virtual time, and check after each step that the cluster tolerates every further
// failure that it must tolerate. The implementation is in control/core/node and control/membership.
package membership
