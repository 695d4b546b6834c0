"""Parts of scripts/soak: the fleet of processes, traffic, faults, and checks of what was observed."""
