#!/usr/bin/env bash
# Run a demo on stand-ins: 6 instances, callers, a trainer and faults.
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
# Hides the message of the shell about a child that the demo kills.
{
    "$BIN/python" -m yuccarill.standins.demo run "$RUN" 2>&1 || CODE=$?
} 2>/dev/null

# Only this shell, its parent, can read the stopped instance's exit code.
STOPPED=$(cat "$RUN/stopped.txt")
STOP_CODE=0
wait "$(cat "$RUN/$STOPPED.pid")" 2>/dev/null || STOP_CODE=$?
echo "The stopped instance ended with exit code $STOP_CODE."
[ "$STOP_CODE" -eq 0 ] || CODE=1
exit "$CODE"
