"""Short calls over HTTP/1.1 with a bounded wait."""

import http.client
import json

CALL_SECONDS = 10


class BrokenAnswer(Exception):
    """The connection ended within the answer."""

    def __init__(self, status, headers, reason):
        super().__init__(repr(reason))
        self.status = status
        self.headers = headers


def call(port, method, path, body=None, headers=None, timeout=CALL_SECONDS):
    """Returns (status, headers, text).

    Raises OSError or http.client.HTTPException before the answer's head, BrokenAnswer after it.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, str) else json.dumps(body)
        connection.request(method, path, body=data, headers=headers or {})
        answer = connection.getresponse()
        fields = {k.lower(): v for k, v in answer.getheaders()}
        try:
            text = answer.read().decode("utf-8", "replace")
        except (OSError, http.client.HTTPException) as reason:
            raise BrokenAnswer(answer.status, fields, reason) from reason
        return answer.status, fields, text
    finally:
        connection.close()


def get_json(port, path, headers=None, timeout=2):
    """The JSON answer with status 200, or None."""
    try:
        status, _, text = call(port, "GET", path, headers=headers, timeout=timeout)
        return json.loads(text) if status == 200 else None
    except (OSError, http.client.HTTPException, BrokenAnswer, ValueError):
        return None
