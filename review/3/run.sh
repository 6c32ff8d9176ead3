#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. review/build.sh builds what it starts beside the system.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/cases ] || exit 2
target/review/cases born "$here/record.txt" &
played=$!
# Whoever ends the script early ends what it has started as well.
trap 'kill -STOP $played; kill -9 $(cat /proc/$played/task/$played/children) $played; exit 2' INT TERM
wait $played
