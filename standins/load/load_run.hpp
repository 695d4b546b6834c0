// A run of the load tool: arrivals, chats that return, and a check of each answer.
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

    // Runs to the end; the loop must not run otherwise.
    load_summary& run();

private:
    class caller;

    // A conversation that grows by a turn each time it returns.
    struct chat {
        std::string text;
        bool busy = false;
    };

    void open_idle_connections();
    void arrive();
    void start(helpers::time_point due);
    void ended(std::uint64_t number);
    bool arrivals_over() const;
    std::string next_text(std::uint64_t chat_number);

    http::event_loop& loop;
    load_options options;
    http::h2o_client client;
    kernel::random_source random;
    std::vector<chat> chats;
    std::unordered_map<std::uint64_t, std::unique_ptr<caller>> callers;
    std::vector<int> idle;
    load_summary summary;
    helpers::time_point began{};
    std::uint64_t started = 0;
};

} // namespace samphirespool::standins
