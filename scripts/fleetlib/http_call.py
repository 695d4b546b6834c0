"""Short calls over HTTP/1.1 with a bounded wait."""

import http.client
import json

CALL_SECONDS = 10


def call(port, method, path, body=None, headers=None, timeout=CALL_SECONDS):
    """Returns (status, headers, text). Raises OSError or http.client.HTTPException."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, str) else json.dumps(body)
        connection.request(method, path, body=data, headers=headers or {})
        answer = connection.getresponse()
        text = answer.read().decode("utf-8", "replace")
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, text
    finally:
        connection.close()


def get_json(port, path, headers=None, timeout=2):
    """The JSON answer with status 200, or None."""
    try:
        status, _, text = call(port, "GET", path, headers=headers, timeout=timeout)
        return json.loads(text) if status == 200 else None
    except (OSError, http.client.HTTPException, ValueError):
        return None
