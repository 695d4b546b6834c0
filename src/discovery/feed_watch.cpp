// The sequence of list and watch calls, and the decision between own calls and peers' updates.
#include "discovery/feed_watch.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace samphirespool::discovery {

namespace {

// Wait of a watch that only collects what has changed so far.
constexpr helpers::duration query_wait = std::chrono::milliseconds(1);

} // namespace

std::string_view to_string(collection kind) {
    constexpr std::array<std::string_view, collection_count> names{
        "configuration", "targets",  "departures",      "members",
        "quarantine",    "rollouts", "rollout_records", "stream_origins"};
    return names.at(static_cast<std::size_t>(kind));
}

feed_watch::feed_watch(kernel::loop& loop, kernel::event_sink& events, source_gate& gate,
                       feed_source& source, feed_receiver& receiver, collection kind,
                       const watch_timing& timing)
    : loop(loop),
      events(events),
      gate(gate),
      source(source),
      receiver(receiver),
      kind(kind),
      timing(timing) {
    gate.on_new_era([this] { this->on_new_era(); });
}

feed_watch::~feed_watch() {
    this->cancel_call();
    this->loop.cancel(this->age_timer);
}

void feed_watch::start() {
    this->listed_at = this->loop.time().now();
    this->request_call();
    this->check_age();
}

void feed_watch::request_call() {
    if (this->turn || this->call_timer != 0)
        return;
    // The gate may call back before it returns.
    const auto requested =
        this->gate.request([this](const source_gate::turn& given) { this->start_call(given); });
    if (this->call == nullptr)
        this->turn = requested;
}

void feed_watch::start_call(const source_gate::turn& given) {
    this->turn = given.id;
    if (this->partial_list.empty())
        this->call_began = this->loop.time().now();
    if (this->needs_list)
        this->list();
    else
        this->watch(given.is_probe);
}

void feed_watch::cancel_call() {
    this->call.reset();
    this->call_began.reset();
    this->is_polling = false;
    this->is_confirming = false;
    this->partial_list.clear();
    this->partial_position.reset();
    this->loop.cancel(std::exchange(this->call_timer, 0));
    if (const auto given = std::exchange(this->turn, std::nullopt))
        this->gate.withdraw(*given);
}

void feed_watch::list() {
    const auto last_name =
        this->partial_list.empty() ? std::string() : this->partial_list.back().name;
    this->call =
        this->source.list(this->kind, last_name, this->freshness, [this](feed_result result) {
            this->completed_call = std::move(this->call);
            this->on_listed(std::move(result));
        });
}

void feed_watch::watch(bool is_probe) {
    this->is_confirming = std::exchange(this->needs_query, false);
    this->is_polling = this->is_continuous && !is_probe && !this->is_confirming;
    this->call = this->source.watch(this->kind, this->read_up_to.revision,
                                    this->is_polling ? this->timing.wait : query_wait,
                                    [this](feed_result result) {
                                        this->completed_call = std::move(this->call);
                                        this->on_watched(std::move(result));
                                    });
}

void feed_watch::on_new_era() {
    if (!this->has_listed || this->read_up_to.era >= this->gate.era())
        return;
    this->events.write(kernel::severity::warning, "feed.source_restored", std::nullopt,
                       {{"collection", std::string(to_string(this->kind))},
                        {"era", this->gate.era()},
                        {"known_era", this->read_up_to.era},
                        {"known_revision", this->read_up_to.revision}});
    this->require_current_list();
    if (!this->is_continuous)
        return;
    this->cancel_call();
    this->request_call();
}

// A list that may lag could be older than the known content.
void feed_watch::require_current_list() {
    this->needs_list = true;
    this->freshness = list_freshness::current;
}

void feed_watch::log_unreadable(const feed_page& page) const {
    for (const auto& each : page.unreadable)
        this->events.write(kernel::severity::warning, "feed.object_unreadable", std::nullopt,
                           {{"collection", std::string(to_string(this->kind))},
                            {"object", each.name},
                            {"revision", page.revision},
                            {"reason", each.reason}});
}

std::uint64_t feed_watch::era_of(const feed_page& page) const {
    return page.era != 0 ? page.era : this->read_up_to.era;
}

void feed_watch::on_listed(feed_result result) {
    auto* page = std::get_if<feed_page>(&result);
    if (page == nullptr) {
        const auto* reason = std::get_if<kernel::error>(&result);
        this->on_failure(reason != nullptr ? *reason : kernel::error{});
        return;
    }
    const auto finished = std::exchange(this->turn, std::nullopt);
    this->log_unreadable(*page);
    const source_position position{this->era_of(*page), page->revision};
    const bool is_continued =
        !this->partial_position || this->partial_position->era == position.era;
    // The watch starts at the lowest revision of the pages, so that it returns what has changed
    // while later pages were read. Pages of a list that may lag need not be in order.
    this->partial_position = std::min(this->partial_position.value_or(position), position);
    std::move(page->objects.begin(), page->objects.end(), std::back_inserter(this->partial_list));
    const bool is_last = !page->more || page->objects.empty();
    if (!is_continued) {
        // The source was restored between two pages.
        this->call_began.reset();
        this->partial_list.clear();
        this->partial_position.reset();
    } else if (is_last) {
        this->apply_list();
    }
    this->gate.finish(*finished, true);
    if (!is_continued || !is_last || this->is_continuous)
        this->call_after(helpers::duration::zero());
    this->gate.learn_era(position.era);
}

