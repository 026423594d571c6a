#!/usr/bin/env bash
# Functions that start a small fleet of separate processes on loopback addresses, for the other scripts. The caller sets
# root, keep and workers_per_domain first. Only processes that were started here are ended.

dir=$(mktemp -d)
# A random loopback network keeps concurrent runs on one machine from using the same addresses.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))
domains=(patan baneshwor bhaktapur)
store=$net.1:7900
entries=("$net.2:7800" "$net.3:7800")
entry_list="${entries[0]}, ${entries[1]}"
declare -A pid_of

cleanup() {
  status=$?
  trap - EXIT
  # The platform's stand-ins are stopped last, since the other processes release their leases there.
  stop_matching '^(upstream-.*)$'
  stop_matching '^(entry-[01]|(patan|baneshwor|bhaktapur)-.*)$'
  stop_matching '.'
  wait 2>/dev/null || true
  if [ "$keep" = yes ] || [ "$status" -ne 0 ]; then
    echo "settings, logs and traces: $dir"
    [ "$status" -eq 0 ] || tail -n 3 "$dir"/*.log
  else
    rm -rf "$dir"
  fi
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

stop_matching() { # stop_matching REGEX: ends the processes whose names match
  local name names=()
  for name in "${!pid_of[@]}"; do [[ $name =~ $1 ]] && names+=("$name"); done
  for name in "${names[@]}"; do kill -TERM "${pid_of[$name]}" 2>/dev/null || true; done
  for name in "${names[@]}"; do
    for _ in $(seq 200); do kill -0 "${pid_of[$name]}" 2>/dev/null || break; sleep 0.1; done
    kill -KILL "${pid_of[$name]}" 2>/dev/null || true
    unset "pid_of[$name]"
  done
}

step() { printf '\n== %s\n' "$*"; }
fail() { echo "FAILED: $*" >&2; exit 1; }
launch() { # launch NAME COMMAND...
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pid_of[$name]=$!
}
# eventually DESCRIPTION COMMAND... repeats a check until it succeeds. The limit only keeps a failing run from hanging.
eventually() {
  local what=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then echo "ok: $what"; return 0; fi
    sleep 0.2
  done
  fail "$what"
}
ctl() { "$root/bin/quetzalctl" --entry "${entries[0]}" "$@"; }
ready() { curl -fsS "http://$1:7801/readyz"; }
outcome() { # outcome METHOD ENTRY PATH [curl options...]
  local method=$1 entry=$2 path=$3
  shift 3
  curl -sS -o "$dir/body" -D - -X "$method" "http://$entry$path" "$@" | tr -d '\r' |
    awk -F': ' 'tolower($1)=="quetzalshed-outcome"{print $2}'
}
answered() { [ "$(outcome "$@")" = answered ]; }
finished() { # finished JOB TASKS
  ctl job status "$1" | tr -d ' \n' | grep -q "\"finished\":$2[,}]"
}
held() { # held JOB DOMAIN: succeeds if a task of the job runs in the domain
  ctl job status "$1" | grep -q "\"$2-"
}

process_settings() { # process_settings NAME DOMAIN IP
  cat <<END
[process]
name = $1
fleet = demo
failure_domain = $2
listen = $3:7800
admin_listen = $3:7801
drain_limit = 15s
trace_file = $dir/$1.trace

[store]
address = $store

[gossip]
peers = $entry_list
END
}

launch_host() { # launch_host NAME: starts the agent of a host with its settings
  launch "$1" bin/quetzalshed-agent --settings "$dir/$1.ini"
}

start_fleet() {
  step "starting the stand-in store and two entries"
  launch store bin/standin-store --listen "$store"
  for i in 0 1; do
    process_settings "entry-$i" "${domains[$i]}" "$net.$((i + 2))" >"$dir/entry-$i.ini"
    bin/quetzalshed-entry --settings "$dir/entry-$i.ini" --check
    launch "entry-$i" bin/quetzalshed-entry --settings "$dir/entry-$i.ini"
  done

  step "starting workers, agents and upstreams in three failure domains"
  inventory=$dir/inventory.csv
  echo "worker,address,agent_address,failure_domain,rack,cores,memory_mb,accelerators,accelerator_kind" >"$inventory"
  host=10
  agents=()
  for d in 0 1 2; do
    for n in $(seq "${workers_per_domain[$d]}"); do
      host=$((host + 1))
      name=${domains[$d]}-$n
      ip=$net.$host
      agents+=("$name")
      echo "$name,$ip:7700,$ip:7800,${domains[$d]},${domains[$d]}-r$(((n + 2) / 3)),16,60000,0," >>"$inventory"
      launch "worker-$name" bin/standin-worker --listen "$ip:7700"
      {
        process_settings "$name" "${domains[$d]}" "$ip"
        cat <<END

[agent.announcer]
entries = $entry_list

[agent.runner]
worker_address = $ip:7700
rack = ${domains[$d]}-r$(((n + 2) / 3))
END
      } >"$dir/$name.ini"
      launch_host "$name"
      launch "upstream-$name" bin/standin-upstream --agent "$ip:7800" --listen "$ip:7600" --service price-check
    done
  done

  step "loading the inventory and the rules"
  eventually "entry 0 answers" ctl status
  ctl inventory apply "$inventory" --check
  ctl inventory apply "$inventory"
  ctl rules apply "$root/examples/demo/rules.ini"
  for i in 2 3; do eventually "entry $net.$i is ready" ready "$net.$i"; done
}
