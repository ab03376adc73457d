#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
[ -x target/release/grebespool ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec python3 -B review/3/case.py
