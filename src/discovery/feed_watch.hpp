// Follows one collection: lists it, watches it for changes, and lists it again if the source no
// longer has the history. Failed calls are retried with exponential backoff; the last known content
// stays in use meanwhile.
#pragma once

#include "discovery/feed.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"
#include "kernel/random.hpp"

namespace samphirespool::discovery {

struct watch_timing {
    // Long-poll timeout of a watch. Also bounds the time until a silent connection is noticed.
    helpers::duration wait = std::chrono::milliseconds(2000);
    // Lower bound for the argument of watch_directly().
    helpers::duration min_wait{};
    // Delay between a response with changes and the next call, so that changes in quick succession
    // need one call only. Small compared with the seconds within which changes must be in force.
    helpers::duration batch_delay = std::chrono::milliseconds(120);
    // The backoff after failed calls doubles between these bounds.
    helpers::duration initial_backoff = std::chrono::milliseconds(100);
    helpers::duration max_backoff = std::chrono::milliseconds(800);
    // Updates from a peer whose data was confirmed by the source longer ago than this are rejected.
    // Covers the peer's watch of 0.5 s and two intervals and transfers of reports; changes must be
    // in force within two seconds.
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
    // Time since the content was last confirmed by the source, directly or through peers.
    helpers::duration age(helpers::time_point now) const { return now - this->last_contact; }
    // Revision up to which the collection was read.
    std::uint64_t position() const { return this->revision; }

    // The handler receives every page of changes in order. After a list it receives a page with the
    // revision alone, and `is_whole` is true.
    void on_page(std::function<void(const feed_page&, bool is_whole)> handler) {
        this->page_handler = std::move(handler);
    }

    // Applies changes that a peer has read and suspends own calls. Returns false and changes
    // nothing if a list must be read first, or if the page is older than the known revision or
    // max_peer_age.
    bool apply_from_peer(const feed_page& page, helpers::duration peer_age);

    // Resumes own calls if they are suspended. `wait` is the long-poll timeout from now on.
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
    // The last completed call; kept so that it is not destroyed while its handler runs.
    std::unique_ptr<feed_call> completed_call;
    kernel::timer_id timer = 0;
    // Objects of the list pages that were read so far.
    std::vector<feed_object> partial_list;
    std::uint64_t revision = 0;
    helpers::duration backoff{};
    helpers::time_point last_contact{};
    bool has_listed = false;
    bool reachable = false;
    bool needs_list = true;
    // Own calls are suspended because a peer sends the updates.
    bool is_suspended = false;
    std::function<void(const feed_page&, bool)> page_handler;
};

} // namespace samphirespool::discovery
