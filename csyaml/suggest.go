package csyaml

import (
	"strings"
)

// maxDistance is the largest number of edits between a misspelt name and its suggestion.
const maxDistance = 2

// Suggest returns the candidate closest to a misspelt name, or "" where none is close.
func Suggest(name string, candidates []string) string {
	best := ""
	least := maxDistance + 1
	for _, c := range candidates {
		if n := distance(strings.ToLower(name), c); n < least && n < len(name) {
			best = c
			least = n
		}
	}
	return best
}

// distance returns the Levenshtein distance of two names.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
