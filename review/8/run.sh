#!/bin/sh
# Bad clients each send hundreds of requests at once that cannot be used, beside usual clients.
exec "$(dirname "$0")/../standins2/case.sh" starve "$(dirname "$0")"
