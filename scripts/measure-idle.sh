#!/usr/bin/env bash
# Measures what an idle installation costs: processor time and memory of each
# daemon, without any caller. Usage: scripts/measure-idle.sh BIN SECONDS UPSTREAMS
# Prints one line for each daemon: name, processor time as a share of a core in
# percent, resident memory in KiB.
set -euo pipefail
bin=$1
seconds=$2
upstreams=$3
here=$(cd "$(dirname "$0")" && pwd)
dir=$(mktemp -d)
pids=()
names=()
cleanup() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

start() {
  names+=("$1")
  "${@:2}" >"$dir/$1.out" 2>"$dir/$1.log" &
  pids+=($!)
}
address() {
  for _ in $(seq 200); do
    found=$(sed -n "s/.*\"address\":\"\([^\"]*\)\".*\"listener\":\"$2\".*/\1/p" "$dir/$1.log" | head -1)
    [ -n "$found" ] && { echo "$found"; return; }
    sleep 0.05
  done
  cat "$dir/$1.log" >&2
  exit 1
}
# ticks PID: processor time used so far, in hundredths of a second.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

export PM_INSECURE=true PM_TOKEN=measure PM_LOG_LEVEL=warning
digest=$(printf %s "$PM_TOKEN" | sha256sum | cut -d' ' -f1)
PM_LOG_LEVEL=info start platform "$bin/standin-platform"
platform=$(address platform http)
PM_LOG_LEVEL=info start upstreams "$bin/standin-upstream" --platform "$platform" --count "$upstreams" --service records --region bogota --failure-domain bogota-1
address upstreams control >/dev/null
peers=
for i in 0 1 2; do
  PM_LOG_LEVEL=info start "control-$i" "$bin/pm-control" --vm "control-$i" --region bogota --failure-domain bogota-1 --deployment bancas \
    --data-dir "$dir/control-$i" --operator-tokens "op:$digest" --platform-trial "$platform" ${peers:+--peers "$peers"}
  rpc=$(address "control-$i" rpc)
  http=$(address "control-$i" http)
  peers=${peers:+$peers,}$rpc
  [ "$i" = 0 ] && { export PM_CONTROL=$http; "$bin/pmctl" init >/dev/null; }
done
for i in 0 1; do
  PM_LOG_LEVEL=info start "entry-$i" "$bin/pm-entry" --vm "entry-$i" --region bogota --failure-domain bogota-1 --deployment bancas \
    --environment trial --controls "$peers" --platform "$platform"
done
for _ in $(seq 50); do
  "$bin/pmctl" apply "$here/../examples/bancas.yaml" >/dev/null 2>&1 && break
  sleep 0.2
done
sleep 5
before=()
for i in "${!pids[@]}"; do before+=("$(ticks "${pids[$i]}")"); done
sleep "$seconds"
for i in "${!pids[@]}"; do
  used=$(($(ticks "${pids[$i]}") - before[i]))
  memory=$(awk '/VmRSS/ {print $2}' "/proc/${pids[$i]}/status")
  awk -v n="${names[$i]}" -v u="$used" -v s="$seconds" -v m="$memory" 'BEGIN {printf "%-10s %6.2f %% %8d KiB\n", n, u / s, m}'
done
