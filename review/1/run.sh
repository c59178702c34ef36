#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd) || exit 2
PIDS=$(mktemp) || exit 2
export ROOT PIDS
# Ends what is left: the case, if this script was told to end, and each node process that the case noted in $PIDS.
end() {
    [ -z "$running" ] || kill -KILL "$running" 2>/dev/null
    while read -r id; do
        if grep -q curlewusher "/proc/$id/cmdline" 2>/dev/null; then kill -KILL "$id" 2>/dev/null; fi
    done < "$PIDS"
    rm -rf "$PIDS" "${TMPDIR:-/tmp}/review-1-$started"
}
trap 'end; exit 2' HUP INT TERM
../target/case1 "$PWD" &
started=$!
running=$started
wait "$started"
status=$?
running=
end
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
