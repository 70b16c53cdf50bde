#!/usr/bin/env bash
# Run stand-ins and 6 instances until interrupted, to try commands on them.
# usage: playground.sh [EXAMPLE]
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-.venv/bin}
EXAMPLE=${1:-examples/landesstelle.toml}
RUN=playground-run
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
trap 'exit 0' INT TERM

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
"$BIN/yuccarill" --address "$FIRST" apply "$RUN/inventory.json" --base 0 \
    --author playground
echo "export YUCCARILL_ADDRESS=$FIRST" >"$RUN/env"
echo "In another shell: . $RUN/env (Ctrl-C here ends all)."
wait
