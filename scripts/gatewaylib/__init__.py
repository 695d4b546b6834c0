"""Parts of the gateway's fault soak: stand-ins, loopback proxies, callers, faults and checks."""
