#!/usr/bin/env bash
# An order on an evacuation waits in the socket of a control VM that is stopped (SIGSTOP), while its operator goes on to
# another one and sends a later order there. The stopped control VM must not carry it out when it continues.
# usage: frozen_order.sh PLUMSPOKED
set -uo pipefail
daemon=$1
folder=$(mktemp -d)
network=127.$((20 + $$ / 250 % 200)).$(($$ % 250))
pids=()

end()
{
    for pid in "${pids[@]}"; do kill -KILL "$pid"; done
    wait 2>/dev/null
    [ "$1" = 0 ] || cat "$folder"/log-*
    rm -rf "$folder"
    exit "$1"
}

start()
{
    local seeds
    seeds=$(printf '"%s:8080",' "$network".{1,2,3})
    for i in 1 2 3; do
        mkdir "$folder/data-$i"
        cat >"$folder/settings-$i" <<JSON
{"interface": "platform", "role": "control", "name": "control-$i", "availability_zone": "z", "ip": "$network.$i",
 "listen": "$network.$i:8080", "internal_port": 7000, "metrics_port": 7001, "control_seeds": [${seeds%,}],
 "data_folder": "$folder/data-$i", "found_group": true, "disks_lost_at_once": 1}
JSON
        "$daemon" --settings="$folder/settings-$i" >"$folder/log-$i" 2>&1 &
        pids+=($!)
    done
}

metric()
{
    curl -s --max-time 1 "http://$network.$1:7001/metrics" | sed -n "s/^$2 //p"
}

# order METHOD NUMBER: whether control VM NUMBER acknowledges it before the operator would go on
order()
{
    [ "$(curl -s -o "$folder/answer" -w '%{http_code}' --max-time 1 -X "$1" "http://$network.$2:8080/evacuate/z")" = 200 ]
}

order_until_acknowledged()
{
    for _ in $(seq 50); do
        order "$1" "$2" && return
        sleep 0.1
    done
    echo "$1 was not acknowledged"
    end 1
}

freeze()
{
    kill -STOP "$1"
    until ! grep -hv ') T ' /proc/"$1"/task/*/stat >/dev/null; do sleep 0.01; done
}

# play LAST OUTDATED EVACUATED CONNECTED: OUTDATED waits in the socket, LAST is acknowledged last. With CONNECTED the end of
# the operator's connection doesn't arrive.
play()
{
    local last=$1 outdated=$2 evacuated=$3 connected=$4 waiting=
    order_until_acknowledged "$last" "$other"
    freeze "${pids[$((frozen - 1))]}"
    if [ "$connected" = 1 ]; then
        exec {waiting}<>"/dev/tcp/$network.$frozen/8080"
        printf '%s /evacuate/z HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n' "$outdated" >&"$waiting"
        sleep 1
    else
        ! order "$outdated" "$frozen" || { echo "a stopped process has answered"; end 1; }
    fi
    order_until_acknowledged "$outdated" "$other"
    order_until_acknowledged "$last" "$other"
    sleep 0.5
    kill -CONT "${pids[$((frozen - 1))]}"
    sleep 1.5
    [ -z "$waiting" ] || exec {waiting}>&-
    if [ "$(metric "$leader" plumspoke_evacuated_zones)" != "$evacuated" ]; then
        echo "an outdated $outdated was carried out after $last was acknowledged (connected: $connected)"
        failed=1
    fi
}

start
failed=0
leader=
for _ in $(seq 100); do
    for i in 1 2 3; do
        [ "$(metric "$i" plumspoke_leading)" != 1 ] || leader=$i
    done
    [ -z "$leader" ] || break
    sleep 0.1
done
[ -n "$leader" ] || { echo "no leader"; end 1; }
frozen=$((leader % 3 + 1))
other=$((frozen % 3 + 1))
play POST DELETE 1 0
play DELETE POST 0 0
play POST DELETE 1 1
play DELETE POST 0 1
end "$failed"
