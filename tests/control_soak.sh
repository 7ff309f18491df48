#!/usr/bin/env bash
# Runs a group of control VMs and an entry under faults while operators use them, once for each seed.
# usage: control_soak.sh PLUMSPOKED PLUMSPOKE_CONTROL_SOAK FIRST_SEED SEEDS [FLAG ...]
set -uo pipefail
daemon=$1
soak=$2
first=$3
count=$4
shift 4
failed=0

keep_running()
{
    local folder=$1 number=$2 process
    while [ ! -e "$folder/done" ]; do
        [ ! -e "$folder/wipe-$number" ] || rm -rf "$folder/data-$number" "$folder/wipe-$number"
        mkdir -p "$folder/data-$number"
        PLUMSPOKE_TEST_SUSPENDED_NS="$folder/clock-$number" "$daemon" --settings="$folder/settings-$number" >>"$folder/log-$number" 2>&1 &
        process=$!
        echo "$process" >"$folder/pid-$number.new"
        mv "$folder/pid-$number.new" "$folder/pid-$number"
        wait "$process" 2>/dev/null
        echo 0 >"$folder/pid-$number"
        sleep 0.1
    done
}

play()
{
    local seed=$1 folder process code settings
    shift
    folder=$(mktemp -d)
    "$soak" --folder="$folder" --seed="$seed" "$@" &
    process=$!
    until [ -e "$folder/ready" ] || ! kill -0 "$process" 2>/dev/null; do sleep 0.01; done
    for settings in "$folder"/settings-*; do
        keep_running "$folder" "${settings##*-}" &
    done
    wait "$process"
    code=$?
    touch "$folder/done"
    for settings in "$folder"/pid-*; do
        process=$(cat "$settings")
        [ "$process" = 0 ] || kill -KILL "$process" 2>/dev/null
    done
    wait
    if [ "$code" != 0 ]; then
        echo "seed $seed failed"
        [ -z "${KEEP_LOGS:-}" ] || cp -r "$folder" "$KEEP_LOGS/control-$seed"
    fi
    rm -rf "$folder"
    return "$code"
}

for seed in $(seq "$first" $((first + count - 1))); do
    play "$seed" "$@" || failed=1
done
exit "$failed"
