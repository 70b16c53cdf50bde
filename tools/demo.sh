#!/usr/bin/env bash
# Run the main job on stand-ins: 6 instances, callers, a trainer, faults.
# usage: demo.sh [EXAMPLE]
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-.venv/bin}
EXAMPLE=${1:-examples/landesstelle.toml}
RUN=demo-run
rm -rf "$RUN"
mkdir -p "$RUN"

PIDS=()
cleanup() {
    for pid in "${PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}
trap cleanup EXIT

"$BIN/python" -m yuccarill.standins "$EXAMPLE" "$RUN" \
    >"$RUN/standins.log" 2>&1 &
PIDS+=($!)
for _ in $(seq 100); do
    [ -s "$RUN/platform.json" ] && break
    sleep 0.1
done

"$BIN/python" -m yuccarill.standins.demo prepare "$RUN"
while read -r name flags; do
    # shellcheck disable=SC2086  # the flags are words by design
    "$BIN/yuccarilld" $flags >"$RUN/$name.log" 2>&1 &
    PIDS+=($!)
    echo "$!" >"$RUN/$name.pid"
done <"$RUN/instances.txt"

"$BIN/python" -m yuccarill.standins.demo wait "$RUN"
FIRST=$(cat "$RUN/first-address.txt")
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
