#!/usr/bin/env bash
# Checks that all stand-ins and cases of the third review can run. They are Python
# programs of the standard library, so nothing is built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'EOF'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
folders = [Path("review/standins3"), *sorted(Path("review").glob("1[1-5]"))]
for path in (p for folder in folders for p in sorted(folder.glob("*.py"))):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("checked", path)
EOF
