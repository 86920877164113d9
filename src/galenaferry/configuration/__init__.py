"""Fleet-wide configuration: text format, versions, acceptance and distribution."""
