// Client of the platform's object API over HTTP. The status of a write is `unknown` only if the
// call may have had an effect; that of a failed read is `rejected`.
#pragma once

#include "http/client.hpp"
#include "kernel/loop.hpp"
#include "store/object_store.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>

namespace samphirespool::store {

struct http_store_settings {
    helpers::endpoint address;
    // Maximum time from a call to the head of its response, to which a watch adds its waiting time,
    // and longest silence within the body.
    helpers::duration call_timeout = std::chrono::seconds(2);
    // Maximum number of calls in progress, not counting watches.
    std::size_t max_concurrent_calls = 32;
    // Maximum number of queued calls; further ones are rejected.
    std::size_t max_queued_calls = 256;
};

class http_object_store final : public object_store {
public:
    http_object_store(kernel::loop& loop, http::client& client,
                      const http_store_settings& settings);
    ~http_object_store() override;
    http_object_store(const http_object_store&) = delete;
    http_object_store& operator=(const http_object_store&) = delete;

    void read(std::string_view key, std::function<void(read_result)> callback) override;
    void write(std::string_view key, object_version expected, std::string value,
               std::function<void(write_result)> callback) override;
    void remove(std::string_view key, object_version expected,
                std::function<void(write_result)> callback) override;
    void list(std::string_view prefix, std::function<void(list_result)> callback) override;
    void watch(std::string_view key, object_version after, helpers::duration max_wait,
               std::function<void(read_result)> callback) override;
    void list_vms(std::function<void(vm_list_result)> callback) override;

private:
    class call;
    struct outcome {
        // HTTP status; 0 if no complete response arrived.
        int status = 0;
        std::string body;
        // After a failure: whether the request may have reached the server.
        bool maybe_sent = false;
    };
    using outcome_handler = std::function<void(const outcome&)>;
    struct queued_call {
        http::client_request request;
        outcome_handler callback;
    };

    http::client_request make_request(std::string method, std::string path) const;
    void submit(http::client_request request, outcome_handler callback);
    void start(const http::client_request& request, outcome_handler callback,
               bool counts_towards_limit);
    void finish(std::uint64_t id, const outcome& result);
    void start_queued();

    kernel::loop& loop;
    http::client& client;
    http_store_settings settings;
    std::uint64_t last_id = 0;
    // Invariant: the number of entries of `calls` other than watches; at most max_concurrent_calls.
    std::size_t concurrent_calls = 0;
    std::map<std::uint64_t, std::unique_ptr<call>> calls;
    std::deque<queued_call> queue;
    // Expires with this object; posted tasks check it through a weak pointer.
    std::shared_ptr<bool> alive;
};

} // namespace samphirespool::store
