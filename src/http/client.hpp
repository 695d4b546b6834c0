// Interface of the HTTP client: one request per call and a streamed response, with backpressure and
// cancellation.
#pragma once

#include "http/message.hpp"
#include "kernel/error.hpp"

#include <memory>
#include <span>

namespace samphirespool::http {

// Receives the response to one call. Invariant: apart from on_connected and on_head_bytes, on_head
// is the first callback and runs at most once; exactly one of on_done and on_failed is the last;
// none runs after the call was destroyed.
class response_listener {
public:
    virtual ~response_listener() = default;

    // Runs when the connection is established, before the request is written. Returning false
    // cancels the call: nothing is sent and no other callback runs. May run from within start().
    virtual bool on_connected() { return true; }
    // The client holds so many bytes of a head that is not complete.
    virtual void on_head_bytes(std::size_t) {}
    virtual void on_head(int status, const header_list& headers) = 0;
    virtual void on_body(std::span<const char> data) = 0;
    // The response is complete.
    virtual void on_done() = 0;

    // `maybe_sent` is false only if no byte of the request can have been sent.
    virtual void on_failed(const kernel::error& reason, bool maybe_sent) = 0;
};

// A running call. Destroying it cancels the call and closes its connection.
class client_call {
public:
    virtual ~client_call() = default;

    // Stop and resume reading the response body; TCP flow control then slows the server down.
    virtual void pause() = 0;
    virtual void resume() = 0;

    // No other call uses the connection. For responses that the listener does not accept; may run
    // up to the return of on_done().
    virtual void discard_connection() = 0;
};

class client {
public:
    virtual ~client() = default;

    // Starts a call. The listener must outlive it. No callback but on_connected() runs from within
    // start().
    virtual std::unique_ptr<client_call> start(const client_request& request,
                                               response_listener& listener) = 0;
};

} // namespace samphirespool::http
