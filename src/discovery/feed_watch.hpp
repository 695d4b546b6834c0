// Follows one collection: lists it, watches it, and lists it again when history was lost. Calls
// that fail are repeated with growing pauses; what is known stays known meanwhile.
#pragma once

#include "discovery/feed.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"
#include "kernel/random.hpp"

namespace samphirespool::discovery {

struct watch_timing {
    // Longest wait of one watch. Also bounds how long a connection that went silent goes unnoticed.
    helpers::duration wait = std::chrono::milliseconds(2000);
    // Between an answer with changes and the next call, so that changes in quick succession cost
    // one call. Small against the seconds that operators allow for a change.
    helpers::duration gather = std::chrono::milliseconds(120);
    // Pauses between calls that fail double from the first to the last.
    helpers::duration first_pause = std::chrono::milliseconds(100);
    helpers::duration last_pause = std::chrono::milliseconds(800);
};

class feed_watch {
public:
    feed_watch(kernel::loop& loop, kernel::random_source& random, kernel::event_sink& events,
               feed_source& source, feed_receiver& receiver, collection which,
               const watch_timing& timing);
    ~feed_watch();
    feed_watch(const feed_watch&) = delete;
    feed_watch& operator=(const feed_watch&) = delete;

    void start();

    // The whole collection was read at least once.
    bool is_loaded() const { return this->loaded; }
    bool is_reachable() const { return this->reachable; }
    // When the source last answered.
    helpers::time_point heard_at() const { return this->last_heard; }

private:
    void list();
    void watch();
    void on_listed(feed_answer answer);
    void on_watched(feed_answer answer);
    void on_failure(const kernel::error& reason);
    void on_success();
    void after(helpers::duration pause, void (feed_watch::*next)());

    kernel::loop& loop;
    kernel::random_source& random;
    kernel::event_sink& events;
    feed_source& source;
    feed_receiver& receiver;
    collection which;
    watch_timing timing;
    std::unique_ptr<feed_call> call;
    // Answered calls; freed once their tasks have returned.
    std::unique_ptr<feed_call> finished;
    kernel::timer_id timer = 0;
    // Pages of a list that is not complete yet.
    std::vector<feed_object> partial;
    std::uint64_t revision = 0;
    helpers::duration pause{};
    helpers::time_point last_heard{};
    bool loaded = false;
    bool reachable = false;
    bool must_list = true;
};

} // namespace samphirespool::discovery
