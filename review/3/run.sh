#!/bin/sh
# See claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../run-case.sh" reuse "$here"
