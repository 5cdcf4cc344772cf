// Package membership holds the tests of membership changes: whole nodes with disks, driven under
// virtual time, are checked after each step for whether they tolerate any further failure that they
// must. The implementation is in control/core/node and control/membership.
package membership
