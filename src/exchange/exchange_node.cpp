// Hub selection, reports and replies, and the switch between upstream and source.
#include "exchange/exchange_node.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::exchange {

exchange_node::exchange_node(kernel::loop& loop, kernel::event_sink& events, exchange_link& link,
                             const feed_list& feeds, std::string self,
                             const exchange_timing& timing)
    : loop(loop),
      events(events),
      link(link),
      feeds(feeds),
      self(std::move(self)),
      timing(timing),
      absent_members(timing.absence) {
    link.on_report(
        [this](const auto& from, report message) { this->receive(from, std::move(message)); });
    link.on_reply(
        [this](const auto& from, reply message) { this->receive(from, std::move(message)); });
    for (std::size_t i = 0; i < feed_count; ++i)
        this->feeds[i]->on_page([this, i](const discovery::feed_page& page, bool is_whole) {
            if (is_whole)
                this->logs[i].reset(page.revision);
            else
                this->logs[i].append(page);
        });
}

exchange_node::~exchange_node() {
    this->loop.cancel(this->timer);
}

void exchange_node::start() {
    this->tick();
}

void exchange_node::set_members(std::vector<member> list) {
    this->members = std::move(list);
    this->groups = group_members(this->members);
    this->own_group.clear();
    for (const auto& each : this->members) {
        if (each.name != this->self)
            continue;
        this->own_data_centre = each.data_centre;
        if (!this->groups.contains(this->own_group))
            this->own_group = each.data_centre;
    }
    if (const auto group = this->groups.find(this->own_group); group != this->groups.end())
        this->absent_members.set_members(group->second, this->loop.time().now());
}

helpers::duration exchange_node::report_interval() const {
    const auto scaled = this->timing.report_interval_per_target *
                        static_cast<std::int64_t>(this->listed_target_count);
    return std::max(this->timing.report_interval, scaled);
}

void exchange_node::tick() {
    this->timer = this->loop.schedule(this->report_interval(), [this] { this->tick(); });
    this->choose_hub();
    this->choose_upstream();
    this->absent_members.set_is_hub(this->is_hub(), this->loop.time().now());
    if (!this->hub || this->is_hub())
        this->run_as_hub();
    else
        this->report_to_hub();
}

void exchange_node::suspect(const std::string& name, helpers::time_point now) {
    auto& entry = this->suspicions[name];
    entry.duration =
        std::clamp(entry.duration * 2, this->timing.initial_suspicion, this->timing.max_suspicion);
    entry.expires_at = now + entry.duration;
    this->events.write(
        kernel::severity::warning, "hub.silent", std::nullopt,
        {{"hub", name}, {"passed_over_ms", helpers::whole_milliseconds(entry.duration)}});
}

bool exchange_node::is_suspected(const std::string& name) const {
    const auto found = this->suspicions.find(name);
    return found != this->suspicions.end() && this->loop.time().now() < found->second.expires_at;
}

const member* exchange_node::first_hub_candidate(const member_group& group) const {
    for (const auto& each : group) {
        const bool is_self = each.name == this->self;
        if (is_self ? !this->has_resigned : !this->is_suspected(each.name))
            return &each;
    }
    return nullptr;
}

