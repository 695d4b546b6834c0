// Hub selection, the rounds of reports, and the switch between upstream and source. What reports
// and replies contain is in exchange_node_messages.cpp.
#include "exchange/exchange_node.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::exchange {

namespace {

// Collects what happens within a few milliseconds into one report.
constexpr helpers::duration early_report_delay = std::chrono::milliseconds(20);

// The member list and the quarantine may be older than the others: the exchange itself notices lost
// members, and carries the evidence that leads to a quarantine.
bool may_be_old(discovery::collection kind) {
    return kind == discovery::collection::members || kind == discovery::collection::quarantine;
}

} // namespace

exchange_node::exchange_node(kernel::loop& loop, kernel::event_sink& events, exchange_link& link,
                             const feed_list& feeds, discovery::source_gate& gate, std::string self,
                             const exchange_timing& timing)
    : loop(loop),
      events(events),
      link(link),
      feeds(feeds),
      gate(gate),
      self(std::move(self)),
      timing(timing),
      absent_members(timing.absence) {
    link.on_report(
        [this](const auto& from, report message) { this->receive(from, std::move(message)); });
    link.on_reply(
        [this](const auto& from, reply message) { this->receive(from, std::move(message)); });
    for (std::size_t i = 0; i < feed_count; ++i)
        if (this->feeds[i] != nullptr)
            this->feeds[i]->on_page(
                [this, i](const discovery::feed_page& page) { this->logs[i].apply(page); });
}

exchange_node::~exchange_node() {
    this->loop.cancel(this->timer);
    this->loop.cancel(this->early_report_timer);
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
    this->check_upstream();
    this->choose_hub();
    this->choose_upstream();
    this->set_source_role();
    this->absent_members.set_is_hub(this->is_hub(), this->loop.time().now());
    if (!this->hub || this->is_hub())
        this->run_as_hub();
    else
        this->report_to_hub();
    this->probe_silent_hubs();
}

// Reports without content to hubs that were silent; their reply ends the suspicion. So a gateway
// returns to its hub soon after a partition, without relying on it before.
void exchange_node::probe_silent_hubs() {
    const auto now = this->loop.time().now();
    const auto group = this->groups.find(this->own_group);
    if (group == this->groups.end() || now < this->next_hub_probe_at)
        return;
    this->next_hub_probe_at = now + this->timing.hub_probe_interval;
    auto message = this->make_report(false, {});
    message.wants_updates = false;
    std::size_t probes = 0;
    for (const auto& each : group->second) {
        if (probes == max_probed_hubs || (this->hub && each.name == this->hub->name))
            break;
        if (each.name == this->self || !this->is_suspected(each.name))
            continue;
        this->link.send(each.address, message);
        ++probes;
    }
}

void exchange_node::suspicion::renew(helpers::time_point now, const exchange_timing& timing) {
    this->duration = std::clamp(this->duration * 2, timing.initial_suspicion, timing.max_suspicion);
    this->expires_at = now + this->duration;
}

void exchange_node::suspect(const std::string& name, helpers::time_point now) {
    auto& entry = this->suspicions[name];
    entry.renew(now, this->timing);
    this->events.write(
        kernel::severity::warning, "hub.silent", std::nullopt,
        {{"hub", name}, {"passed_over_ms", helpers::whole_milliseconds(entry.duration)}});
}

void exchange_node::skip_outdated_reader(const std::string& name, helpers::time_point now) {
    auto& entry = this->outdated_readers[name];
    if (now < entry.expires_at)
        return;
    entry.renew(now, this->timing);
    this->events.write(
        kernel::severity::warning, "hub.outdated", std::nullopt,
        {{"hub", name}, {"passed_over_ms", helpers::whole_milliseconds(entry.duration)}});
}

