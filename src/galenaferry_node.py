"""Start script of a VM on the users' platform, run from a checkout.

``deploy/system.toml`` runs it.
"""

from galenaferry.platform.__main__ import main

if __name__ == "__main__":
    main()
