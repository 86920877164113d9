"""Start script of a VM on the users' platform, run from a checkout.

``deploy/system.toml`` runs it.
"""

import sys

# circuits declares a namespace package with pkg_resources where that is installed, and
# has another way where it is not. Importing it takes longer than all the rest.
sys.modules.setdefault("pkg_resources", None)  # type: ignore[arg-type]

from galenaferry.platform.__main__ import main  # noqa: E402

if __name__ == "__main__":
    main()
