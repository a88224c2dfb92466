#!/usr/bin/env bash
# Runs the whole system on loopback: stand-ins for the outside systems, 3 entries
# and 12 agents over 3 failure domains. It rolls a bundle, sends requests and
# bookings, drains a domain and brings it back, rolls a second version in the
# middle of the traffic, kills an agent and an entry, and compares what the
# callers got with what the stand-ins counted. The last line sums it up; any
# broken promise makes the exit status 1.
set -euo pipefail
cd "$(dirname "$0")"

# Two demos at a time get ports of their own, below those the kernel hands out.
readonly BASE=${DEMO_PORT:-$((17000 + ($$ % 30) * 500))}
readonly DOMAINS=(huon-a derwent-a tamar-a)
readonly REGIONS=(huon derwent tamar)
readonly ENTRIES=3 ENGINES=9 SERVICES=3
readonly WEIGHTS_BYTES=$((6 * 1024 * 1024)) CHUNK_BYTES=$((128 * 1024))
readonly ORIGIN_RATE=$((12 * 1024 * 1024))

work=$(mktemp -d)
pids=()
declare -A pid_of

address() { echo "127.0.0.1:$((BASE + $1))"; }
store=$(address 0) list=$(address 10) origin=$(address 20) weight_store=$(address 21)
engine_at() { address $((100 + $1)); }
service_at() { address $((150 + $1)); }
agent_at() { address $((200 + $1)); }
callers_at() { address $((300 + $1)); }
peers_at() { address $((320 + $1)); }
operators_at() { address $((340 + $1)); }

join() { local IFS=,; echo "$*"; }
all() { # all FUNCTION COUNT: the addresses 1..COUNT, joined
  local out=() i
  for i in $(seq "$2"); do out+=("$("$1" "$i")"); done
  join "${out[@]}"
}

start() { # start NAME COMMAND...: in the background, with its own log
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
}

stop_all() {
  local p
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
}

finish() {
  local status=$?
  stop_all
  if [ "$status" -eq 0 ] && [ -z "${DEMO_KEEP:-}" ]; then rm -rf "$work"; else echo "demo: logs are in $work" >&2; fi
  exit "$status"
}
trap finish EXIT