void exchange_node::choose_hub() {
    const auto now = this->loop.time().now();
    if (this->upstream &&
        now - this->last_reply_at > this->report_interval() + this->timing.reply_timeout)
        this->suspect(this->upstream->name, now);
    const auto group = this->groups.find(this->own_group);
    const auto* chosen =
        group == this->groups.end() ? nullptr : this->first_hub_candidate(group->second);
    this->hub = chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

std::optional<member> exchange_node::find_upstream() const {
    if (!this->hub || !this->is_hub())
        return this->hub;
    auto first = this->hub;
    for (const auto& [name, group] : this->groups)
        if (const auto* each = this->first_hub_candidate(group);
            each != nullptr && precedes_as_hub(*each, *first))
            first = *each;
    return first->name == this->self ? std::nullopt : first;
}

void exchange_node::choose_upstream() {
    auto chosen = this->find_upstream();
    if (chosen == this->upstream)
        return;
    this->upstream = std::move(chosen);
    this->last_reply_at = this->loop.time().now();
    this->is_awaiting_reply = false;
    this->watch_source_directly(this->is_hub() ? this->timing.hub_watch_wait
                                               : this->timing.direct_watch_wait);
    this->events.write(kernel::severity::info, "hub.chosen", std::nullopt,
                       {{"hub", this->hub ? this->hub->name : std::string()},
                        {"upstream", this->upstream ? this->upstream->name : std::string()},
                        {"members", std::uint64_t{this->members.size()}}});
}

void exchange_node::run_as_hub() {
    const auto now = this->loop.time().now();
    if (!this->upstream)
        this->watch_source_directly(this->is_hub() ? this->timing.hub_watch_wait
                                                   : this->timing.direct_watch_wait);
    if (!this->own_counts)
        return;
    const auto own = this->own_counts();
    this->aggregator.set_member_counts(this->self, this->own_data_centre, own, now);
    this->publish_peer_counts(this->totals_for(this->own_data_centre, now), own);
    if (!this->is_hub())
        return;
    this->report_to_other_hubs();
    if (const auto absent = this->absent_members.pop_absent_member(this->self, now);
        absent && this->absent_handler)
        this->absent_handler(*absent);
}

// A report and its reply carry the totals of both groups, so only one hub of each pair reports: the
// later one in the hub order. A hub that replaces a failed one reports to all, since their reports
// still go to the failed one.
bool exchange_node::must_report_to(const member_group& other) const {
    const auto& first = this->groups.at(this->own_group).front();
    return first.name != this->self || precedes_as_hub(other.front(), first);
}

void exchange_node::report_to_other_hubs() {
    const auto now = this->loop.time().now();
    for (const auto& [name, group] : this->groups) {
        if (name == this->own_group || !this->must_report_to(group))
            continue;
        // If the first member has failed, the second one is the hub; only hubs reply.
        const auto message = this->make_report(true, this->aggregator.group_total(now));
        this->link.send(group.front().address, message);
        if (this->is_suspected(group.front().name) && group.size() > 1)
            this->link.send(group[1].address, message);
    }
}

report exchange_node::make_report(bool for_group, target_counts loads) const {
    report message;
    message.round = this->round;
    message.for_group = for_group;
    for (std::size_t i = 0; i < feed_count; ++i)
        message.revisions[i] = this->feeds[i]->position();
    message.loads = std::move(loads);
    return message;
}

void exchange_node::report_to_hub() {
    if (!this->own_counts || this->is_awaiting_reply)
        return;
    this->is_awaiting_reply = true;
    ++this->round;
    this->last_reported_counts = this->own_counts();
    this->link.send(this->hub->address, this->make_report(false, this->last_reported_counts));
}

const member* exchange_node::find_member(const helpers::endpoint& address) const {
    const auto found = std::find_if(this->members.begin(), this->members.end(),
                                    [&](const member& each) { return each.address == address; });
    return found == this->members.end() ? nullptr : &*found;
}

void exchange_node::receive(const helpers::endpoint& from, report message) {
    if (this->has_resigned || (message.for_group && !this->is_hub()))
        return;
    const auto now = this->loop.time().now();
    const auto* sender = this->find_member(from);
    const auto name = sender != nullptr ? sender->name : helpers::to_string(from);
    const auto data_centre = sender != nullptr ? sender->data_centre : std::string();
    if (message.for_group) {
        const auto group = sender != nullptr ? sender->data_centre : name;
        if (group != this->own_group)
            this->aggregator.set_group_counts(group, std::move(message.loads), now);
        message.loads.clear();
    } else {
        this->absent_members.on_report(name, now);
        this->aggregator.set_member_counts(name, data_centre, std::move(message.loads), now);
    }
    this->link.send(from, this->make_reply(message, data_centre, now));
}

reply exchange_node::make_reply(const report& message, const std::string& data_centre,
                                helpers::time_point now) {
    reply result;
    result.round = message.round;
    if (message.for_group) {
        result.loads = this->aggregator.group_total(now);
        // Only the first hub sends feed updates to other hubs. Updates that a hub received from
        // another one could otherwise circulate between hubs while their age grows.
        if (this->upstream)
            return result;
    } else {
        const auto& totals = this->totals_for(data_centre, now);
        result.loads = totals.listed;
        result.max_unlisted_in_flight = totals.max_unlisted_in_flight;
    }
    for (std::size_t i = 0; i < feed_count; ++i) {
        const auto& feed = *this->feeds[i];
        feed_update update;
        update.collection = static_cast<discovery::collection>(i);
        update.age = feed.age(now);
        update.revision = feed.position();
        auto changes = this->logs[i].changes_since(message.revisions[i]);
        update.is_complete = feed.is_loaded() && changes.has_value() &&
                             update.revision >= message.revisions[i] &&
                             this->consume_update_budget(*changes, now);
        if (update.is_complete)
            update.changes = std::move(*changes);
        result.feeds.push_back(std::move(update));
    }
    return result;
}

bool exchange_node::consume_update_budget(const std::vector<discovery::feed_object>& changes,
                                          helpers::time_point now) {
    const std::chrono::duration<double> elapsed =
        now - std::exchange(this->budget_refilled_at, now);
    const auto rate = this->timing.update_bytes_per_second;
    this->update_budget_bytes = std::min(rate, this->update_budget_bytes + elapsed.count() * rate);
    double size = 0;
    for (const auto& each : changes)
        size += static_cast<double>(each.name.size() + each.content.size());
    if (size > this->update_budget_bytes)
        return false;
    this->update_budget_bytes -= size;
    return true;
}

void exchange_node::receive(const helpers::endpoint& from, reply message) {
    const auto now = this->loop.time().now();
    const auto* sender = this->find_member(from);
    if (sender == nullptr)
        return;
    const bool is_from_other_group =
        this->groups.size() > 1 && sender->data_centre != this->own_group;
    if (is_from_other_group && this->is_hub())
        this->aggregator.set_group_counts(sender->data_centre, std::move(message.loads), now);
    if (!this->upstream || this->upstream->name != sender->name || message.feeds.empty())
        return;
    this->last_reply_at = now;
    this->suspicions.erase(sender->name);
    if (!is_from_other_group && message.round == this->round) {
        this->is_awaiting_reply = false;
        this->publish_peer_counts({message.loads, message.max_unlisted_in_flight},
                                  this->last_reported_counts);
    }
    this->apply_updates(message.feeds);
}

void exchange_node::apply_updates(const std::vector<feed_update>& updates) {
    bool follows_all = true;
    for (const auto& each : updates) {
        auto& feed = *this->feeds.at(static_cast<std::size_t>(each.collection));
        discovery::feed_page page;
        page.objects = each.changes;
        page.revision = each.revision;
        const bool was_applied = each.is_complete && feed.apply_from_peer(page, each.age);
        if (!was_applied)
            feed.watch_directly(this->is_hub() ? this->timing.hub_watch_wait
                                               : this->timing.direct_watch_wait);
        follows_all = follows_all && was_applied;
    }
    if (follows_all == this->follows_upstream)
        return;
    this->follows_upstream = follows_all;
    this->events.write(kernel::severity::info, follows_all ? "hub.followed" : "hub.left",
                       std::nullopt, {{"hub", this->upstream->name}});
}

void exchange_node::watch_source_directly(helpers::duration wait) {
    this->follows_upstream = false;
    for (auto* feed : this->feeds)
        feed->watch_directly(wait);
}

const top_counts& exchange_node::totals_for(const std::string& data_centre,
                                            helpers::time_point now) {
    auto& cached = this->totals_cache[data_centre];
    if (now - cached.at >= this->timing.aggregate_interval)
        cached = {select_top(this->aggregator.total_for(data_centre, now),
                             this->timing.max_listed_targets),
                  now};
    return cached.values;
}

void exchange_node::publish_peer_counts(const top_counts& totals, const target_counts& own) {
    this->listed_target_count = totals.listed.size();
    if (!this->peer_counts_handler)
        return;
    std::unordered_map<std::uint32_t, std::uint32_t> own_in_flight;
    for (const auto& each : own)
        own_in_flight[each.incarnation_hash] = each.in_flight;
    auto peer_totals = totals.listed;
    for (auto& each : peer_totals) {
        const auto found = own_in_flight.find(each.incarnation_hash);
        const auto local = found == own_in_flight.end() ? 0U : found->second;
        each.in_flight -= std::min(each.in_flight, local);
    }
    this->peer_counts_handler(peer_totals, totals.max_unlisted_in_flight, this->report_interval());
}

} // namespace samphirespool::exchange
