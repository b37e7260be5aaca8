"""Starts one proxy on the users' platform. Run from the root of a checkout."""

import sys

sys.path.insert(0, "src")

from orchidwind.platform.main import main  # noqa: E402

main()
