#!/bin/sh
# Started by a driver, in a process group of its own and with a pipe as input that the driver holds open. However the
# driver ends, this ends what it had started (listed in $CASE_TEMP/pids, and marked by $CASE_TEMP in its
# environment) and removes the temporary folder.
trap '' INT TERM HUP
cat >/dev/null
for _ in 1 2 3 4 5 6 7 8 9 10; do
    left=0
    for pid in $(cat "$CASE_TEMP/pids" 2>/dev/null); do
        tr '\0' '\n' <"/proc/$pid/environ" 2>/dev/null | grep -qxF "CASE_TEMP=$CASE_TEMP" || continue
        kill -KILL "$pid" 2>/dev/null && left=1
    done
    [ "$left" = 1 ] || break
    sleep 0.1
done
rm -rf "$CASE_TEMP"
