#!/bin/sh
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../run.sh" pending "$folder"
