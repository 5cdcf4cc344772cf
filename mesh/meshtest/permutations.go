// Package meshtest holds what the tests of several packages of the mesh share.
package meshtest

import "slices"

// Permutations returns every order of the numbers below n.
func Permutations(n int) [][]int {
	if n == 0 {
		return [][]int{{}}
	}
	var all [][]int
	for _, shorter := range Permutations(n - 1) {
		for i := range n {
			all = append(all, slices.Insert(slices.Clone(shorter), i, n-1))
		}
	}
	return all
}
