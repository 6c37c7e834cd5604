#!/bin/sh
# Builds what the cases start beside the gateway: the stand-ins are Python files, so they are only compiled.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