wait_for() { # wait_for URL: until it answers 200
  for _ in $(seq 100); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

entry_args() { # entry_args I
  local d=$(($1 - 1))
  echo --id "entry-$1" --failureDomain "${DOMAINS[$d]}" --region "${REGIONS[$d]}" \
    --callers "$(callers_at "$1")" --peers "$(peers_at "$1")" --operators "$(operators_at "$1")" \
    --store "$store" --list "$list" --seeds "$(all peers_at $ENTRIES)" --entries $ENTRIES --storeRegion huon --keys "$keys"
}

agent_args() { # agent_args I
  local d=$((($1 - 1) % 3)) upstream
  if [ "$1" -le $ENGINES ]; then
    upstream="--engine $(engine_at "$1") --weightStore $weight_store --origin $origin --coldLimit 2 --limit 12 --sourceRegion huon"
  else
    upstream="--service bookings --serviceAddress $(service_at $(($1 - ENGINES))) --coldLimit 2 --limit 16"
  fi
  echo --id "vm-$1" --failureDomain "${DOMAINS[$d]}" --region "${REGIONS[$d]}" --listen "$(agent_at "$1")" \
    --entrySeeds "$(all peers_at $ENTRIES)" --keys "$keys" $upstream
}

publish() { # publish VERSION SEED: makes weights in both stores, prints the digest
  local body="{\"model\":\"rota\",\"version\":\"$1\",\"size\":$WEIGHTS_BYTES,\"chunkSize\":$CHUNK_BYTES,\"seed\":$2}"
  curl -fsS -d "$body" "http://$weight_store/admin/publish" >/dev/null
  curl -fsS -d "$body" "http://$origin/admin/publish" | sed 's/.*"manifest":"\([^"]*\)".*/\1/'
}

write_bundle() { # write_bundle REVISION CHANGE VERSION MANIFEST
  cat >"$work/bundle.json" <<JSON
{
  "revision": $1,
  "changeId": "$2",
  "failureDomains": [
    {"name": "huon-a", "region": "huon"},
    {"name": "derwent-a", "region": "derwent"},
    {"name": "tamar-a", "region": "tamar"}
  ],
  "models": [{"name": "rota", "version": "$3", "manifest": "$4"}],
  "services": [{"name": "bookings"}],
  "workspaces": [
    {"name": "spawnrun", "models": ["rota"], "services": ["bookings"], "priority": 2},
    {"name": "growers", "models": ["rota"]}
  ]
}
JSON
}

roll() { # roll: checks, signs and rolls the bundle file
  bin/oriolecroft bundle check "$work/bundle.json"
  bin/oriolecroft bundle sign "$work/bundle.json" --key "$work/operator.key" --out "$work/signed.json"
  bin/oriolecroft bundle roll "$work/signed.json" --store "$store" --keys "$keys" \
    --operators "$1" --wait 40s
}

engines_with() { # engines_with VERSION: how many engines say that they hold it
  local i count=0
  for i in $(seq $ENGINES); do
    if curl -fsS -m 2 "http://$(engine_at "$i")/state" 2>/dev/null | grep -q "\"version\":\"$1\""; then
      count=$((count + 1))
    fi
  done
  echo $count
}

worked_since() { # worked_since ADDRESS TIME: whether a stand-in got work later
  local last
  last=$(curl -fsS "http://$1/admin/counts" | sed 's/.*"lastWorkAt":"\([^"]*\)".*/\1/')
  [ "$(date -d "$last" +%s%N)" -gt "$(date -d "$2" +%s%N)" ]
}

echo "demo: building"
go build -o bin/ ./cmd/oriolecroft ./standins
bin/oriolecroft bundle keygen --out "$work/operator.key"
keys=$(cat "$work/operator.key.pub")

echo "demo: starting stand-ins, $ENTRIES entries and $((ENGINES + SERVICES)) agents"
start store bin/standins kv --listen "$store"
start list bin/standins list --listen "$list" --lag 1s
start origin bin/standins origin --listen "$origin" --rate $ORIGIN_RATE
start weight-store bin/standins origin --listen "$weight_store" --rate $ORIGIN_RATE
for i in $(seq $ENGINES); do
  start "engine-$i" bin/standins engine --listen "$(engine_at "$i")" --limit 16 --queue 16 \
    --coldLimit 2 --coldFor 2s --tokenTime 8ms $([ "$i" -eq 3 ] && echo --ignoreFence)
done
for i in $(seq $SERVICES); do
  start "service-$i" bin/standins service --listen "$(service_at "$i")" --time 40ms --limit 32 --coldLimit 2 --coldFor 2s
done
wait_for "http://$list/vms"
wait_for "http://$origin/admin/counts"
wait_for "http://$weight_store/admin/counts"
for i in $(seq $ENTRIES); do start "entry-$i" bin/oriolecroft entry $(entry_args "$i"); done
for i in $(seq $((ENGINES + SERVICES))); do start "agent-$i" bin/oriolecroft agent $(agent_args "$i"); done
for i in $(seq $ENTRIES); do wait_for "http://$(operators_at "$i")/healthz"; done

echo "demo: rolling the first bundle"
v1=$(publish v1 1)
v2=$(publish v2 2)
began=$(date +%s.%N)
write_bundle 1 demo-v1 v1 "$v1"
roll "$(all operators_at $ENTRIES)" &
rolling=$!
for _ in $(seq 400); do
  [ "$(engines_with v1)" -lt $ENGINES ] || break
  sleep 0.05
done
seconds=$(echo "$(date +%s.%N) $began" | awk '{printf "%.2f", $1 - $2}')
wait $rolling
copies=$(curl -fsS "http://$origin/admin/counts" "http://$weight_store/admin/counts" |
  grep -o '"chunkBytes":[0-9]*' | awk -F: -v c=$WEIGHTS_BYTES '{s += $2} END {printf "%.2f", s / c}')

echo "demo: requests and bookings"
bin/standins caller --entries "$(all callers_at $ENTRIES)" --requests 100 --bookings 60 --concurrency 8 \
  --workspace spawnrun --model rota --service bookings --seed 11 --out "$work/calls-1.json"

echo "demo: traffic goes on while a failure domain leaves and returns, a version rolls, an agent and an entry are killed"
start callers bin/standins caller --entries "$(all callers_at $ENTRIES)" --duration 30s --requests 4 --bookings 1 --concurrency 8 \
  --workspace spawnrun --model rota --service bookings --seed 12 --out "$work/calls-2.json"
sleep 1
bin/oriolecroft drain derwent-a --key "$work/operator.key" --store "$store" --keys "$keys" \
  --operators "$(all operators_at $ENTRIES)" --wait 20s
sleep 1
drained=$(date -u +%Y-%m-%dT%H:%M:%S.%NZ)
sleep 3
late=0
for i in $(seq $ENGINES); do
  if [ $((($i - 1) % 3)) -eq 1 ] && worked_since "$(engine_at "$i")" "$drained"; then late=$((late + 1)); fi
done
if worked_since "$(service_at 2)" "$drained"; then late=$((late + 1)); fi
bin/oriolecroft return derwent-a --key "$work/operator.key" --store "$store" --keys "$keys" \
  --operators "$(all operators_at $ENTRIES)" --wait 20s
write_bundle 4 demo-v2 v2 "$v2"
roll "$(all operators_at $ENTRIES)"
echo "demo: killing an agent and an entry"
kill -KILL "${pid_of[agent-1]}" "${pid_of[entry-3]}"
sleep 2
start agent-1b bin/oriolecroft agent $(agent_args 1)
wait "${pid_of[callers]}"
replicas=$(engines_with v2)

echo "demo: comparing what callers got with what the stand-ins counted"
bin/standins check --services "$(all service_at $SERVICES)" --engines "$(all engine_at $ENGINES)" \
  --origins "$origin,$weight_store" --results "$work/calls-1.json,$work/calls-2.json" >"$work/totals.json"
cat "$work/totals.json"
total() { grep -o "\"$1\": *[0-9]*" "$work/totals.json" | grep -o '[0-9]*$'; }
broken=0
for name in doubled falseNotRun mixed fellOver; do
  if [ "$(total $name)" -ne 0 ]; then echo "demo: broken promise: $name=$(total $name)" >&2; broken=1; fi
done
if [ "$late" -ne 0 ]; then echo "demo: broken promise: lateWork=$late" >&2; broken=1; fi
if [ "$replicas" -ne $ENGINES ]; then echo "demo: $replicas of $ENGINES engines hold v2" >&2; broken=1; fi
stop_all
pids=()
[ "$broken" -eq 0 ]
echo "demo: ok replicas=$replicas seconds=$seconds originCopies=$copies requests=$(total requests) whole=$(total whole) refused=$(total refused) unknown=$(total unknown) bookings=$(total bookings) doubled=$(total doubled) mixed=$(total mixed) lateWork=$late"
