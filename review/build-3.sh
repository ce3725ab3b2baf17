#!/bin/sh
# Builds the stand-ins that the cases of REPORT-3.md start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/standin-3 ./review/standin-3
