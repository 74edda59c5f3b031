#!/usr/bin/env bash
# Plays the case and writes record.txt. Needs the build of the deploy file and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec target/review-2/cases cold "$folder"
