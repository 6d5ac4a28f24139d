#!/usr/bin/env bash
# Formatter, vet, linter, the build for the platform, and all tests with the race detector. The tests in KNOWN-RED.txt must
# fail, all others pass.
set -euo pipefail
cd "$(dirname "$0")"
modules=(api ctl platform server standin)

unformatted=$(gofmt -l "${modules[@]}")
if [ -n "$unformatted" ]; then
	printf 'not formatted:\n%s\n' "$unformatted"
	exit 1
fi
for module in "${modules[@]}"; do
	(cd "$module" && go vet ./...)
done
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
if [ -z "$build" ] || ! sh -c "$build"; then
	printf 'the build line of deploy/system.toml failed: %s\n' "$build"
	exit 1
fi
(cd server && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck)
for module in "${modules[@]}"; do
	(cd "$module" && ../bin/staticcheck ./...)
done

# run_package runs the tests of one package; further arguments go to the test binary.
run_package() {
	local package=$1
	shift
	go test -race -timeout 20m "$package" "$@"
}

# red_entries prints package and test of each entry of KNOWN-RED.txt, separated by a tab.
red_entries() {
	awk -F'|' '!/^#/ && NF >= 5 { gsub(/^ +| +$/, "", $1); gsub(/^ +| +$/, "", $2); print $1 "\t" $2 }' KNOWN-RED.txt
}

failed=0
mapfile -t red_packages < <(red_entries | cut -f1 | sort -u)
mapfile -t packages < <(for module in "${modules[@]}"; do (cd "$module" && go list ./...); done)
# The floods of clients run apart from all other load, as they bound the memory and the descriptors of one process.
flood=clementinetray/standin/flood
green=()
for package in "${packages[@]}"; do
	[[ " ${red_packages[*]-} $flood " == *" $package "* ]] || green+=("$package")
done
go test -race -timeout 20m "${green[@]}" || failed=1
[[ " ${red_packages[*]-} " == *" $flood "* ]] || run_package "$flood" || failed=1

for package in "${red_packages[@]}"; do
	skip=() skip_tests=
	while IFS=$'\t' read -r in_package name; do
		[ "$in_package" = "$package" ] || continue
		if [[ $name == Test* ]]; then
			pattern="^${name//\//\$/^}\$"
			# go test takes the last -skip only.
			skip_tests+=${skip_tests:+|}$pattern
			only=("-run=$pattern")
		else
			skip+=("-ginkgo.skip=$name")
			only=("-ginkgo.focus=$name")
		fi
		if run_package "$package" "${only[@]}" >/dev/null 2>&1; then
			printf 'KNOWN-RED.txt names %s in %s, but it passes\n' "$name" "$package"
			failed=1
		else
			printf 'known red: %s in %s\n' "$name" "$package"
		fi
	done < <(red_entries)
	[ -z "$skip_tests" ] || skip+=("-skip=$skip_tests")
	run_package "$package" "${skip[@]}" || failed=1
done
exit "$failed"
