// The answer to one h2o request: buffers what h2o has not taken yet and feeds it on demand. It
// lives in the request's memory pool, so it may outlive the exchange that fills it.
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

// What the server keeps of one connection; its address is the socket's on_close.data.
struct connection_record {
    // The answer in progress, if any.
    response_stream* active = nullptr;
};

class response_stream {
public:
    // Told when h2o has disposed of the request, or when the caller departed before that.
    class owner {
    public:
        virtual ~owner() = default;
        virtual void stream_drained() = 0;
        virtual void stream_departed() = 0;
        virtual void stream_gone() = 0;
    };

    // Creates the stream in the request's pool.
    static response_stream* attach(h2o_req_t& request, kernel::loop& loop,
                                   connection_record& connection);

    void set_owner(owner* receiver) { this->receiver = receiver; }
    void begin(int status, const header_list& headers, std::optional<std::size_t> length);
    void write(std::span<const char> data);
    // Writes the rest and ends the answer.
    void write_last(std::string_view rest);

    void close_connection_after() { this->request.http1_is_persistent = 0; }

    // Sends what was written and then breaks the connection.
    void break_off();
    bool begun() const { return this->has_begun; }
    std::size_t buffered() const { return this->waiting.size() + this->in_flight.size(); }

    // Since when the connection has not taken the data offered to it.
    std::optional<helpers::time_point> stalled_since() const;

private:
    struct holder {
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
    void watch_for_departure();
    void stop_watching();
    void check_departure();
    void end(h2o_send_state_t state);
    void flush_head();
    void send_past_filters(h2o_send_state_t state);
    bool has_length() const;
    bool is_chunked() const;
    // The caller knows the end of the answer only by the end of the connection.
    bool ends_by_close() const;
    void flush();
    void taken();

    h2o_req_t& request;
    kernel::loop& loop;
    // Invariant: names this stream as the active one.
    connection_record& connection;
    owner* receiver = nullptr;
    h2o_generator_t* generator = nullptr;
    std::string waiting;
    // Invariant: unchanged while is_sending; h2o reads from it.
    std::string in_flight;
    bool is_sending = false;
    bool has_begun = false;
    bool watching = false;
    bool has_departed = false;
    // Invariant: once not IN_PROGRESS, nothing more is written.
    h2o_send_state_t final_state = H2O_SEND_STATE_IN_PROGRESS;
    kernel::timer_id head_flush = 0;
    kernel::timer_id recheck = 0;
    helpers::time_point sending_since{};
};

} // namespace samphirespool::http
