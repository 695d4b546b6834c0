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
    // No watch waits less, whoever asks for it.
    helpers::duration min_wait{};
    // Between an answer with changes and the next call, so that changes in quick succession cost
    // one call. Small against the seconds that operators allow for a change.
    helpers::duration batch_delay = std::chrono::milliseconds(120);
    // Pauses between calls that fail double from the first to the last.
    helpers::duration initial_backoff = std::chrono::milliseconds(100);
    helpers::duration max_backoff = std::chrono::milliseconds(800);
    // News from a peer that has not heard from the source for longer are not relied on. Half a
    // second of its watch, and twice the interval and the way of reports; operators allow two
    // seconds for changes to be in force.
    helpers::duration max_peer_age = std::chrono::milliseconds(1200);
};

class feed_watch {
public:
    feed_watch(kernel::loop& loop, kernel::random_source& random, kernel::event_sink& events,
               feed_source& source, feed_receiver& receiver, collection kind,
               const watch_timing& timing);
    ~feed_watch();
    feed_watch(const feed_watch&) = delete;
    feed_watch& operator=(const feed_watch&) = delete;

    void start();

    // The whole collection was read at least once.
    bool is_loaded() const { return this->has_listed; }
    bool is_reachable() const { return this->reachable; }
    // Since when nothing was heard from the source, be it through a peer.
    helpers::duration age(helpers::time_point now) const { return now - this->last_contact; }
    std::uint64_t position() const { return this->revision; }

    // Told of every page in order; `is_whole` for a list, whose revision alone is given.
    void on_page(std::function<void(const feed_page&, bool is_whole)> handler) {
        this->page_handler = std::move(handler);
    }

    // Takes what a peer has read, in place of own calls. False if that cannot be relied on.
    bool apply_from_peer(const feed_page& page, helpers::duration peer_age);

    // Goes back to own calls, each waiting this long.
    void watch_directly(helpers::duration wait);

private:
    void list();
    void watch();
    void on_listed(feed_result result);
    void on_watched(feed_result result);
    void apply(const feed_page& page);
    void on_failure(const kernel::error& reason);
    void on_success();
    void call_after(helpers::duration delay, void (feed_watch::*next)());

    kernel::loop& loop;
    kernel::random_source& random;
    kernel::event_sink& events;
    feed_source& source;
    feed_receiver& receiver;
    collection kind;
    watch_timing timing;
    std::unique_ptr<feed_call> call;
    // Answered calls; freed once their tasks have returned.
    std::unique_ptr<feed_call> completed_call;
    kernel::timer_id timer = 0;
    // Pages of a list that is not complete yet.
    std::vector<feed_object> partial_list;
    std::uint64_t revision = 0;
    helpers::duration backoff{};
    helpers::time_point last_contact{};
    bool has_listed = false;
    bool reachable = false;
    bool needs_list = true;
    // Own calls rest, as a peer brings the news.
    bool is_suspended = false;
    std::function<void(const feed_page&, bool)> page_handler;
};

} // namespace samphirespool::discovery
