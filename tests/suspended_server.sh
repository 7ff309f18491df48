#!/usr/bin/env bash
# Suspends an HTTP server (SIGSTOP) for longer than its idle timeout. Requests sent on its idle connections as soon as it
# continues are answered.
# usage: suspended_server.sh PLUMSPOKE_UNIT
set -uo pipefail
trap '' PIPE # a closed connection counts as unanswered
unit=$1
callers=8
out=$(mktemp)
coproc server { exec "$unit" "[suspended_server]" >"$out" 2>&1; }
process=$server_PID
until address=$(grep -oP '(?<=^serving )\S+' "$out"); do
    kill -0 "$process" 2>/dev/null || { cat "$out"; exit 1; }
    sleep 0.01
done

send()
{
    printf 'GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n' >&"$1"
}

# Reads one response without a body; fails if its status isn't 200.
receive()
{
    local line status
    IFS= read -r -t 8 -u "$1" status || return 1
    until [ "${line:-}" = $'\r' ]; do IFS= read -r -t 8 -u "$1" line || return 1; done
    [[ $status == 'HTTP/1.1 200'* ]]
}

fds=()
for _ in $(seq "$callers"); do
    exec {fd}<>"/dev/tcp/${address%:*}/${address#*:}"
    send "$fd"
    receive "$fd" || { echo "no answer to a first request"; exit 1; }
    fds+=("$fd")
done
sleep 0.5
kill -STOP "$process"
sleep 3
kill -CONT "$process"
sleep 0.05
unanswered=0
for fd in "${fds[@]}"; do
    { send "$fd" && receive "$fd"; } 2>/dev/null || unanswered=$((unanswered + 1))
    exec {fd}>&-
done
echo "$unanswered of $callers unanswered after the pause"
eval "exec ${server[1]}>&-"
wait "$process"
code=$?
[ "$code" = 0 ] || cat "$out"
rm -f "$out"
[ "$code" = 0 ] && [ "$unanswered" = 0 ]
