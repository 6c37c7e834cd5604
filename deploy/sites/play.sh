#!/bin/sh
# Plays a variant: play.sh BENCH KIT NAME [ARGUMENT...], KIT being the folder that holds real.json, wire.json and
# unlock.txt; arguments with "score" first go to `BENCH score`, others to `BENCH`.
set -eu
bench=$(realpath "$1") kit=$(realpath "$2") here=$(realpath "$(dirname "$0")") name=$3
shift 3
place=$(mktemp -d)
trap 'rm -rf "$place"' EXIT INT TERM
cp "$here/$name.toml" "$place"
ln -s "$kit/real.json" "$kit/wire.json" "$kit/unlock.txt" "$place"
cd "$here/../.."
if [ "${1:-}" = score ]; then
	shift
	"$bench" score "$place/$name.toml" "$@"
else
	"$bench" "$place/$name.toml" "$@"
fi
