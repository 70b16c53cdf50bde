#!/usr/bin/env bash
# Run the main job on stand-ins: 6 instances, callers, a trainer, faults.
# usage: demo.sh [EXAMPLE]
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-.venv/bin}
EXAMPLE=${1:-examples/landesstelle.toml}
RUN=demo-run
# shellcheck source=tools/fleet.sh
. tools/fleet.sh

"$BIN/yuccarill" check "$RUN/inventory.json"
"$BIN/yuccarill" --address "$FIRST" apply "$RUN/inventory.json" --base 0 \
    --author demo
CODE=0
# The shell would tell on stderr of the child that was killed as intended.
{
    "$BIN/python" -m yuccarill.standins.demo run "$RUN" 2>&1 || CODE=$?
} 2>/dev/null

# A stopped instance is this shell's child, so only here is its exit code seen.
STOPPED=$(cat "$RUN/stopped.txt")
STOP_CODE=0
wait "$(cat "$RUN/$STOPPED.pid")" 2>/dev/null || STOP_CODE=$?
echo "The stopped instance ended with exit code $STOP_CODE."
[ "$STOP_CODE" -eq 0 ] || CODE=1
exit "$CODE"
