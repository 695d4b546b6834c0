#!/usr/bin/env python3
"""TLS for callers: SIGHUP loads a new certificate, open connections keep working, and a faulty key file
leaves the old certificate in use."""
import contextlib
import os
import signal
import socket
import ssl
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "support"))
from router_process import (WAIT_TIMEOUT_SECONDS, chat_body, request_bytes, start_engine, start_router,
                            wait_for)


def make_keys(folder, name):
    subprocess.run(["openssl", "req", "-x509", "-newkey", "ec", "-pkeyopt",
                    "ec_paramgen_curve:prime256v1", "-nodes", "-days", "1", "-subj", f"/CN={name}",
                    "-keyout", f"{folder}/key.pem", "-out", f"{folder}/cert.pem"],
                   check=True, capture_output=True)


def connect(port):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    plain = socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS)
    return context.wrap_socket(plain)


def served_certificate(port):
    with connect(port) as connection:
        return connection.getpeercert(binary_form=True)


def chat(connection):
    connection.sendall(request_bytes("POST", "/v1/chat/completions", chat_body("over TLS")))
    data = b""
    while b'"usage"' not in data:
        part = connection.recv(65536)
        assert part, data
        data += part
    assert b" 200 " in data.split(b"\r\n")[0], data


def main():
    build = sys.argv[1]
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        make_keys(folder, "first")
        engine = start_engine(stack, build)
        router = start_router(
            stack, build, [("llm", engine.ready["port"])],
            caller_tls=f"{{certificate_file: {folder}/cert.pem, key_file: {folder}/key.pem}}")
        port = router.ready["caller_port"]
        with connect(port) as open_before:
            chat(open_before)
            first = served_certificate(port)
            make_keys(folder, "second")
            router.child.send_signal(signal.SIGHUP)
            wait_for(lambda: served_certificate(port) != first, "the new certificate")
            second = served_certificate(port)
            chat(open_before)
            with open(f"{folder}/key.pem", "w") as file:
                file.write("no key")
            router.child.send_signal(signal.SIGHUP)
            with connect(port) as another:
                chat(another)
            assert served_certificate(port) == second
        router.terminate()
        assert router.exit_code() == 0


if __name__ == "__main__":
    main()
