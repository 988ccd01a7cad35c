"""Real processes of the program, faults between them, and a check of their promises (docs/trial.md)."""
