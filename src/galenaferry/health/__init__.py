"""Gray failures: evidence from real work, verdicts, the floor and re-admission."""
