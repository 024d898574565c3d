#!/bin/bash
# run-case.sh CASE RECORD: runs one script of the review from the repository's root, in a temporary folder, and ends every
# process that it started. Used by the run.sh of each case.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
record=$2
cd "$root" || exit 2
program=review/target/release/review-script
if [ ! -x "$program" ] || [ ! -x target/release/sardineseamd ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
end_all() {
    if [ -n "${script_pid:-}" ]; then kill -KILL "$script_pid" 2>/dev/null; fi
    # The daemons that the script started.
    if [ -f "$temporary/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$temporary/pids"
    fi
    if [ -n "${KEEP_LOGS:-}" ]; then cp "$temporary"/*.log "$KEEP_LOGS" 2>/dev/null; fi
    rm -rf "$temporary"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
"$program" "$1" "$temporary" "$record" &
script_pid=$!
wait "$script_pid"
status=$?
script_pid=
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
