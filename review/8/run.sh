#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/havenford.jar ] || [ ! -f target/havenford.jsa ] || [ ! -f target/review-2/second/World.class ]; then
    echo "run the build of deploy/service.toml and review/build-2.sh first"
    exit 2
fi
exec java -Xmx1g -Dsun.net.httpserver.nodelay=true -cp target/review-2:target/havenford.jar second.TightCancel review/8
