#!/usr/bin/env bash
# Compares docs/OPERATIONS.md with the programs in bin/ and the code. It fails
# when a setting (flag, variable, default), a command of mastichollowctl, a
# metric with its labels, or a refusal reason with its status is missing from
# the page, differs from it, or stands in it and no longer exists. Not checked:
# the meaning columns, and reasons that stand outside the table of refusals.
#
#   scripts/check-docs.sh [PAGE]
set -euo pipefail
export LC_ALL=C
cd "$(dirname "$0")/.."
readonly page=${1:-docs/OPERATIONS.md}
readonly go=${GO:-go}
failed=0

# compare WHAT WANTED FOUND: prints the lines that only one of both has.
compare() {
  local missing stale
  if [[ -z $2 ]]; then
    echo "$page: $1: nothing found in the code; the check cannot read it" >&2
    failed=1
  fi
  missing=$(comm -23 <(sort -u <<<"$2") <(sort -u <<<"$3"))
  stale=$(comm -13 <(sort -u <<<"$2") <(sort -u <<<"$3"))
  if [[ -n $missing ]]; then
    sed "s|^|$page: $1 missing: |" <<<"$missing" >&2
    failed=1
  fi
  if [[ -n $stale ]]; then
    sed "s|^|$page: $1 stale: |" <<<"$stale" >&2
    failed=1
  fi
}

# rows HEADING: the first three cells of the table rows between HEADING and the
# next heading, without backticks. Rows whose first cell is no code are skipped.
rows() {
  awk -F' *[|] *' -v heading="$1" '
    /^#/ { inside = ($0 == heading) }
    inside && /^[|] `/ { gsub(/`/, ""); print $2 "|" $3 "|" $4 }' "$page"
}

