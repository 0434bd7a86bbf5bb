#!/bin/sh
# Plays case 8. Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/cresspass ] || [ ! -x review/8/bin/case ]; then
	echo "not built: run the build of deploy/balancer.toml, then review/build-2.sh"
	exit 2
fi
exec review/8/bin/case
