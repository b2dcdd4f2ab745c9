#!/usr/bin/env bash
# Moves a route to a new service and drops the old one while requests wait for it.
#
# Needs the builds of deploy/system.toml and review/build.sh. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run; TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec target/review/kit dropped-service review/3
