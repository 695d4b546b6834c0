"""A fleet of real processes on local ports: routers, stand-ins, platform."""
