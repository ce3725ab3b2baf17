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

// Digest returns the value of the header Content-Digest (RFC 9530, sha-256) for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return digestPrefix + base64.StdEncoding.EncodeToString(sum[:]) + digestSuffix
}

// verifyDigest tells whether the header values contain the sha-256 digest of the body. Other algorithms are ignored.
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
