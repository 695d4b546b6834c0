// Interface of the HTTP client: one request, a streamed answer, with back pressure and cancel.
#pragma once

#include "http/message.hpp"
#include "kernel/error.hpp"

#include <memory>
#include <span>

namespace samphirespool::http {

// Receives one answer. Invariant: on_head comes at most once and first; exactly one of on_done and
// on_failed comes last; nothing comes after cancel().
class response_listener {
public:
    virtual ~response_listener() = default;

    // The connection stands and the request is about to be written. False gives the call up: no
    // byte leaves and nothing else is called. May run from within start().
    virtual bool on_connected() { return true; }
    virtual void on_head(int status, const header_list& headers) = 0;
    virtual void on_body(std::span<const char> data) = 0;
    virtual void on_done() = 0;

    // maybe_sent is false only if no byte of the request can have left this process.
    virtual void on_failed(const kernel::error& reason, bool maybe_sent) = 0;
};

// A running call. Destroying it cancels the call and closes its connection.
class client_call {
public:
    virtual ~client_call() = default;

    // Stops and resumes reading the answer's body; the peer is slowed by TCP.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

class client {
public:
    virtual ~client() = default;

    // The listener must outlive the call. But for on_connected(), the listener is
    // never called from within start().
    virtual std::unique_ptr<client_call> start(const client_request& request,
                                               response_listener& listener) = 0;
};

} // namespace samphirespool::http
