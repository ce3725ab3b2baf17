#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/. The deploy file's build makes the programs that they start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/standin-2 ./review/standin-2
