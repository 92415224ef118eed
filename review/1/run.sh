#!/bin/bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 118 java -Xmx256m -Dsun.net.httpserver.nodelay=true -cp ../target:../../target/havenford.jar AcceptedThenForgotten ../.. .
