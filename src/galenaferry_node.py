"""Start of a VM on the users' platform from a checkout (deploy/system.toml)."""

from galenaferry.platform.__main__ import main

if __name__ == "__main__":
    main()
