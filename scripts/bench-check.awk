# Compares the output of benchmarks with a table of bounds; see bench-bounds.txt.
# Usage: awk -f bench-check.awk bench-bounds.txt bench-output
# The exit code is 1 when a bound is broken or nothing was measured for it.

function lower_is_better(metric) { return metric !~ /\/s$/ }

function keep(package, name, metric, value,    key) {
	key = package SUBSEP name SUBSEP metric
	if (!(key in kept)) kept[key] = value
	else if (metric == "allocs/op") { if (value > kept[key]) kept[key] = value }
	else if (lower_is_better(metric)) { if (value < kept[key]) kept[key] = value }
	else if (value > kept[key]) kept[key] = value
}

function holds(value, relation, bound) {
	if (relation == "<=") return value <= bound
	if (relation == "<") return value < bound
	if (relation == ">=") return value >= bound
	return 0
}

function report(i, name, value,    good) {
	found = 1
	good = holds(value, relations[i], bounds[i])
	if (!good) failed = 1
	printf "%-6s %s %s: %.6g %s (bound %s %s%s; %s)\n", good ? "ok" : "BROKEN", packages[i], name, value, metrics[i],
		relations[i], bounds[i], metrics[i] == "allocs/op" ? "" : ", machine-dependent", targets[i]
}

function check(i,    key, parts, pair, n) {
	found = 0
	n = split(benchmarks[i], pair, "-")
	for (key in kept) {
		split(key, parts, SUBSEP)
		if (parts[1] != packages[i] || parts[3] != metrics[i]) continue
		if (n == 1 && (parts[2] == pair[1] || index(parts[2], pair[1] "/") == 1))
			report(i, parts[2], kept[key])
		if (n == 2 && parts[2] == pair[1] && ((packages[i], pair[2], metrics[i]) in kept))
			report(i, benchmarks[i], kept[key] - kept[packages[i], pair[2], metrics[i]])
	}
	if (!found) {
		failed = 1
		printf "BROKEN %s %s: no %s measured\n", packages[i], benchmarks[i], metrics[i]
	}
}

FNR == NR && (/^#/ || NF == 0) { next }
FNR == NR {
	rows++
	packages[rows] = $1; benchmarks[rows] = $2; metrics[rows] = $3; relations[rows] = $4; bounds[rows] = $5 + 0
	for (f = 6; f <= NF; f++) targets[rows] = targets[rows] (f > 6 ? " " : "") $f
	next
}
$1 == "pkg:" { package = $2; sub(/^[^\/]*\/[^\/]*\//, "", package); next }
/^Benchmark/ {
	name = $1
	sub(/-[0-9]+$/, "", name)
	for (f = 3; f < NF; f += 2) keep(package, name, $(f + 1), $f + 0)
}
END {
	for (i = 1; i <= rows; i++) check(i)
	exit failed
}
