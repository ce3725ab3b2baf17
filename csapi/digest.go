package csapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"
)

const digestPrefix = "sha-256="

// Digest returns the value of the Content-Digest header of a body (RFC 9530).
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return digestPrefix + ":" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// CheckDigest compares a body with its Content-Digest header. supported is false where the header holds no sha-256
// digest.
func CheckDigest(header string, body []byte) (matches, supported bool) {
	for member := range strings.SplitSeq(header, ",") {
		member = strings.TrimSpace(member)
		if !strings.HasPrefix(member, digestPrefix) {
			continue
		}
		return subtle.ConstantTimeCompare([]byte(member), []byte(Digest(body))) == 1, true
	}
	return false, false
}
