#!/usr/bin/env bash
# Compiles the stand-ins of the scripts; they need Python 3.11 and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins
