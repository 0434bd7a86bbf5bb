#!/bin/sh
# Builds the programs of the cases 6 to 10, each with its stand-ins. Run it after the build of the deploy file, which
# leaves bin/cresspass.
set -eu
cd "$(dirname "$0")/.."
for dir in review/6 review/7 review/8 review/9 review/10; do
	if [ -d "$dir" ]; then
		go build -tags review -o "$dir/bin/case" "./$dir"
	fi
done