void feed_watch::apply_list() {
    const auto position = *std::exchange(this->partial_position, std::nullopt);
    const auto began = std::exchange(this->call_began, std::nullopt);
    feed_page page;
    page.objects = std::exchange(this->partial_list, {});
    page.revision = position.revision;
    page.era = position.era;
    this->needs_list = false;
    // A peer may have sent later content in the meantime.
    if (position < this->read_up_to) {
        this->events.write(kernel::severity::warning, "feed.list_ignored", std::nullopt,
                           {{"collection", std::string(to_string(this->kind))},
                            {"era", position.era},
                            {"revision", position.revision},
                            {"known_era", this->read_up_to.era},
                            {"known_revision", this->read_up_to.revision}});
        return;
    }
    page.all_names.emplace();
    for (const auto& object : page.objects)
        page.all_names->push_back(object.name);
    this->listed_at = this->loop.time().now();
    if (this->freshness == list_freshness::current)
        this->on_confirmed_by_call(began);
    else
        this->reachable = true;
    this->apply_whole(page, position);
}

void feed_watch::apply_whole(const feed_page& page, const source_position& position) {
    if (this->has_listed && position.era > this->read_up_to.era)
        this->receiver.on_source_restored();
    this->has_listed = true;
    this->read_up_to = position;
    this->names = {page.all_names->begin(), page.all_names->end()};
    this->receiver.replace(page.objects);
    if (this->page_handler)
        this->page_handler(page);
}

void feed_watch::on_watched(feed_result result) {
    const auto began = std::exchange(this->call_began, std::nullopt);
    this->is_polling = false;
    this->is_confirming = false;
    if (const auto* reason = std::get_if<kernel::error>(&result)) {
        // A list comes in pages, while the changes come in one response.
        if (reason->fault == kernel::response_fault::body_size)
            this->require_current_list();
        this->on_failure(*reason);
        return;
    }
    const auto finished = std::exchange(this->turn, std::nullopt);
    if (std::holds_alternative<history_lost>(result)) {
        this->events.write(kernel::severity::warning, "feed.history_lost", std::nullopt,
                           {{"collection", std::string(to_string(this->kind))},
                            {"revision", this->read_up_to.revision}});
        this->require_current_list();
        this->gate.finish(*finished, true);
        this->call_after(helpers::duration::zero());
        return;
    }
    const auto& page = std::get<feed_page>(result);
    this->log_unreadable(page);
    const source_position position{this->era_of(page), page.revision};
    // Revisions of the earlier era were given out again, so that changes would be missed.
    if (position.era > this->read_up_to.era)
        this->require_current_list();
    const bool is_current = !this->needs_list && position.era == this->read_up_to.era;
    if (is_current)
        this->on_confirmed_by_call(began);
    // A delayed response can be older than what a peer has sent meanwhile.
    if (is_current && position >= this->read_up_to)
        this->apply(page);
    this->gate.finish(*finished, true);
    if (this->is_continuous || this->needs_list)
        this->call_after(!is_current || page.objects.empty() ? helpers::duration::zero()
                                                             : this->timing.batch_delay);
    this->gate.learn_era(position.era);
}

void feed_watch::apply(const feed_page& page) {
    this->read_up_to.revision = std::max(this->read_up_to.revision, page.revision);
    for (const auto& object : page.objects) {
        if (object.is_removed)
            this->names.erase(object.name);
        else
            this->names.insert(object.name);
    }
    if (!page.objects.empty())
        this->receiver.change(page.objects);
    if (this->page_handler)
        this->page_handler(page);
}

bool feed_watch::apply_from_peer(const feed_page& page, helpers::duration peer_age) {
    const source_position position{this->era_of(page), page.revision};
    const bool is_new_era = position.era > this->read_up_to.era;
    const bool is_usable = page.all_names || (this->has_listed && !this->needs_list && !is_new_era);
    if (!is_usable || position < this->read_up_to || position.era < this->gate.era() ||
        peer_age > this->max_age())
        return false;
    const bool was_listing = this->needs_list;
    if ((!this->is_continuous && !this->is_confirming) || was_listing)
        this->cancel_call();
    this->on_confirmed(peer_age, true);
    this->needs_list = false;
    if (!this->has_listed || is_new_era) {
        this->apply_whole(page, position);
    } else {
        auto changes = page;
        if (page.all_names) {
            const std::set<std::string_view> existing(page.all_names->begin(),
                                                      page.all_names->end());
            for (const auto& name : this->names)
                if (!existing.contains(name))
                    changes.objects.push_back({name, {}, true, page.revision});
        }
        this->apply(changes);
    }
    if (this->is_continuous)
        this->request_call();
    this->gate.learn_era(position.era);
    return true;
}

