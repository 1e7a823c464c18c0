#!/bin/sh
# Runs the case $1 in the folder $2: exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. No process that the case has started is left behind.
set -u
cd "$(dirname "$0")/.." || exit 2
program=target/review/release/stand-ins
if ! [ -x "$program" ] || ! [ -x target/release/appleshore-platform ]; then
    echo "first run the build of deploy/system.toml and review/build.sh" >&2
    exit 2
fi
PIDS=$(mktemp) || exit 2
export PIDS
"$program" "$1" "$2" &
child=$!
trap 'kill "$child"' INT TERM
wait "$child"
code=$?
if [ "$code" -gt 2 ]; then
    # It could not end its daemons itself.
    kill "$child" 2>/dev/null
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$PIDS"
    code=2
fi
rm -f "$PIDS"
exit "$code"
