// A stand-in for a model engine: continuous batching, prefix cache, cold start, and faults that
// control calls inject.
#pragma once

#include "kernel/loop.hpp"
#include "kernel/random.hpp"
#include "standins/engine/generation.hpp"
#include "standins/engine/prefix_cache.hpp"

#include <nlohmann/json_fwd.hpp>

#include <list>
#include <memory>
#include <string>

namespace samphirespool::standins {

struct engine_options {
    std::string name = "engine";
    std::uint64_t seed = 1;
    // Rate of one stream in batches of up to `full_rate_streams`; in larger batches the streams
    // share the rate of that many.
    double tokens_per_second = 50;
    std::uint64_t full_rate_streams = 32;
    double prefill_tokens_per_second = 20'000;
    std::uint64_t cache_blocks = 65'536;
    // Concurrent requests that an engine can serve after a cold start. The number doubles after
    // each `doubling_interval` responses; from `warm_at` on there is no limit.
    std::uint64_t cold_allowance = 2;
    std::uint64_t doubling_interval = 4;
    std::uint64_t warm_at = 64;
    bool starts_cold = true;
    helpers::duration load_lag = std::chrono::milliseconds(500);
    helpers::duration step = std::chrono::milliseconds(20);
    helpers::duration event_lag = std::chrono::seconds(2);
    // Share of cache events that a reader doesn't receive, from 0 to 1.
    double event_gap_share = 0.1;
};

class engine {
public:
    engine(kernel::loop& loop, const engine_options& options);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    // Handles a chat completion, a query for load or cache events, or a control call.
    void handle(std::unique_ptr<http::exchange> incoming);

private:
    struct load_report {
        std::uint64_t in_flight = 0;
        std::uint64_t outstanding_tokens = 0;
    };

    void complete_chat(std::unique_ptr<http::exchange> incoming);
    void start(std::unique_ptr<generation> created, const std::string& prompt);
    void show_load(http::exchange& incoming) const;
    void show_cache_events(http::exchange& incoming);
    void show_counters(http::exchange& incoming) const;
    void set_faults(http::exchange& incoming);
    response_fault next_request_fault();
    void step();
    void advance(generation& each, double tokens);
    void emit(generation& each, std::uint64_t tokens);
    void finish(generation& each);
    bool is_cold() const { return this->concurrency_allowance < this->options.warm_at; }
    void make_cold();
    void advance_warm_up();
    load_report measure() const;
    void schedule_load_report();

    kernel::loop& loop;
    engine_options options;
    kernel::random_source random;
    prefix_cache cache;
    std::list<std::unique_ptr<generation>> batch;
    // Concurrent requests that it can serve now; no limit from options.warm_at on.
    std::uint64_t concurrency_allowance;
    std::uint64_t responses_since_doubling = 0;
    kernel::timer_id step_timer = 0;
    kernel::timer_id load_timer = 0;
    load_report reported;
    std::uint64_t incarnation;

    response_fault next_fault = response_fault::none;
    std::uint64_t fault_count = 0;
    helpers::duration fault_delay{};

    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t overloads = 0;
    std::uint64_t max_in_flight = 0;
    std::uint64_t tokens_out = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
};

} // namespace samphirespool::standins
