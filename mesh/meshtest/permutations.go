// Package meshtest holds helpers that are shared by the tests of several mesh packages.
package meshtest

import "slices"

// Permutations returns all permutations of the numbers from 0 to n-1.
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
