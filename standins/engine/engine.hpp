// A stand-in model engine: continuous batching, prefix cache, cold start, faults by control.
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
    // Of one stream while the batch is small; falls in proportion beyond `full_rate_streams`.
    double tokens_per_second = 50;
    std::uint64_t full_rate_streams = 32;
    double prefill_tokens_per_second = 20'000;
    std::uint64_t cache_blocks = 65'536;
    // Concurrent requests that a fresh engine bears. It bears twice as many after each
    // `doubles_after` answers, and any number from `warm_at` on.
    std::uint64_t cold_allowance = 2;
    std::uint64_t doubles_after = 4;
    std::uint64_t warm_at = 64;
    bool starts_cold = true;
    helpers::duration load_lag = std::chrono::milliseconds(500);
    helpers::duration step = std::chrono::milliseconds(20);
    helpers::duration event_lag = std::chrono::seconds(2);
    // Share of cache events that a reader does not get.
    double event_gap_share = 0.1;
};

class engine {
public:
    engine(kernel::loop& loop, const engine_options& options);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    void handle(std::unique_ptr<http::exchange> incoming);

private:
    struct load_report {
        std::uint64_t in_flight = 0;
        std::uint64_t outstanding_tokens = 0;
    };

    void complete_chat(std::unique_ptr<http::exchange> incoming);
    void start(std::unique_ptr<generation> fresh, const std::string& prompt);
    void show_load(http::exchange& incoming) const;
    void show_cache_events(http::exchange& incoming);
    void show_counters(http::exchange& incoming) const;
    void set_faults(http::exchange& incoming);
    answer_fault take_fault();
    void step();
    void advance(generation& each, double tokens);
    void emit(generation& each, std::uint64_t tokens);
    void finish(generation& each);
    bool is_cold() const { return this->bears < this->options.warm_at; }
    void make_cold();
    void warm_up();
    load_report measure() const;
    void schedule_load_report();

    kernel::loop& loop;
    engine_options options;
    kernel::random_source random;
    prefix_cache cache;
    std::list<std::unique_ptr<generation>> batch;
    // What it bears now; no bound from options.warm_at on.
    std::uint64_t bears;
    std::uint64_t answers_since_doubling = 0;
    kernel::timer_id step_timer = 0;
    kernel::timer_id load_timer = 0;
    load_report reported;
    std::uint64_t incarnation;

    answer_fault next_fault = answer_fault::none;
    std::uint64_t fault_count = 0;
    helpers::duration fault_delay{};

    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t overwhelmed = 0;
    std::uint64_t max_in_flight = 0;
    std::uint64_t tokens_out = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
};

} // namespace samphirespool::standins
