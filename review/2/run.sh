#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the trouble out.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../run.sh" schedules "$folder" "${TROUBLE:-1}"
