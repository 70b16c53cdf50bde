#!/usr/bin/env bash
# Run stand-ins and 6 instances until interrupted, for trying out commands.
# usage: playground.sh [EXAMPLE]
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=${BIN:-.venv/bin}
EXAMPLE=${1:-examples/landesstelle.toml}
RUN=playground-run
trap 'exit 0' INT TERM
# shellcheck source=tools/fleet.sh
. tools/fleet.sh

"$BIN/yuccarill" --address "$FIRST" apply "$RUN/inventory.json" --base 0 \
    --author playground
echo "export YUCCARILL_ADDRESS=$FIRST" >"$RUN/env"
echo "In another shell, run: . $RUN/env (Ctrl-C here stops everything)."
wait
