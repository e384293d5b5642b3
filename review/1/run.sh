#!/bin/sh
# Shows the case with real processes; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
exec target/review-stand-in replace review/1