# settings PROGRAM [COMMAND...]: flag|variable|default of each flag in the help.
settings() {
  "bin/$1" "${@:2}" --help | awk '
    function flush() {
      if (entry == "") return
      match(entry, /--[^ ]+/)
      flag = substr(entry, RSTART, RLENGTH)
      value = "-"
      if (i = index(flag, "=")) { value = substr(flag, i + 1); flag = substr(flag, 1, i - 1) }
      sub(/^--\[no-\]/, "--", flag)
      gsub(/"/, "", value)
      if (value ~ /^[A-Z][A-Z0-9:=;,.-]*$/) value = "-"
      env = "-"
      if (match(entry, /\(\$[A-Z_]+\)/)) env = substr(entry, RSTART + 2, RLENGTH - 3)
      if (flag != "--help" && flag != "--version") print flag "|" env "|" value
      entry = ""
    }
    /^ +(-[a-z], )?--[a-z\[]/ { flush(); entry = $0; next }
    /^ *$/ || /^[^ ]/ { flush(); next }
    entry != "" { entry = entry " " $0 }
    END { flush() }'
}

# leaves PROGRAM: the commands of a program, one a line.
leaves() {
  "bin/$1" --help | awk '
    /^Commands:/ { inside = 1; next }
    inside && /^  [a-z]/ {
      line = ""
      for (i = 1; i <= NF && $i ~ /^[a-z][a-z-]*$/; i++) line = line $i " "
      print line
    }'
}

# all_settings PROGRAM: those of the program and of its commands.
all_settings() {
  local command
  settings "$1"
  while read -ra command; do
    if ((${#command[@]})); then settings "$1" "${command[@]}"; fi
  done < <(leaves "$1")
}

check_settings() {
  local program known=
  for program in mastichollow-router mastichollow-agent mastichollow-gate mastichollow-account mastichollowctl mastichollow-standin; do
    compare "setting of $program" "$(all_settings "$program")" "$(rows "### Settings of $program")"
    known+=$(all_settings "$program")$'\n'
  done
  known+=$'--version\n--help\n'
  # A flag or variable that stands elsewhere in the text.
  stray "flag" "$(cut -d'|' -f1 <<<"$known")" '--[a-z][a-z-]*[a-z]'
  stray "variable" "$(cut -d'|' -f2 <<<"$known")" 'MASTICHOLLOW_[A-Z_]*[A-Z]'
}

# stray WHAT KNOWN PATTERN: fails for words of the page that are not known.
stray() {
  local unknown
  unknown=$(comm -23 <(grep -oE -e "$3" "$page" | sort -u) <(sort -u <<<"$2"))
  if [[ -n $unknown ]]; then
    sed "s|^|$page: $1 stale: |" <<<"$unknown" >&2
    failed=1
  fi
}

check_commands() {
  compare "command" "$(leaves mastichollowctl | sed 's/ *$//; s/^/mastichollowctl /')" \
    "$(grep -oE 'mastichollowctl [a-z-]+ [a-z]+' "$page")"
}

sources() { git ls-files --cached --others --exclude-standard 'internal/*.go' 'cmd/*.go' 'platform/*.go' | grep -v '_test\.go$'; }

# metrics: name|labels of each metric of the code. A name is a literal in Opts, or
# the first argument of a method of metric.Factory or of the makers of the router
# and of the agent.
metrics() {
  # shellcheck disable=SC2046
  awk '
    # The first pass finds the namespace of each package.
    FNR == 1 { dir = FILENAME; sub(/\/[^\/]*$/, "", dir); open = ""; name = "" }
    /namespace += "mastichollow[a-z_]*"/ || /metric\.NewFactory\([a-z]+, "mastichollow/ {
      match($0, /"mastichollow[a-z_]*"/)
      space[dir] = substr($0, RSTART + 1, RLENGTH - 2)
    }
    pass == 1 { next }

    # literals returns the lower-case literals of a line, joined by commas.
    function literals(line,   found) {
      while (match(line, /"[a-z_]+"/)) {
        found = found (found == "" ? "" : ", ") substr(line, RSTART + 1, RLENGTH - 2)
        line = substr(line, RSTART + RLENGTH)
      }
      return found == "" ? "-" : found
    }
    # depth returns how many parentheses a line leaves open, those in literals
    # not counted.
    function depth(line) {
      gsub(/"[^"]*"/, "", line)
      return gsub(/\(/, "", line) - gsub(/\)/, "", line)
    }
    # made prints the metric of a call that begins with its name in quotes.
    function made(prefix, call,   name) {
      name = substr(call, 2)
      call = substr(name, index(name, "\"") + 1)
      name = substr(name, 1, index(name, "\"") - 1)
      sub(/^[^"]*"[^"]*"/, "", call) # the help
      sub(/\)\.With.*/, "", call)
      if (call ~ /func\(/) call = ""
      print prefix "_" name "|" literals(call)
    }
    /Name: +"mastichollow_/ { split($0, part, "\""); name = part[2]; next }
    name != "" && /^\t*}(\)|, \[\]string)/ { print name "|" literals($0); name = "" }
    open != "" { # a call over several lines
      open = open $0
      if (depth(open) <= 0) { made(space[dir], substr(open, index(open, "\""))); open = "" }
      next
    }
    match($0, /\.(Counter|CounterVec|Gauge|GaugeVec|HistogramVec)\("/) {
      call = substr($0, RSTART + 1)
      if (call ~ /,$/ && depth(call) > 0) { open = call; next }
      made(space[dir], substr(call, index(call, "\"")))
    }
    dir == "internal/router" && match($0, /f\.(counter|gauge|histogram)\("/) { made("mastichollow_router", substr($0, RSTART + RLENGTH - 1)) }
    dir == "internal/agent" && match($0, /[ \t](counter|vector|gauge)\("/) { made("mastichollow_agent", substr($0, RSTART + RLENGTH - 1)) }
  ' pass=1 $(sources) pass=2 $(sources)
}

# unreadable FILE: the calls that make a metric under a name that is no literal.
unreadable() {
  case $1 in
  internal/metric/metric.go) # each of its methods must be known to metrics()
    grep -nE '^func \(f Factory\) [A-Z]' "$1" | grep -vE '\) (Counter|CounterVec|Gauge|GaugeVec|HistogramVec)\(' ;;
  internal/router/metrics.go | internal/agent/metrics.go | internal/process/*)
    grep -nE '[.](Counter(Vec)?|Gauge(Vec)?|Histogram(Vec)?)\([^")]' "$1" ;;
  *)
    grep -nE '[.](Counter(Vec)?|Gauge(Vec)?|Histogram(Vec)?|Summary)\([^")]' "$1"
    if (($(grep -cE '(Counter|Gauge|Histogram|Summary)Opts\{' "$1") != $(grep -cE 'Name: +"mastichollow_[a-z_]+"' "$1"))); then
      grep -nE '(Counter|Gauge|Histogram|Summary)Opts\{' "$1"
    fi ;;
  esac
}

# check_metric_files fails when metrics are made where metrics() does not look.
check_metric_files() {
  local file calls
  while read -r file; do
    calls=$(unreadable "$file" || true)
    if [[ -n $calls ]]; then
      sed "s|^|$file: metric that scripts/check-docs.sh cannot read: |" <<<"$calls" >&2
      failed=1
    fi
  done < <(sources | xargs grep -lE '(Counter|Gauge|Histogram|Summary)Opts\{|metric\.NewFactory\(')
}

check_metrics() {
  local found
  found=$(grep -oE '^[|] `mastichollow_[a-z_]+` [|][^|]*[|]' "$page" |
    sed -E 's/^[|] `([a-z_]+)` [|] *([^|]*[^| ]) *[|]$/\1|\2/; s/`//g')
  compare "metric" "$(metrics)" "$found"
  stray "metric" "$(metrics | cut -d'|' -f1)" 'mastichollow_[a-z_]*[a-z]'
  check_metric_files
}

# reasons: reason|status of each reason that is declared; status "-" for one
# that the router has no status for.
reasons() {
  awk '
    FILENAME ~ /status\.go$/ && $1 ~ /^Status/ { code["http." $1] = $3; next }
    FILENAME ~ /request\.go$/ && $2 == "Reason" && $3 == "=" { gsub(/"/, "", $4); name[$1] = $4; next }
    FILENAME ~ /problem\.go$/ && $1 ~ /^request\.Reason/ {
      split($2, part, /[{,]/)
      sub(/^request\./, "", $1); sub(/:$/, "", $1)
      status[$1] = part[2] in code ? code[part[2]] : part[2]
    }
    END { for (id in name) print name[id] "|" (id in status ? status[id] : "-") }
  ' "$("$go" env GOROOT)/src/net/http/status.go" internal/request/request.go internal/router/problem.go
}

check_reasons() {
  compare "refusal reason" "$(reasons)" "$(rows "## Refusals" | cut -d'|' -f1,2)"
}

check_settings
check_commands
check_metrics
check_reasons
if ((failed)); then exit 1; fi
echo "$page agrees with the programs"
