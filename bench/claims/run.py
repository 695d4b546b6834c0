"""Starts the platform stand-in and runs bench-claims against it over HTTP on loopback."""
import json
import subprocess
import sys

build = sys.argv[1]
platform = subprocess.Popen([f"{build}/standin-platform", "--listen", "127.0.0.1:0"],
                            stdout=subprocess.PIPE, text=True)
try:
    port = json.loads(platform.stdout.readline())["port"]
    bench = subprocess.run([f"{build}/bench-claims", f"127.0.0.1:{port}"], timeout=120, check=False)
finally:
    platform.terminate()
    platform.wait()
sys.exit(bench.returncode)
