#!/bin/sh
# Builds what the scripts of review/4 to review/6 start besides the project's
# own programs. Their stand-ins are in sitekit.py, which needs Python's own
# library alone, so that this only compiles them.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q sitekit.py 4/case.py 5/case.py 6/case.py
