#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are Python, of the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2
