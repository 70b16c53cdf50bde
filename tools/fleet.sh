# Start stand-ins and 6 instances; sourced by demo.sh and playground.sh.
# Reads BIN, EXAMPLE and RUN; sets FIRST to the address of one instance.

PIDS=()
cleanup() {
    for pid in "${PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}
trap cleanup EXIT

rm -rf "$RUN"
mkdir -p "$RUN"
"$BIN/python" -m yuccarill.standins "$EXAMPLE" "$RUN" \
    >"$RUN/standins.log" 2>&1 &
PIDS+=($!)
for _ in $(seq 100); do
    [ -s "$RUN/platform.json" ] && break
    sleep 0.1
done

"$BIN/python" -m yuccarill.standins.demo prepare "$RUN"
while read -r name flags; do
    # shellcheck disable=SC2086  # flags are split into words
    "$BIN/yuccarilld" $flags >"$RUN/$name.log" 2>&1 &
    PIDS+=($!)
    echo "$!" >"$RUN/$name.pid"
done <"$RUN/instances.txt"
"$BIN/python" -m yuccarill.standins.demo wait "$RUN"
FIRST=$(cat "$RUN/first-address.txt")
