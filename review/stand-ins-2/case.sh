# Plays one case; sourced by the run.sh of the case, which sets CASE. TROUBLE=0 leaves the disruption out.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
here="review/$NUMBER"
if [ ! -x target/review-2 ] || [ ! -x target/release/curlewusher ]; then
    echo "run cargo build --release and review/build-2.sh first" >&2
    exit 2
fi
WORK=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1}
export WORK TROUBLE
end_processes() {
    if [ -f "$WORK/processes" ]; then
        while read -r process; do
            kill -9 "$process" 2> /dev/null
        done < "$WORK/processes"
    fi
    rm -rf "$WORK"
}
trap end_processes EXIT
trap 'exit 2' INT TERM HUP
ulimit -n 4096 2> /dev/null
target/review-2 "$CASE" "$here/record.txt"
status=$?
case $status in 0 | 1) ;; *) status=2 ;; esac
exit $status
