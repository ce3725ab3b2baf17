package csyaml

import (
	"fmt"
	"regexp"
	"strings"
)

// namePattern keeps names usable in URL paths, headers, file names and logs without quoting.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// CheckName adds a fault where a name is missing or not valid, and tells whether it is valid.
func CheckName[N ~string](fs *Faults, path string, name N) bool {
	if name == "" {
		field := path[strings.LastIndexByte(path, '.')+1:]
		fs.Add(Missing, path, field+" is missing", "add "+field)
		return false
	}
	if !namePattern.MatchString(string(name)) {
		fs.Add(Range, path, fmt.Sprintf("%q is not a valid name", string(name)),
			"use up to 63 lower-case letters, digits, dots, hyphens and underscores; start and end with a letter or digit")
		return false
	}
	return true
}
