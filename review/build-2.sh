#!/bin/sh
# Builds what the scripts of the second review start beside the gateway: their stand-ins need the standard
# library alone, so they are compiled and no more.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review/standins_2.py
