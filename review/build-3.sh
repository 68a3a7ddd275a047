#!/bin/sh
# Builds what the scripts of cases 11 to 15 start beside the deploy file's
# programs: rig3/ is plain Python of the standard library, so that a check of
# its syntax is all. It needs no network and writes nothing outside review/.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'PYTHON'
import ast
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), 'Python 3.11 or newer is needed'
for path in (*Path('rig3').glob('*.py'), *Path('.').glob('1[1-5]/*.py')):
    ast.parse(path.read_text('utf-8'), str(path))
PYTHON
