"""Fleet-wide defaults and exceptions: their text, versions and spreading."""
