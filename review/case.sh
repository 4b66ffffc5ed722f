# Sourced by the cases' run.sh with the driver's name in DRIVER: runs it in a temporary folder. Whatever ends this shell
# or the driver, guard.sh ends what the driver started.
set -u
CASE_ROOT="$(cd "$(dirname "$0")/../.." && pwd)"
CASE_RECORD="$(cd "$(dirname "$0")" && pwd)/record.txt"
driver="$CASE_ROOT/target/review/release/$DRIVER"
# The command with which the deploy file starts the program.
CASE_RUN="$(sed -n 's/^run = "\(.*\)"$/\1/p' "$CASE_ROOT/deploy/balancer.toml")"
[ -x "$driver" ] || "$CASE_ROOT/review/build.sh" || exit 2
[ -x "$CASE_ROOT/target/release/marlgap" ] && [ -n "$CASE_RUN" ] || { echo "build the program first"; exit 2; }
CASE_TEMP="$(mktemp -d)" || exit 2
export CASE_ROOT CASE_RECORD CASE_RUN CASE_TEMP
child=
cleanup() {
    if [ -n "$child" ]; then
        kill -KILL "$child" 2>/dev/null
        wait "$child" 2>/dev/null
    fi
    # The guard removes the folder as the last thing it does.
    for _ in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
        [ -e "$CASE_TEMP/guarded" ] || break
        sleep 0.1
    done
    rm -rf "$CASE_TEMP"
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP
"$driver" &
child=$!
status=0
wait "$child" || status=$?
child=
case "$status" in 0 | 1) ;; *) echo "the case could not run (status $status)"; status=2 ;; esac
exit "$status"
