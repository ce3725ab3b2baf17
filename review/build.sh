#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin. The deploy file's build has to be run before.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standin ./review/standin
