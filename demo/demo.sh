#!/usr/bin/env bash
# Starts two entry processes, stand-ins and sidecars on loopback addresses, sends requests, prints the answers and stops all
# processes gracefully. With --stay it sends nothing and runs the processes until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
work=$(mktemp -d)
stay=${1:-}
base=${FULMARDOOR_DEMO_PORT:-19000}
pids=()
names=()

say() { printf '\n== %s\n' "$*"; }

fail() {
  printf 'demo failed: %s\n' "$*" >&2
  tail -n 5 "$work"/*.log >&2 || true
  exit 1
}

# start NAME COMMAND... runs a command in the background and writes its output to NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

# stop_group PREFIX sends SIGTERM to the processes whose names start with PREFIX and checks that they exit with status 0.
stop_group() {
  local i
  for i in "${!names[@]}"; do
    if [[ ${names[$i]} == $1* ]]; then kill -TERM "${pids[$i]}" 2>/dev/null || true; fi
  done
  for i in "${!names[@]}"; do
    if [[ ${names[$i]} == $1* ]]; then
      wait "${pids[$i]}" || fail "${names[$i]} did not stop gracefully"
    fi
  done
}

cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

wait_for() {
  local url=$1 i
  for i in $(seq 100); do
    if curl -fsS -o /dev/null "$url" 2>/dev/null; then return; fi
    sleep 0.1
  done
  fail "no answer from $url"
}

platform=127.0.0.1:$base
key=$("$bin/fulmardoorctl" key generate | awk '$1=="key"{print $2}')
key_hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
token=demo-operator
token_hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
centres=(Kariakoo Msasani Ubungo Temeke)
upstreams=""

# upstream NAME POOL ROLE INDEX starts a sidecar and adds the upstream to the document.
upstream() {
  local name=$1 pool=$2 role=$3 index=$4
  local peer=127.0.0.1:$((base + 200 + index)) url=http://127.0.0.1:$((base + 100 + index))
  cat >"$work/$name.ini" <<INI
[process]
name = sidecar-$name
host = host-$name
data_centre = ${centres[$((index % 4))]}
[peers]
listen = $peer
[platform]
store_url = http://$platform
[upstream]
name = $name
url = $url
pool = $pool
role = $role
places = $([ "$role" = prefill ] && echo 2 || echo 20)
[admin]
listen = 127.0.0.1:$((base + 300 + index))
INI
  start "sidecar-$name" "$bin/fulmardoor-sidecar" run --config "$work/$name.ini"
  upstreams+="[upstream \"$name\"]
address = $peer
pool = $pool
role = $role

"
}

say "starting stand-ins and sidecars"
start platform "$bin/standin-platform" --listen "$platform"
speeds=(1 0.8 1.2 1 0.6)
for i in 0 1; do
  start "engine-prefill-$i" "$bin/standin-engine" --listen "127.0.0.1:$((base + 100 + i))" --name "prefill-$i" \
    --role prefill --prefill-slots 2 --speed-factor "${speeds[$i]}"
  upstream "prefill-$i" drafter prefill "$i"
done
for i in 2 3 4; do
  start "engine-decode-$i" "$bin/standin-engine" --listen "127.0.0.1:$((base + 100 + i))" --name "decode-$i" \
    --role decode --speed-factor "${speeds[$i]}"
  upstream "decode-$i" drafter decode "$i"
done
for i in 5 6; do
  start "service-ledger-$i" "$bin/standin-service" --listen "127.0.0.1:$((base + 100 + i))"
  upstream "ledger-$i" ledger service "$i"
done

say "starting two entry processes"
for i in 0 1; do
  cat >"$work/entry-$i.ini" <<INI
[process]
name = entry-$i
host = host-entry-$i
data_centre = ${centres[$i]}
[peers]
listen = 127.0.0.1:$((base + 20 + i))
[platform]
store_url = http://$platform
host_list_url = http://$platform/hosts
[callers]
listen = 127.0.0.1:$((base + 10 + i))
entries = 127.0.0.1:$((base + 20)),127.0.0.1:$((base + 21))
drain_delay = 1s
[admin]
listen = 127.0.0.1:$((base + 30 + i))
operators = demo:$token_hash:*
INI
  "$bin/fulmardoor-entry" check-config --config "$work/entry-$i.ini" >/dev/null || fail "invalid settings of entry-$i"
  start "entry-$i" "$bin/fulmardoor-entry" run --config "$work/entry-$i.ini"
done
export FULMARDOOR_ADMIN=http://127.0.0.1:$((base + 30)) FULMARDOOR_TOKEN=$token FULMARDOOR_KEY=$key
for i in 0 1; do wait_for "http://127.0.0.1:$((base + 30 + i))/healthz"; done

say "applying the document of team kilimo"
while IFS= read -r line; do
  case $line in
    *@KEY_SHA256@*) printf '%s\n' "${line/@KEY_SHA256@/$key_hash}" ;;
    *@UPSTREAMS@*) printf '%s' "$upstreams" ;;
    *) printf '%s\n' "$line" ;;
  esac
done <demo/kilimo.ini >"$work/kilimo-document.ini"
"$bin/fulmardoorctl" document apply "$work/kilimo-document.ini" | tail -n 1 || fail "document not accepted"
for i in 0 1; do wait_for "http://127.0.0.1:$((base + 30 + i))/readyz"; done
sleep 1
targets=http://127.0.0.1:$((base + 10)),http://127.0.0.1:$((base + 11))

if [ "$stay" = --stay ]; then
  cat <<HELP

All processes are running. In another shell:
  export FULMARDOOR_ADMIN=$FULMARDOOR_ADMIN FULMARDOOR_TOKEN=$token FULMARDOOR_KEY=$key
  curl -N http://127.0.0.1:$((base + 10))/v1/completions -H "Authorization: Bearer \$FULMARDOOR_KEY" \\
    -d '{"model":"drafter","prompt":"stall history","max_tokens":16,"stream":true}'
  curl -i -X POST http://127.0.0.1:$((base + 11))/bookings -H "Authorization: Bearer \$FULMARDOOR_KEY" -H 'X-Booking-Id: b1' -d '{}'
  bin/fulmardoorctl status
  bin/fulmardoorctl upstream list
  bin/fulmardoorctl upstream drain decode-2
  bin/fulmardoorctl events --request REQUEST-ID
  bin/fulmardoorctl key withdraw --team kilimo --name agents-1
The document is $work/kilimo-document.ini. Ctrl-C stops all processes.
HELP
  trap 'exit 0' INT TERM
  while true; do sleep 1; done
fi

say "answers that callers received"
"$bin/fulmardoor-load" --targets "$targets" --requests 4 --bookings 2 --concurrency 2 --show --expect-whole \
  | tee "$work/shown.txt" || fail "an answer was not whole"

say "time line of one request across all processes"
request=$(awk '$1=="model"{print $2; exit}' "$work/shown.txt")
"$bin/fulmardoorctl" events --request "$request" || fail "no time line"

say "statistics of 60 completions and 60 bookings over two entry processes"
"$bin/fulmardoor-load" --targets "$targets" --requests 60 --bookings 60 --concurrency 24 --seed 2 --expect-whole \
  || fail "an answer was not whole"

say "starting a router and stand-ins for the users' platform"
port=$((base + 400))
start deployment "$bin/standin-deployment" --directory "$work" --port "$port"
for _ in $(seq 50); do [ -s "$work/router.conf" ] && break; sleep 0.1; done
start router "$bin/fulmardoor-router" run --settings "$work/router.conf"
for _ in $(seq 50); do
  curl -sf -o "$work/ready.txt" "http://127.0.0.1:$((port + 1))/v1/readyz" && break
  sleep 0.1
done
sleep 0.5
ask() {
  curl -sS -X POST "http://127.0.0.1:$port$1" -H 'Host: shop.example' -H 'Authorization: Token demo-key' \
    -H "Fulmardoor-Request-Id: $2" -H 'Fulmardoor-Deadline-Ms: 3000' -H "Fulmardoor-Token-Count: $3" -d prompt
}
booking=$(ask /bookings/x booking1 '') || fail "no answer to a booking"
[ "$booking" = answer ] || fail "unexpected answer to a booking: $booking"
ask /notes/x note1 100,60 >"$work/note.txt" || fail "no answer to a note"
[ "$(grep -c '^data:' "$work/note.txt")" = 6 ] || fail "the answer to a note is not whole"
echo "booking: $booking; note: $(grep -c '^data:' "$work/note.txt") events"
stop_group router
grep -h '"msg":"request"' "$work/router.log"

say "graceful shutdown"
stop_group deployment
stop_group entry
stop_group sidecar
stop_group engine
stop_group service
stop_group platform
pids=()
echo "all processes stopped, no request was cut"
