// Reports, answers, and the choice between the hub and the source.
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
      absences(timing.absence) {
    link.on_report(
        [this](const auto& from, report message) { this->receive(from, std::move(message)); });
    link.on_reply(
        [this](const auto& from, reply message) { this->receive(from, std::move(message)); });
    for (std::size_t i = 0; i < feed_count; ++i)
        this->feeds[i]->on_page([this, i](const discovery::feed_page& page, bool is_whole) {
            if (is_whole)
                this->logs[i].restart(page.revision);
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
        this->absences.set_members(group->second, this->loop.time().now());
}

helpers::duration exchange_node::interval() const {
    const auto scaled =
        this->timing.interval_per_target * static_cast<std::int64_t>(this->known_targets);
    return std::max(this->timing.interval, scaled);
}

void exchange_node::tick() {
    this->timer = this->loop.schedule(this->interval(), [this] { this->tick(); });
    this->choose_hub();
    this->choose_upstream();
    this->absences.set_hub(this->is_hub(), this->loop.time().now());
    if (!this->hub || this->is_hub())
        this->work_as_hub();
    else
        this->report_to_hub();
}

void exchange_node::suspect(const std::string& name, helpers::time_point now) {
    auto& given = this->suspicions[name];
    given.length =
        std::clamp(given.length * 2, this->timing.suspicion, this->timing.longest_suspicion);
    given.until = now + given.length;
    this->events.write(
        kernel::severity::warning, "hub.silent", std::nullopt,
        {{"hub", name}, {"passed_over_ms", helpers::whole_milliseconds(given.length)}});
}

bool exchange_node::is_suspected(const std::string& name) const {
    const auto found = this->suspicions.find(name);
    return found != this->suspicions.end() && this->loop.time().now() < found->second.until;
}

const member* exchange_node::first_candidate(const member_group& group) const {
    for (const auto& each : group) {
        const bool is_self = each.name == this->self;
        if (is_self ? !this->leaving : !this->is_suspected(each.name))
            return &each;
    }
    return nullptr;
}

void exchange_node::choose_hub() {
    const auto now = this->loop.time().now();
    if (this->upstream && now - this->last_answer > this->interval() + this->timing.answer_timeout)
        this->suspect(this->upstream->name, now);
    const auto group = this->groups.find(this->own_group);
    const auto* chosen =
        group == this->groups.end() ? nullptr : this->first_candidate(group->second);
    this->hub = chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

std::optional<member> exchange_node::find_upstream() const {
    if (!this->hub || !this->is_hub())
        return this->hub;
    auto first = this->hub;
    for (const auto& [name, group] : this->groups)
        if (const auto* each = this->first_candidate(group);
            each != nullptr && is_hub_before(*each, *first))
            first = *each;
    return first->name == this->self ? std::nullopt : first;
}

void exchange_node::choose_upstream() {
    auto chosen = this->find_upstream();
    if (chosen == this->upstream)
        return;
    this->upstream = std::move(chosen);
    this->last_answer = this->loop.time().now();
    this->is_waiting = false;
    this->ask_source_directly(this->is_hub() ? this->timing.hub_wait : this->timing.direct_wait);
    this->events.write(kernel::severity::info, "hub.chosen", std::nullopt,
                       {{"hub", this->hub ? this->hub->name : std::string()},
                        {"upstream", this->upstream ? this->upstream->name : std::string()},
                        {"members", std::uint64_t{this->members.size()}}});
}

void exchange_node::work_as_hub() {
    const auto now = this->loop.time().now();
    if (!this->upstream)
        this->ask_source_directly(this->is_hub() ? this->timing.hub_wait
                                                 : this->timing.direct_wait);
    if (!this->counts)
        return;
    const auto own = this->counts();
    this->board.report(this->self, this->own_data_centre, own, now);
    this->tell_others(this->sums_for(this->own_data_centre, now), own);
    if (!this->is_hub())
        return;
    this->ask_other_hubs();
    if (const auto gone = this->absences.take_absent(this->self, now); gone && this->absent_task)
        this->absent_task(*gone);
}

// A question and its answer carry both groups' sums, so one hub of each two asks: the later one. A
// hub in place of a lost one asks all, since they ask the lost one.
bool exchange_node::is_asker_of(const member_group& other) const {
    const auto& first = this->groups.at(this->own_group).front();
    return first.name != this->self || is_hub_before(other.front(), first);
}

void exchange_node::ask_other_hubs() {
    const auto now = this->loop.time().now();
    for (const auto& [name, group] : this->groups) {
        if (name == this->own_group || !this->is_asker_of(group))
            continue;
        // Another one is its group's hub if the first is gone; only hubs answer.
        const auto message = this->make_report(true, this->board.group_total(now));
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
    if (!this->counts || this->is_waiting)
        return;
    this->is_waiting = true;
    ++this->round;
    this->reported = this->counts();
    this->link.send(this->hub->address, this->make_report(false, this->reported));
}

const member* exchange_node::find(const helpers::endpoint& address) const {
    const auto found = std::find_if(this->members.begin(), this->members.end(),
                                    [&](const member& each) { return each.address == address; });
    return found == this->members.end() ? nullptr : &*found;
}

void exchange_node::receive(const helpers::endpoint& from, report message) {
    if (this->leaving || (message.for_group && !this->is_hub()))
        return;
    const auto now = this->loop.time().now();
    const auto* sender = this->find(from);
    const auto name = sender != nullptr ? sender->name : helpers::to_string(from);
    const auto data_centre = sender != nullptr ? sender->data_centre : std::string();
    if (message.for_group) {
        const auto group = sender != nullptr ? sender->data_centre : name;
        if (group != this->own_group)
            this->board.report_group(group, std::move(message.loads), now);
        message.loads.clear();
    } else {
        this->absences.heard(name, now);
        this->board.report(name, data_centre, std::move(message.loads), now);
    }
    this->link.send(from, this->answer_to(message, data_centre, now));
}

reply exchange_node::answer_to(const report& message, const std::string& data_centre,
                               helpers::time_point now) {
    reply result;
    result.round = message.round;
    if (message.for_group) {
        result.loads = this->board.group_total(now);
        // What others have read is no news to other hubs: its age would grow in a circle.
        if (this->upstream)
            return result;
    } else {
        const auto& totals = this->sums_for(data_centre, now);
        result.loads = totals.listed;
        result.max_unlisted_in_flight = totals.rest_at_most;
    }
    for (std::size_t i = 0; i < feed_count; ++i) {
        const auto& feed = *this->feeds[i];
        feed_update news;
        news.collection = static_cast<discovery::collection>(i);
        news.age = feed.age(now);
        news.revision = feed.position();
        auto changes = this->logs[i].since(message.revisions[i]);
        news.is_complete = feed.is_loaded() && changes.has_value() &&
                           news.revision >= message.revisions[i] &&
                           this->take_news_budget(*changes, now);
        if (news.is_complete)
            news.changes = std::move(*changes);
        result.feeds.push_back(std::move(news));
    }
    return result;
}

bool exchange_node::take_news_budget(const std::vector<discovery::feed_object>& changes,
                                     helpers::time_point now) {
    const std::chrono::duration<double> passed = now - std::exchange(this->budget_at, now);
    const auto rate = this->timing.news_bytes_per_second;
    this->news_budget = std::min(rate, this->news_budget + passed.count() * rate);
    double size = 0;
    for (const auto& each : changes)
        size += static_cast<double>(each.name.size() + each.content.size());
    if (size > this->news_budget)
        return false;
    this->news_budget -= size;
    return true;
}

void exchange_node::receive(const helpers::endpoint& from, reply message) {
    const auto now = this->loop.time().now();
    const auto* sender = this->find(from);
    if (sender == nullptr)
        return;
    const bool is_of_group = this->groups.size() > 1 && sender->data_centre != this->own_group;
    if (is_of_group && this->is_hub())
        this->board.report_group(sender->data_centre, std::move(message.loads), now);
    if (!this->upstream || this->upstream->name != sender->name || message.feeds.empty())
        return;
    this->last_answer = now;
    this->suspicions.erase(sender->name);
    if (!is_of_group && message.round == this->round) {
        this->is_waiting = false;
        this->tell_others({message.loads, message.max_unlisted_in_flight}, this->reported);
    }
    this->take_news(message.feeds);
}

void exchange_node::take_news(const std::vector<feed_update>& news) {
    bool all_followed = true;
    for (const auto& each : news) {
        auto& feed = *this->feeds.at(static_cast<std::size_t>(each.collection));
        discovery::feed_page page;
        page.objects = each.changes;
        page.revision = each.revision;
        const bool is_usable = each.is_complete && feed.take_from_peer(page, each.age);
        if (!is_usable)
            feed.ask_directly(this->is_hub() ? this->timing.hub_wait : this->timing.direct_wait);
        all_followed = all_followed && is_usable;
    }
    if (all_followed == this->following)
        return;
    this->following = all_followed;
    this->events.write(kernel::severity::info, all_followed ? "hub.followed" : "hub.left",
                       std::nullopt, {{"hub", this->upstream->name}});
}

void exchange_node::ask_source_directly(helpers::duration wait) {
    this->following = false;
    for (auto* feed : this->feeds)
        feed->ask_directly(wait);
}

const largest_counts& exchange_node::sums_for(const std::string& data_centre,
                                              helpers::time_point now) {
    auto& kept = this->newest_sums[data_centre];
    if (now - kept.at >= this->timing.sum_interval)
        kept = {largest_of(this->board.total_for(data_centre, now), this->timing.most_listed), now};
    return kept.values;
}

void exchange_node::tell_others(const largest_counts& totals, const target_counts& own) {
    this->known_targets = totals.listed.size();
    if (!this->others)
        return;
    std::unordered_map<std::uint32_t, std::uint32_t> mine;
    for (const auto& each : own)
        mine[each.incarnation_hash] = each.in_flight;
    auto rest = totals.listed;
    for (auto& each : rest) {
        const auto found = mine.find(each.incarnation_hash);
        const auto used = found == mine.end() ? 0U : found->second;
        each.in_flight -= std::min(each.in_flight, used);
    }
    this->others(rest, totals.rest_at_most, this->interval());
}

} // namespace samphirespool::exchange
