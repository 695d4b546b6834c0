// A run of the load tool: starts requests, continues chats and checks each response.
#pragma once

#include "http/event_loop.hpp"
#include "http/h2o_client.hpp"
#include "kernel/random.hpp"
#include "standins/load/load_options.hpp"
#include "standins/load/load_summary.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphirespool::standins {

class load_run {
public:
    load_run(http::event_loop& loop, const load_options& options);
    ~load_run();
    load_run(const load_run&) = delete;
    load_run& operator=(const load_run&) = delete;

    // Runs the loop until all requests have finished or the drain limit has passed; nothing else
    // may run the loop meanwhile.
    load_summary& run();

private:
    class caller;

    // A conversation whose text grows by a turn with each request.
    struct chat {
        std::string text;
        bool busy = false;
    };

    void open_idle_connections();
    void start_due_requests();
    void start(helpers::time_point due);
    void on_caller_finished(std::uint64_t number);
    bool arrivals_finished() const;
    std::string extend_chat_text(std::uint64_t chat_number);

    http::event_loop& loop;
    load_options options;
    http::h2o_client client;
    kernel::random_source random;
    std::vector<chat> chats;
    std::unordered_map<std::uint64_t, std::unique_ptr<caller>> callers;
    std::vector<int> idle;
    load_summary summary;
    helpers::time_point started_at{};
    std::uint64_t started = 0;
};

} // namespace samphirespool::standins
