#!/usr/bin/env bash
# Starts stand-ins and the daemons of one user as separate processes, puts the table, and
# waits. Each process is a child of this shell; they are ended by their ids at its end.
set -eu
user=${1:-association}
folder=$(dirname "$0")/$user
model=$([ "$user" = association ] && echo layout || echo drafting)
export RACKSWITCH_TOKEN=demo-operator RACKSWITCH_URL=http://127.0.0.1:8080
pids=()
start() { "$@" & pids+=($!); }
finish() { kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; }
trap finish EXIT

wait_port() { # PORT NAME: until something listens there, 20 s at most
  for _ in $(seq 200); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return; fi
    sleep 0.1
  done
  echo "$2 did not come up on port $1 within 20 s" >&2
  exit 1
}

start rackswitch-standin kv 9000
start rackswitch-standin store 9001 "$model"
start rackswitch-standin vm_list 9002
start rackswitch-standin service 9200
start rackswitch-standin scorer 9300
while read -r name port; do
  case $name in
    "$model"-*) start rackswitch-standin engine "$port" "$name" "$model" --store_url=http://127.0.0.1:9001 ;;
    *) start rackswitch-standin engine "$port" "$name" "${name%-*}" ;;
  esac
done < <(sed -n 's/.*"name": "\([a-z]*-[0-9]*\)", "url": "http:\/\/127.0.0.1:\(91[0-9]*\)".*/\1 \2/p' "$folder/table.json")
wait_port 9000 "the key-value service"
wait_port 9001 "the weight store"
wait_port 9002 "the VM list"
wait_port 9200 "the plain service"
wait_port 9300 "the scorer"
number=0
for settings in "$folder"/daemon-*.json; do
  zone=$(sed -n 's/.*"zone": "\(.*\)",/\1/p' "$settings")
  curl -sf -X PUT "http://127.0.0.1:9002/vms/d$number" \
    -d "{\"zone\": \"$zone\", \"role\": \"daemon\", \"peer_port\": $((7080 + number))}"
  start rackswitchd --settings="$settings"
  number=$((number + 1))
done
until rackswitchctl edit "$folder/table.json" 2>/dev/null; do sleep 0.5; done
sleep 3
rackswitchctl status
if [ "${2:-}" = once ]; then exit 0; fi
echo "running; end with Ctrl-C"
wait