// A confirmation by a peer, or by the response to a call that began earlier, may be older: a
// response waits in its buffer while the process is paused.
bool feed_watch::confirm_since(helpers::time_point moment) {
    if (!this->needs_list && this->complete_until >= moment)
        return true;
    if (this->call_began >= moment)
        return false;
    // A long poll, or a delay before the next one, would hold the query up.
    if (this->is_polling || this->call_timer != 0)
        this->cancel_call();
    this->needs_query = true;
    this->request_call();
    return false;
}

void feed_watch::on_confirmed_by_call(const std::optional<helpers::time_point>& began) {
    this->complete_until = std::max(this->complete_until, began);
    this->on_confirmed(helpers::duration::zero(), false);
}

void feed_watch::watch_continuously() {
    if (std::exchange(this->is_continuous, true))
        return;
    this->request_call();
}

void feed_watch::rely_on_peers(peer_role as) {
    this->is_continuous = false;
    this->role = as;
    this->check_age();
}

void feed_watch::on_failure(const kernel::error& reason) {
    this->call_began.reset();
    this->is_confirming = false;
    this->partial_list.clear();
    this->partial_position.reset();
    const auto finished = std::exchange(this->turn, std::nullopt);
    this->set_lost(reason.detail);
    this->gate.finish(*finished, false);
    // The gate delays the call until its next probe.
    this->request_call();
}

void feed_watch::set_lost(std::string_view reason) {
    if (this->reachable || !this->has_listed)
        this->events.write(kernel::severity::warning, "feed.unreachable", std::nullopt,
                           {{"collection", std::string(to_string(this->kind))},
                            {"revision", this->read_up_to.revision},
                            {"reason", std::string(reason)}});
    if (std::exchange(this->reachable, false))
        this->receiver.on_source_lost();
}

void feed_watch::on_confirmed(helpers::duration age, bool is_by_peer) {
    const auto now = this->loop.time().now();
    this->confirmed_at = now - age;
    this->is_confirmed_by_peer = is_by_peer;
    this->schedule_age_check(now + std::min(this->time_until_query(now), this->lost_age() - age));
    // A peer may confirm content that is out of date here at once.
    if (age >= this->lost_age() || std::exchange(this->reachable, true))
        return;
    this->events.write(kernel::severity::info, "feed.reachable", std::nullopt,
                       {{"collection", std::string(to_string(this->kind))},
                        {"revision", this->read_up_to.revision}});
    this->receiver.on_source_regained();
}

void feed_watch::call_after(helpers::duration delay) {
    this->loop.cancel(this->call_timer);
    this->call_timer = this->loop.schedule(delay, [this] {
        this->call_timer = 0;
        this->request_call();
    });
}

helpers::duration feed_watch::max_age() const {
    const std::array<helpers::duration, 3> limits{
        this->timing.max_hub_age, this->timing.max_follower_age, this->timing.max_isolated_age};
    return limits.at(static_cast<std::size_t>(this->role));
}

helpers::duration feed_watch::time_until_query(helpers::time_point now) const {
    const auto due = this->confirmed_at ? *this->confirmed_at + this->max_age()
                                        : this->listed_at + this->timing.catch_up_delay;
    return std::max(due - now, helpers::duration::zero());
}

// A feed that queries the source by itself lets its content reach max_age each time.
helpers::duration feed_watch::lost_age() const {
    if (this->is_confirmed_by_peer)
        return this->timing.peer_lost_age;
    return this->is_continuous ? this->timing.reader_lost_age
                               : this->max_age() + this->timing.reader_lost_age;
}

// Runs when the content counts as lost and when the source is to be queried.
void feed_watch::check_age() {
    const auto now = this->loop.time().now();
    if (this->confirmed_at && this->reachable && this->age(now) >= this->lost_age())
        this->set_lost("the content is out of date");
    auto next = this->time_until_query(now);
    if (next == helpers::duration::zero()) {
        this->request_call();
        next = this->timing.reader_lost_age;
    }
    if (this->reachable && this->confirmed_at)
        next = std::min(next, this->lost_age() - this->age(now));
    this->schedule_age_check(now + next);
}

// Keeps an earlier check; it schedules the next one.
void feed_watch::schedule_age_check(helpers::time_point due) {
    if (this->age_timer != 0 && this->age_check_due <= due)
        return;
    this->loop.cancel(this->age_timer);
    this->age_check_due = due;
    this->age_timer = this->loop.schedule(due - this->loop.time().now(), [this] {
        this->age_timer = 0;
        this->check_age();
    });
}

} // namespace samphirespool::discovery
