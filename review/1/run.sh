#!/bin/bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does the
# same without the disruption. What was sent, answered and run goes to record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}"
exec "$folder/../run-case.sh" late-release "$folder/record.txt"
