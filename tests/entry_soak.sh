#!/usr/bin/env bash
# Runs an entry process that is stopped and started again while clients use it, once for each seed.
# usage: entry_soak.sh PLUMSPOKED PLUMSPOKE_ENTRY_SOAK FIRST_SEED SEEDS [FLAG ...]
set -uo pipefail
daemon=$1
soak=$2
first=$3
count=$4
shift 4
failed=0

play()
{
    local seed=$1 folder process entry= code
    shift
    folder=$(mktemp -d)
    "$soak" --folder="$folder" --seed="$seed" "$@" &
    process=$!
    until [ -e "$folder/settings.json" ] || ! kill -0 "$process" 2>/dev/null; do sleep 0.01; done
    while kill -0 "$process" 2>/dev/null && [ ! -e "$folder/done" ]; do
        "$daemon" --settings="$folder/settings.json" >>"$folder/log" 2>&1 &
        entry=$!
        echo "$entry" >"$folder/pid.new"
        mv "$folder/pid.new" "$folder/pid"
        wait "$entry"
    done
    wait "$process"
    code=$?
    [ -z "$entry" ] || kill -KILL "$entry" 2>/dev/null
    if [ "$code" != 0 ]; then
        echo "seed $seed failed; log of the entry:"
        grep -E '"(draining|stopped)"' "$folder/log" | tail -6
        [ -z "${KEEP_LOGS:-}" ] || cp "$folder/log" "$KEEP_LOGS/entry-$seed.log"
    fi
    rm -rf "$folder"
    return "$code"
}

for seed in $(seq "$first" $((first + count - 1))); do
    play "$seed" "$@" || failed=1
done
exit "$failed"
