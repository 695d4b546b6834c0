// Client of the platform's object API over HTTP. A write's status is `unknown` only if the call
// may have had an effect; a read that fails is `refused`.
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
    // From the call to the head of its answer; a watch adds its own wait.
    helpers::duration call_timeout = std::chrono::seconds(2);
    // Calls in progress at a time, watches not counted.
    std::size_t max_running = 32;
    // Calls that wait for their turn; more are refused.
    std::size_t max_waiting = 256;
};

class http_object_store final : public object_store {
public:
    http_object_store(kernel::loop& loop, http::client& client,
                      const http_store_settings& settings);
    ~http_object_store() override;
    http_object_store(const http_object_store&) = delete;
    http_object_store& operator=(const http_object_store&) = delete;

    void read(std::string_view key, std::function<void(read_result)> done) override;
    void write(std::string_view key, object_version expected, std::string value,
               std::function<void(write_result)> done) override;
    void remove(std::string_view key, object_version expected,
                std::function<void(write_result)> done) override;
    void list(std::string_view prefix, std::function<void(list_result)> done) override;
    void watch(std::string_view key, object_version after, helpers::duration max_wait,
               std::function<void(read_result)> done) override;
    void list_vms(std::function<void(vm_list_result)> done) override;

private:
    class call;
    struct outcome {
        // 0 if no complete answer came.
        int status = 0;
        std::string body;
        bool maybe_sent = false;
    };
    using outcome_handler = std::function<void(const outcome&)>;
    struct waiting_call {
        http::client_request request;
        outcome_handler done;
    };

    http::client_request request_for(std::string method, std::string path) const;
    void submit(http::client_request request, outcome_handler done);
    void start(const http::client_request& request, outcome_handler done, bool counted);
    void finish(std::uint64_t id, const outcome& result);
    void start_waiting();

    kernel::loop& loop;
    http::client& client;
    http_store_settings settings;
    std::uint64_t last_id = 0;
    // Invariant: the number of counted entries of `calls`, at most max_running.
    std::size_t running = 0;
    std::map<std::uint64_t, std::unique_ptr<call>> calls;
    std::deque<waiting_call> waiting;
    // Expires with this object, so that posted tasks find out.
    std::shared_ptr<bool> alive;
};

} // namespace samphirespool::store
