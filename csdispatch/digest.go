package csdispatch

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

const (
	digestPrefix = "sha-256=:"
	digestSuffix = ":"
)

// Digest returns the Content-Digest header value (RFC 9530, sha-256) of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return digestPrefix + base64.StdEncoding.EncodeToString(sum[:]) + digestSuffix
}

// verifyDigest reports whether the Content-Digest header values contain the sha-256 digest of the body. Other algorithms
// are ignored.
func verifyDigest(values []string, body []byte) bool {
	wanted := Digest(body)
	for _, v := range values {
		for member := range strings.SplitSeq(v, ",") {
			if strings.TrimSpace(member) == wanted {
				return true
			}
		}
	}
	return false
}
