#!/bin/sh
# Builds the stand-ins and the plays of the cases into review/bin. The project itself is built by the command of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]; do
	CGO_ENABLED=0 go build -o review/bin/ "./$folder"
done
