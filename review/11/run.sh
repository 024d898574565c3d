#!/usr/bin/env bash
# Plays this case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=target/review-third/release/review-third
if [ ! -x "$program" ] || [ ! -x target/release/sardineseamd ]; then
    echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
    exit 2
fi
folder="$(mktemp -d)" || exit 2
"$program" forgotten-history "$here/record.txt" "$folder"
status=$?
rm -rf "$folder"
exit "$status"
