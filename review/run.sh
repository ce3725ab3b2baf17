#!/bin/sh
# Plays one case: run.sh CASE FOLDER TROUBLE, where a TROUBLE of 0 leaves the trouble out. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
root="$(cd "$(dirname "$0")/.." && pwd)"
if [ ! -x "$root/target/cowslipstream" ] || [ ! -x "$root/review/bin/standin" ]; then
	echo "build the deploy file and run review/build.sh first" >&2
	exit 2
fi
cd "$root" || exit 2
exec review/bin/standin "$1" target/cowslipstream "$2/record.txt" "${3:-1}"
