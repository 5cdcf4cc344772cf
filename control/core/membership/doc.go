// Package membership holds the tests of changes of the core's members: whole nodes with
// disks, driven under virtual time, of which any further loss is looked at after each step.
// The mechanism is in control/core/node and control/membership.
package membership
