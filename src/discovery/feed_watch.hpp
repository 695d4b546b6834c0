// Follows one collection: lists it, watches it for changes, and lists it again if the source no
// longer has the history. A feed either watches the source continuously, or relies on peers that
// pass on what they have read and queries the source only when its content gets too old. The last
// known content stays in use while the source is unreachable.
#pragma once

#include "discovery/feed.hpp"
#include "discovery/source_gate.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"

#include <optional>
#include <set>

namespace samphirespool::discovery {

struct watch_timing {
    // Long-poll timeout of a continuous watch. Also bounds the time until a silent connection is
    // noticed.
    helpers::duration wait = std::chrono::milliseconds(500);
    // Delay between a response with changes and the next call, so that changes in quick succession
    // need one call only. Small compared with the seconds within which changes must be in force.
    helpers::duration batch_delay = std::chrono::milliseconds(120);
    // The content counts as lost if a continuous watch has not confirmed it for reader_lost_age, or
    // if a peer confirmed it last and it is older than peer_lost_age.
    helpers::duration reader_lost_age = std::chrono::milliseconds(800);
    helpers::duration peer_lost_age = std::chrono::milliseconds(1100);
    // A feed that relies on peers queries the source when its content is older than this, and
    // rejects older updates: in a hub, in a follower, and in a gateway that reaches no peer.
    helpers::duration max_hub_age = std::chrono::milliseconds(800);
    helpers::duration max_follower_age = std::chrono::milliseconds(1400);
    helpers::duration max_isolated_age = std::chrono::milliseconds(800);
    // Time from a list that may lag until the source is queried for what has changed since, if no
    // peer sends it.
    helpers::duration catch_up_delay = std::chrono::milliseconds(1400);
};

// Selects the limit for the age of a feed that relies on peers.
enum class peer_role : std::uint8_t {
    hub,
    follower,
    isolated,
};

class feed_watch {
public:
    feed_watch(kernel::loop& loop, kernel::event_sink& events, source_gate& gate,
               feed_source& source, feed_receiver& receiver, collection kind,
               const watch_timing& timing);
    ~feed_watch();
    feed_watch(const feed_watch&) = delete;
    feed_watch& operator=(const feed_watch&) = delete;

    void start();

    // The whole collection was read at least once.
    bool is_loaded() const { return this->has_listed; }
    // The content was confirmed recently, by the source or through peers.
    bool is_reachable() const { return this->reachable; }
    // Age of content that was never confirmed; above any limit.
    static constexpr helpers::duration unknown_age = std::chrono::hours(1);
    // Time since the content was last confirmed by the source, directly or through peers.
    helpers::duration age(helpers::time_point now) const {
        return this->confirmed_at ? now - *this->confirmed_at : unknown_age;
    }
    // Whether the content has all changes that the source acknowledged before this moment. If not,
    // the source is queried as soon as it can be; ask again until it is true.
    bool confirm_since(helpers::time_point moment);
    // Position up to which the collection was read.
    const source_position& position() const { return this->read_up_to; }

    // The handler receives every page that was applied, in order. After a list the page has the
    // names of all objects.
    void on_page(std::function<void(const feed_page&)> handler) {
        this->page_handler = std::move(handler);
    }

    // Applies what a peer has read since this feed's position. Returns false and changes nothing if
    // the page is older than the position or than the limit, if it is from an earlier era than the
    // latest one that is known, or if it holds only changes and the collection was not listed yet
    // in its era.
    bool apply_from_peer(const feed_page& page, helpers::duration peer_age);

    // Starts a new call to the source whenever one completes.
    void watch_continuously();
    // Calls the source only while the content is older than the limit of the role.
    void rely_on_peers(peer_role role);

private:
    void request_call();
    void start_call(const source_gate::turn& turn);
    void cancel_call();
    // A call that began at this moment has shown all that had changed before it.
    void on_confirmed_by_call(const std::optional<helpers::time_point>& began);
    void list();
    void watch(bool is_probe);
    // What is known stays in use, but is read anew.
    void on_new_era();
    void require_current_list();
    void log_unreadable(const feed_page& page) const;
    // Era of the page; the era of the content so far if the page states none.
    std::uint64_t era_of(const feed_page& page) const;
    void on_listed(feed_result result);
    void on_watched(feed_result result);
    void apply_list();
    // Takes the page for the whole collection.
    void apply_whole(const feed_page& page, const source_position& position);
    void apply(const feed_page& page);
    void on_failure(const kernel::error& reason);
    void on_confirmed(helpers::duration age, bool is_by_peer);
    void set_lost(std::string_view reason);
    void call_after(helpers::duration delay);
    void check_age();
    void schedule_age_check(helpers::time_point due);
    helpers::duration max_age() const;
    helpers::duration lost_age() const;
    helpers::duration time_until_query(helpers::time_point now) const;

    kernel::loop& loop;
    kernel::event_sink& events;
    source_gate& gate;
    feed_source& source;
    feed_receiver& receiver;
    collection kind;
    watch_timing timing;
    std::unique_ptr<feed_call> call;
    // The last completed call; kept so that it is not destroyed while its handler runs.
    std::unique_ptr<feed_call> completed_call;
    // The turn at the gate that is waiting or whose call is in progress.
    std::optional<source_gate::turn_id> turn;
    kernel::timer_id call_timer = 0;
    kernel::timer_id age_timer = 0;
    // When age_timer expires, if it is set.
    helpers::time_point age_check_due{};
    // Objects of the list pages that were read so far, and the lowest position of these pages,
    // which are all of one era.
    std::vector<feed_object> partial_list;
    std::optional<source_position> partial_position;
    // Names of the objects that exist.
    std::set<std::string, std::less<>> names;
    source_position read_up_to;
    // When the source confirmed the content; empty after a list that may lag.
    std::optional<helpers::time_point> confirmed_at;
    // The latest moment whose changes a call of this feed is known to have shown.
    std::optional<helpers::time_point> complete_until;
    // When the call in progress began; the first one of a list with several pages.
    std::optional<helpers::time_point> call_began;
    // The call in progress is a long poll.
    bool is_polling = false;
    // The next call is to complete without a long poll; see confirm_since().
    bool needs_query = false;
    // The call in progress is that one.
    bool is_confirming = false;
    // Whether a peer, and not the source itself, confirmed the content at that time.
    bool is_confirmed_by_peer = false;
    // When the last list arrived; before the first one, when the feed was started.
    helpers::time_point listed_at{};
    list_freshness freshness = list_freshness::may_lag;
    bool has_listed = false;
    bool reachable = false;
    bool needs_list = true;
    bool is_continuous = false;
    peer_role role = peer_role::follower;
    std::function<void(const feed_page&)> page_handler;
};

} // namespace samphirespool::discovery
