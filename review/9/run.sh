#!/bin/bash
# Runs this folder's case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$here/../.." && pwd)
program=$repository/target/review-second/release/review-second
if [ ! -x "$program" ] || [ ! -x "$repository/target/release/sardineseamd" ]; then
    echo "build the deploy file's programs and review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
end() {
    [ -n "$pid" ] && kill "$pid" 2>/dev/null
    [ -f "$folder/pids" ] && while read -r daemon; do kill -9 "$daemon" 2>/dev/null; done <"$folder/pids"
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM
"$program" cancel "$repository" "$folder" "$here/record.txt" &
pid=$!
wait "$pid"
code=$?
pid=
exit "$code"
