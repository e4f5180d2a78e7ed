#!/bin/sh
# Lays the names that the platform's bench wants beside a site file: lay.sh DIR, the folder that holds them.
set -eu
cd "$(dirname "$0")"
for f in real.json wire.json unlock.txt; do
	cp "${1:?the folder that holds real.json, wire.json and unlock.txt}/$f" .
done
