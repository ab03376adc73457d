#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out, SEED=N repeats a
# run's draws (not its times). What was sent, answered and run is in record.txt beside it.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
timeout -k 3 115 python3 -B case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
