#!/bin/sh
# Builds the programs of the cases, each with its stand-ins of engines, links, discovery and clients in it.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
	[ ! -d review/$n ] || go build -tags review -o review/bin/case$n ./review/$n
done