bool exchange_node::is_outdated(const std::string& name) const {
    const auto found = this->outdated_readers.find(name);
    return found != this->outdated_readers.end() &&
           this->loop.time().now() < found->second.expires_at;
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

void exchange_node::check_upstream() {
    const auto now = this->loop.time().now();
    const auto limit = this->report_interval() + this->timing.reply_timeout;
    if (this->upstream && now - this->last_reply_at > limit)
        this->suspect(this->upstream->name, now);
    else if (this->upstream && this->is_hub() && now - this->last_update_at > limit)
        this->skip_outdated_reader(this->upstream->name, now);
    // If this gateway does not reach the source, another hub may.
    if (this->role == source_role::reader && now - this->role_since > limit &&
        this->oldest_feed_age(now) > this->timing.freshness.hub_age)
        this->skip_outdated_reader(this->self, now);
}

void exchange_node::choose_hub() {
    const auto group = this->groups.find(this->own_group);
    const auto* chosen =
        group == this->groups.end() ? nullptr : this->first_hub_candidate(group->second);
    this->hub = chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

std::optional<member> exchange_node::find_upstream() const {
    if (!this->hub || !this->is_hub())
        return this->hub;
    const auto reader = this->find_reader();
    return reader && reader->name != this->self ? reader : std::nullopt;
}

// The first hub of all that has recent feed content, as far as this hub knows.
std::optional<member> exchange_node::find_reader() const {
    std::optional<member> first;
    for (const auto& [name, group] : this->groups) {
        const auto* each = this->first_hub_candidate(group);
        if (each != nullptr && !this->is_outdated(each->name) &&
            (!first || precedes_as_hub(*each, *first)))
            first = *each;
    }
    return first;
}

void exchange_node::choose_upstream() {
    auto chosen = this->find_upstream();
    if (chosen == this->upstream)
        return;
    this->upstream = std::move(chosen);
    this->last_reply_at = this->loop.time().now();
    this->last_update_at = this->last_reply_at;
    this->is_awaiting_reply = false;
    this->follows_upstream = false;
    this->events.write(kernel::severity::info, "hub.chosen", std::nullopt,
                       {{"hub", this->hub ? this->hub->name : std::string()},
                        {"upstream", this->upstream ? this->upstream->name : std::string()},
                        {"members", std::uint64_t{this->members.size()}}});
}

void exchange_node::set_source_role() {
    this->gate.set_backoff(this->probe_backoff());
    const auto chosen = this->choose_source_role();
    if (chosen == std::exchange(this->role, chosen))
        return;
    this->role_since = this->loop.time().now();
    for (auto* feed : this->feeds) {
        if (feed == nullptr)
            continue;
        if (chosen == source_role::reader)
            feed->watch_continuously();
        else if (chosen == source_role::isolated)
            feed->rely_on_peers(discovery::peer_role::isolated);
        else
            feed->rely_on_peers(chosen == source_role::hub ? discovery::peer_role::hub
                                                           : discovery::peer_role::follower);
    }
}

exchange_node::source_role exchange_node::choose_source_role() const {
    if (!this->is_hub())
        return source_role::follower;
    if (this->upstream)
        return source_role::hub;
    const bool is_needed =
        this->last_report_at &&
        this->loop.time().now() - *this->last_report_at <= this->timing.reader_time;
    return is_needed ? source_role::reader : source_role::isolated;
}

discovery::backoff_limits exchange_node::probe_backoff() const {
    const bool has_replying_hub = !this->is_hub() && this->upstream &&
                                  this->loop.time().now() - this->last_reply_at <=
                                      this->report_interval() + this->timing.reply_timeout;
    if (!has_replying_hub)
        return this->timing.backoff;
    const auto scaled =
        this->timing.follower_backoff_per_member * static_cast<std::int64_t>(this->members.size());
    const auto longest =
        std::clamp(scaled, this->timing.backoff.max, this->timing.max_follower_backoff);
    return {longest / 2, longest};
}

helpers::duration exchange_node::oldest_feed_age(helpers::time_point now) const {
    auto oldest = helpers::duration::zero();
    for (std::size_t i = 0; i < feed_count; ++i)
        if (this->feeds[i] != nullptr && !may_be_old(static_cast<discovery::collection>(i)))
            oldest = std::max(oldest, this->feeds[i]->age(now));
    return oldest;
}

void exchange_node::run_as_hub() {
    const auto now = this->loop.time().now();
    if (this->origins != nullptr)
        this->origins->on_round_without_hub(now);
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
// still go to the failed one. A hub reports to its upstream in any case.
bool exchange_node::must_report_to(const std::string& name, const member_group& other) const {
    const auto& first = this->groups.at(this->own_group).front();
    return first.name != this->self || precedes_as_hub(other.front(), first) ||
           (this->upstream && this->upstream->data_centre == name);
}

void exchange_node::report_to_other_hubs() {
    const auto now = this->loop.time().now();
    this->start_round();
    for (const auto& [name, group] : this->groups) {
        if (name == this->own_group || !this->must_report_to(name, group))
            continue;
        // If the first member has failed, the second one is the hub; only hubs reply.
        auto message = this->make_report(true, this->aggregator.group_total(now));
        message.wants_updates = this->upstream && this->upstream->data_centre == name;
        this->add_stream_origins(message, false);
        if (message.wants_updates)
            this->add_rollouts(message, this->upstream->name);
        this->add_configuration(message, group.front().name);
        this->link.send(group.front().address, message);
        if (this->is_suspected(group.front().name) && group.size() > 1)
            this->link.send(group[1].address, message);
    }
}

void exchange_node::report_early() {
    if (this->early_report_timer != 0 || !this->hub || this->is_hub())
        return;
    this->early_report_timer = this->loop.schedule(early_report_delay, [this] {
        this->early_report_timer = 0;
        if (this->hub && !this->is_hub())
            this->report_to_hub();
    });
}

void exchange_node::report_to_hub() {
    if (!this->own_counts || this->is_awaiting_reply)
        return;
    this->is_awaiting_reply = true;
    this->start_round();
    this->last_reported_counts = this->own_counts();
    auto message = this->make_report(false, this->last_reported_counts);
    this->add_stream_origins(message, this->hub_with_streams != this->hub->name);
    this->hub_with_streams = this->hub->name;
    this->add_rollouts(message, this->hub->name);
    this->add_configuration(message, this->hub->name);
    this->link.send(this->hub->address, message);
}

void exchange_node::start_round() {
    ++this->round;
    this->report_times[this->round % this->report_times.size()] = this->loop.time().now();
}

// An upper bound of the time that a reply and the report before it were on their way. Empty if the
// report was sent too long ago to be remembered.
std::optional<helpers::duration> exchange_node::round_trip(std::uint32_t reply_round) const {
    if (this->round - reply_round >= this->report_times.size())
        return std::nullopt;
    return this->loop.time().now() - this->report_times[reply_round % this->report_times.size()];
}

const member* exchange_node::find_member(const helpers::endpoint& address) const {
    const auto found = std::find_if(this->members.begin(), this->members.end(),
                                    [&](const member& each) { return each.address == address; });
    return found == this->members.end() ? nullptr : &*found;
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
