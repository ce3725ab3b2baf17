// Package csproof holds the integration tests: entry nodes as separate processes behind a fault-injecting proxy, with
// targets and callers in the test process. It has no code outside its tests.
package csproof
