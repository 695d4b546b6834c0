// The response to one h2o request: buffers data until h2o asks for it. It is destroyed with the
// request's memory pool, so it can outlive the exchange that fills it.
#pragma once

#include "http/message.hpp"
#include "kernel/clock.hpp"
#include "kernel/loop.hpp"

#include <h2o.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace samphirespool::http {

class response_stream;

// Per-connection state of the server. The socket's on_close.data points to it.
class connection_record {
public:
    connection_record() = default;
    connection_record(const connection_record&) = delete;
    connection_record& operator=(const connection_record&) = delete;

    // The response in progress, or null.
    response_stream* active = nullptr;

    // h2o has destroyed a request, and has not begun to read the next one.
    virtual void request_destroyed() = 0;
    // The handler has freed the request.
    virtual void exchange_destroyed() = 0;
    // What response_stream::buffered() returns has changed.
    virtual void buffered_changed() = 0;
    // The handler holds so many bytes besides the request.
    virtual void hold(std::size_t bytes) = 0;

protected:
    ~connection_record() = default;
};

class response_stream {
public:
    // Is notified when all data was sent, when the caller disconnects before the response is
    // complete, and when h2o destroys the request and the stream with it.
    class owner {
    public:
        virtual ~owner() = default;
        virtual void stream_drained() = 0;
        virtual void stream_disconnected() = 0;
        virtual void stream_destroyed() = 0;
        // The exchange is to end for want of memory. Returns whether the owner has ended it.
        virtual bool stream_evicted() = 0;
    };

    // Creates the stream of a request and ties its lifetime to the request's memory pool.
    static response_stream* attach(h2o_req_t& request, kernel::loop& loop,
                                   connection_record& connection);

    void set_owner(owner* stream_owner) { this->stream_owner = stream_owner; }
    void begin(int status, const header_list& headers, std::optional<std::size_t> length);
    void write(std::span<const char> data);
    // Writes the rest and completes the response.
    void write_last(std::string_view rest);

    void close_connection_after() { this->request.http1_is_persistent = 0; }

    // Ends the exchange for want of memory. A response that has begun is broken off at once.
    void evict();

    void exchange_destroyed() { this->connection.exchange_destroyed(); }
    void hold(std::size_t bytes) { this->connection.hold(bytes); }

    // Sends what was written and then closes the connection so that the caller detects an
    // incomplete response.
    void abort_response();
    bool begun() const { return this->has_begun; }
    std::size_t buffered() const { return this->pending.size() + this->in_flight.size(); }

    // Time at which the write in progress started; nothing if there is none.
    std::optional<helpers::time_point> stalled_since() const;

private:
    struct pool_entry {
        h2o_generator_t generator;
        response_stream* stream;
    };

    response_stream(h2o_req_t& request, kernel::loop& loop, connection_record& connection)
        : request(request), loop(loop), connection(connection) {}
    ~response_stream();

    static void dispose(void* memory);
    static void proceed(h2o_generator_t* generator, h2o_req_t* request);
    static void on_readable(h2o_socket_t* socket, const char* error);

    h2o_socket_t* socket() const;
    void watch_for_disconnect();
    void stop_watching();
    void check_disconnect();
    void end(h2o_send_state_t state);
    void send_head();
    void send_past_filters(h2o_send_state_t state);
    bool has_length() const;
    bool is_chunked() const;
    // The caller detects the end of the response only by the close of the connection.
    bool ends_by_close() const;
    void flush();
    void on_write_complete();

    h2o_req_t& request;
    kernel::loop& loop;
    // Invariant: its `active` points to this stream.
    connection_record& connection;
    owner* stream_owner = nullptr;
    h2o_generator_t* generator = nullptr;
    // Data for the next write.
    std::string pending;
    // Data of the write in progress. Invariant: unchanged while is_sending; h2o reads from it.
    std::string in_flight;
    bool is_sending = false;
    bool has_begun = false;
    bool watching = false;
    bool has_disconnected = false;
    // Invariant: once not IN_PROGRESS, nothing more is written.
    h2o_send_state_t final_state = H2O_SEND_STATE_IN_PROGRESS;
    kernel::timer_id head_timer = 0;
    kernel::timer_id recheck_timer = 0;
    helpers::time_point sending_since{};
};

} // namespace samphirespool::http
