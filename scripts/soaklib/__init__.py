"""Parts of scripts/soak: traffic, faults, operators, and checks of what was observed."""
