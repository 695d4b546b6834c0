"""Single HTTP/1.1 calls with a timeout."""

import http.client
import json

CALL_TIMEOUT_SECONDS = 10


class IncompleteResponse(Exception):
    """The connection failed after the head of the response and before its end."""

    def __init__(self, status, headers, reason):
        super().__init__(repr(reason))
        self.status = status
        self.headers = headers


def call(port, method, path, body=None, headers=None, timeout=CALL_TIMEOUT_SECONDS):
    """Returns (status, headers, text); `timeout` is in seconds and applies to each socket operation.

    Raises OSError or http.client.HTTPException before the head of the response, and IncompleteResponse
    after it.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, str) else json.dumps(body)
        connection.request(method, path, body=data, headers=headers or {})
        response = connection.getresponse()
        fields = {k.lower(): v for k, v in response.getheaders()}
        try:
            text = response.read().decode("utf-8", "replace")
        except (OSError, http.client.HTTPException) as reason:
            raise IncompleteResponse(response.status, fields, reason) from reason
        return response.status, fields, text
    finally:
        connection.close()


def get_json(port, path, headers=None, timeout=2):
    """Returns the JSON body of a 200 response, or None on any other response or failure."""
    try:
        status, _, text = call(port, "GET", path, headers=headers, timeout=timeout)
        return json.loads(text) if status == 200 else None
    except (OSError, http.client.HTTPException, IncompleteResponse, ValueError):
        return None
