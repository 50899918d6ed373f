#!/usr/bin/env bash
# Runs the whole system on loopback: 3 control VMs, 6 entry VMs (3 regions, 2
# failure domains each), stand-in upstreams and platform. An operator's document
# is tried and promoted, callers are served, a key is revoked, a region is
# drained, and a summary is printed. Everything stops at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
dir=$(mktemp -d)
pids=()
cleanup() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

start() { # start NAME PROGRAM ARGS...
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
}
address() { # address NAME LISTENER: waits for the bound address in the log
  for _ in $(seq 200); do
    found=$(sed -n "s/.*\"address\":\"\([^\"]*\)\".*\"listener\":\"$2\".*/\1/p" "$dir/$1.log" 2>/dev/null | head -1)
    [ -n "$found" ] && { echo "$found"; return; }
    sleep 0.05
  done
  echo "demo: $1 did not start:" >&2
  cat "$dir/$1.log" >&2
  exit 1
}
step() { printf '\n== %s\n' "$*"; }

regions=(bogota medellin cali)
export PM_INSECURE=true PM_TOKEN=demo-operator-token
digest=$(printf %s "$PM_TOKEN" | sha256sum | cut -d' ' -f1)

step "platform and upstreams"
start platform "$bin/standin-platform"
platform=$(address platform http)
for region in "${regions[@]}"; do
  for service in records billing; do
    start "upstreams-$service-$region" "$bin/standin-upstream" --platform "$platform" --count 5 \
      --service "$service" --region "$region" --failure-domain "$region-1" --slots 6 --service-time 5ms
    address "upstreams-$service-$region" control >/dev/null
  done
done

step "control VMs"
peers=
for i in 0 1 2; do
  start "control-$i" "$bin/pm-control" --vm "control-$i" --region "${regions[$i]}" --failure-domain "${regions[$i]}-1" \
    --deployment bancas --data-dir "$dir/control-$i" --operator-tokens "demo:$digest" \
    --platform-trial "$platform" --platform-production "$platform" ${peers:+--peers "$peers"}
  rpc=$(address "control-$i" rpc)
  http=$(address "control-$i" http)
  peers=${peers:+$peers,}$rpc
  if [ "$i" = 0 ]; then
    export PM_CONTROL=$http
    "$bin/pmctl" init
  fi
done

step "entry VMs"
for i in 0 1 2; do
  for n in 1 2; do
    start "entry-$i-$n" "$bin/pm-entry" --vm "entry-$i-$n" --region "${regions[$i]}" \
      --failure-domain "${regions[$i]}-$n" --deployment bancas --environment production \
      --controls "$peers" --platform "$platform"
  done
done
entry=$(address entry-0-1 callers)
admin=$(address entry-0-1 admin)

step "document: trial, then production"
"$bin/pmctl" validate examples/bancas.yaml
"$bin/pmctl" apply examples/bancas.yaml
"$bin/pmctl" promote examples/bancas.yaml
for _ in $(seq 200); do
  serving=$("$bin/pmctl" --output json status | grep -c '"state": "serving"' || true)
  [ "$serving" = 6 ] && curl -sf "http://$entry/v1/lookup?service=records" >/dev/null && break
  sleep 0.1
done
"$bin/pmctl" status

step "callers"
cat >"$dir/customers.json" <<'JSON'
[{"name": "catedral-primada", "key": "demo-key-catedral-primada", "rate": 60},
 {"name": "san-ignacio", "key": "demo-key-san-ignacio", "rate": 40},
 {"name": "belen", "key": "demo-key-belen", "rate": 10}]
JSON
callers() { # callers DURATION: prints what callers saw
  "$bin/demo-caller" --entry "$entry" --service records --path /records --customers "$dir/customers.json" \
    --duration "$1" >"$dir/summary.json"
  value() { sed -n "s/^  \"$1\": \([0-9]*\).*/\1/p" "$dir/summary.json" | head -1; }
  object() { # object NAME: the fields of an object of the whole run, on one line
    sed -n "/^  \"$1\": {\$/,/^  }/p" "$dir/summary.json" | sed -n 's/^    "\(.*\)": \([0-9]*\.\{0,1\}[0-9]\{0,1\}\).*/\1 \2/p' | paste -sd' '
  }
  refused=$(object rejections)
  statuses=$(object statuses)
  printf 'requests %s, answered %s, statuses: %s; refused: %s; latency in ms: %s\n' \
    "$(value requests)" "$(value ok)" "$statuses" "${refused:-none}" "$(object latency_ms)"
}
callers 6s
echo "headroom by region, as the first entry VM sees it:"
curl -s "http://$admin/v1/steering" | tr '{' '\n' |
  sed -n 's/.*"service":"records","region":"\([a-z]*\)".*"headroom":\([0-9.]*\).*/  \1 \2/p'

step "a key is revoked"
other=$(printf other | sha256sum | cut -d' ' -f1)
sed -e 's/^number: 1$/number: 2/' -e "/name: belen\$/,\$ s/sha256: .*/sha256: $other/" examples/bancas.yaml >"$dir/2.yaml"
"$bin/pmctl" diff "$dir/2.yaml"
"$bin/pmctl" apply "$dir/2.yaml"
"$bin/pmctl" promote "$dir/2.yaml"
code=
for _ in $(seq 100); do
  code=$(curl -s -o "$dir/answer" -w '%{http_code}' -H 'X-Api-Key: demo-key-belen' "http://$entry/records/1")
  [ "$code" = 401 ] && break
  sleep 0.1
done
echo "revoked key: status $code, $(cat "$dir/answer")"
[ "$code" = 401 ]

step "a region is drained while callers go on"
"$bin/pmctl" drain --region cali --to "$dir/3.yaml"
"$bin/pmctl" apply "$dir/3.yaml"
"$bin/pmctl" promote "$dir/3.yaml"
sed -i '/belen/d; s/"rate": 40},/"rate": 40}]/' "$dir/customers.json"
(
  began=$(date +%s%N)
  for _ in $(seq 300); do
    # A share below 1% of a service counts as drained.
    curl -s "http://$admin/v1/steering" | tr '{' '\n' |
      sed -n 's/.*"region":"cali","share_before":.*"share_now":\([^,]*\),.*/\1/p' |
      awk '{n++; if ($1 >= 0.01) more = 1} END {exit !n || more}' && break
    sleep 0.1
  done
  echo "drain time as the first entry VM sees it: $((($(date +%s%N) - began) / 1000000)) ms"
) &
drain=$!
callers 10s
wait "$drain"

step "status at the end"
"$bin/pmctl" status
