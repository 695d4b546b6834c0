// The content of reports and replies: what is sent, and what is done with what is received.
#include "exchange/exchange_node.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::exchange {

report exchange_node::make_report(bool for_group, target_counts loads) const {
    report message;
    message.round = this->round;
    message.for_group = for_group;
    message.era = this->gate.era();
    message.known_feeds = 0;
    for (std::size_t i = 0; i < feed_count; ++i) {
        if (this->feeds[i] == nullptr)
            continue;
        message.known_feeds = i + 1;
        if (const auto& position = this->feeds[i]->position(); position.era == message.era)
            message.revisions[i] = position.revision;
    }
    message.loads = std::move(loads);
    if (this->own_evidence)
        message.evidence = this->own_evidence();
    if (this->own_limits)
        message.limits = this->own_limits();
    if (this->own_speeds)
        message.speeds = this->own_speeds();
    if (this->configurations != nullptr)
        message.configuration_version = this->configurations->version_in_force();
    return message;
}

void exchange_node::add_configuration(report& message, const std::string& receiver) {
    if (this->configurations != nullptr && this->askers.erase(receiver) != 0)
        message.configuration = this->configurations->content_in_force();
}

// What the feed brings to a receiver that has not read so far is left to it.
void exchange_node::add_configuration(reply& result, const report& message,
                                      helpers::time_point now) {
    if (this->configurations == nullptr || message.configuration_version == 0)
        return;
    const auto own = this->configurations->version_in_force();
    if (message.configuration_version > own) {
        result.wants_configuration = now >= this->next_question_at;
        if (result.wants_configuration)
            this->next_question_at = now + this->timing.reply_timeout;
        return;
    }
    constexpr auto index = static_cast<std::size_t>(discovery::collection::configuration);
    const discovery::source_position known{message.era, message.revisions.at(index)};
    const auto content = this->configurations->content_in_force();
    const auto size = static_cast<double>(content.size());
    if (message.configuration_version == own || known < this->feeds.at(index)->position() ||
        content.size() > configuration_channel::max_content || size > this->update_budget_bytes)
        return;
    this->update_budget_bytes -= size;
    result.configuration = content;
}

void exchange_node::receive_configuration(const std::string& content) const {
    if (this->configurations != nullptr && !content.empty())
        this->configurations->offer(content);
}

void exchange_node::merge_evidence(const admission::crash_evidence_list& received) const {
    if (!received.empty() && this->evidence_handler)
        this->evidence_handler(received);
}

void exchange_node::merge_limits(const admission::target_limit_list& received) const {
    if (!received.empty() && this->limits_handler)
        this->limits_handler(received);
}

void exchange_node::merge_speeds(const admission::target_speed_list& received) const {
    if (!received.empty() && this->speeds_handler)
        this->speeds_handler(received);
}

// Results go to the upstream gateway only, so that they are counted once.
void exchange_node::add_rollouts(report& message, const std::string& receiver) {
    if (this->rollouts == nullptr)
        return;
    const bool is_first = this->receiver_with_rows != receiver;
    this->receiver_with_rows = receiver;
    message.rollout_rows = this->rollouts->rows(message.for_group, is_first);
    message.rollout_directives = this->rollouts->directives();
}

// A report of another gateway gives no bound of its own age, so its directives are taken for no
// longer valid; a `reverted` one holds without limit.
void exchange_node::merge_rollouts(const report& message, const std::string& sender) {
    if (this->rollouts == nullptr)
        return;
    // The members of this group report to this hub themselves.
    const bool is_own_group = message.for_group && sender == this->own_group;
    if (!message.rollout_rows.empty() && !is_own_group)
        this->rollouts->merge_rows(sender, message.for_group, message.rollout_rows);
    if (!message.rollout_directives.empty())
        this->rollouts->merge_directives(message.rollout_directives, std::chrono::hours(1));
}

// A hub that has just been chosen gets all streams of this gateway.
void exchange_node::add_stream_origins(report& message, bool is_first_to_receiver) const {
    if (this->origins == nullptr)
        return;
    const auto now = this->loop.time().now();
    message.origins = this->origins->news(now, is_first_to_receiver);
    if (message.for_group)
        return;
    message.wanted_origins = this->origins->wanted(now);
    message.wanted_services = this->origins->wanted_services(now);
}

// Another hub gets the new streams of this group. A follower gets what it looks up, and the one
// that succeeds this hub also the new streams.
stream_origin_list exchange_node::make_stream_origins(const report& message, const member* sender,
                                                      helpers::time_point now) const {
    if (this->origins == nullptr)
        return {};
    if (message.for_group)
        return this->origins->news(now, false);
    auto result = this->origins->answers(message.wanted_origins, message.wanted_services, now);
    const auto group = this->groups.find(this->own_group);
    if (group == this->groups.end() || sender == nullptr)
        return result;
    const auto self_at =
        std::find_if(group->second.begin(), group->second.end(),
                     [this](const member& each) { return each.name == this->self; });
    if (self_at != group->second.end() && std::next(self_at) != group->second.end() &&
        std::next(self_at)->name == sender->name) {
        const auto news = this->origins->news(now, false);
        result.insert(result.end(), news.begin(), news.end());
    }
    return result;
}

void exchange_node::receive(const helpers::endpoint& from, report message) {
    if (this->has_resigned || (message.for_group && !this->is_hub()))
        return;
    const auto now = this->loop.time().now();
    if (message.wants_updates)
        this->last_report_at = now;
    this->gate.learn_era(message.era);
    this->merge_evidence(message.evidence);
    this->merge_limits(message.limits);
    this->merge_speeds(message.speeds);
    if (this->origins != nullptr)
        this->origins->merge(message.origins, !message.for_group, now);
    this->receive_configuration(message.configuration);
    const auto* sender = this->find_member(from);
    const auto name = sender != nullptr ? sender->name : helpers::to_string(from);
    const auto data_centre = sender != nullptr ? sender->data_centre : std::string();
    this->merge_rollouts(message, message.for_group ? data_centre : name);
    if (message.for_group) {
        const auto group = sender != nullptr ? sender->data_centre : name;
        if (group != this->own_group)
            this->aggregator.set_group_counts(group, std::move(message.loads), now);
        message.loads.clear();
    } else {
        this->absent_members.on_report(name, now);
        this->aggregator.set_member_counts(name, data_centre, std::move(message.loads), now);
    }
    this->link.send(from, this->make_reply(message, sender, now));
}

reply exchange_node::make_reply(const report& message, const member* sender,
                                helpers::time_point now) {
    const auto data_centre = sender != nullptr ? sender->data_centre : std::string();
    reply result;
    result.round = message.round;
    if (this->own_evidence)
        result.evidence = this->own_evidence();
    if (this->own_limits)
        result.limits = this->own_limits();
    if (this->own_speeds)
        result.speeds = this->own_speeds();
    result.origins = this->make_stream_origins(message, sender, now);
    if (this->rollouts != nullptr)
        result.rollout_directives = this->rollouts->directives();
    if (message.for_group) {
        result.loads = this->aggregator.group_total(now);
        // Older updates are of no use to a hub.
        if (this->oldest_feed_age(now) > this->timing.freshness.hub_age)
            return result;
    } else {
        const auto& totals = this->totals_for(data_centre, now);
        result.loads = totals.listed;
        result.max_unlisted_in_flight = totals.max_unlisted_in_flight;
    }
    if (message.wants_updates)
        result.feeds = this->make_updates(message, now);
    this->add_configuration(result, message, now);
    return result;
}

std::vector<feed_update> exchange_node::make_updates(const report& message,
                                                     helpers::time_point now) {
    std::vector<feed_update> result;
    for (std::size_t i = 0; i < message.known_feeds; ++i) {
        if (this->feeds[i] == nullptr)
            break;
        const auto& feed = *this->feeds[i];
        feed_update update;
        update.collection = static_cast<discovery::collection>(i);
        update.age = feed.age(now);
        update.position = feed.position();
        const discovery::source_position known{message.era, message.revisions[i]};
        if (feed.is_loaded() && update.position >= known)
            update.difference = this->logs[i].changes_since(known);
        if (update.difference && !this->consume_update_budget(*update.difference, now))
            update.difference.reset();
        result.push_back(std::move(update));
    }
    return result;
}

bool exchange_node::consume_update_budget(const feed_difference& difference,
                                          helpers::time_point now) {
    const std::chrono::duration<double> elapsed =
        now - std::exchange(this->budget_refilled_at, now);
    const auto rate = this->timing.update_bytes_per_second;
    this->update_budget_bytes = std::min(rate, this->update_budget_bytes + elapsed.count() * rate);
    const auto size = static_cast<double>(difference.bytes());
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
    this->suspicions.erase(sender->name);
    this->receive_configuration(message.configuration);
    if (message.wants_configuration && this->configurations != nullptr &&
        this->configurations->content_in_force().size() <= configuration_channel::max_content)
        this->askers.insert(sender->name);
    this->merge_evidence(message.evidence);
    this->merge_limits(message.limits);
    this->merge_speeds(message.speeds);
    if (this->origins != nullptr)
        this->origins->merge(message.origins, false, now);
    const bool is_from_other_group =
        this->groups.size() > 1 && sender->data_centre != this->own_group;
    if (is_from_other_group && this->is_hub())
        this->aggregator.set_group_counts(sender->data_centre, std::move(message.loads), now);
    if (!this->upstream || this->upstream->name != sender->name)
        return;
    this->last_reply_at = now;
    const auto delay = this->round_trip(message.round);
    if (this->rollouts != nullptr && delay && !message.rollout_directives.empty())
        this->rollouts->merge_directives(message.rollout_directives, *delay);
    if (message.feeds.empty() || !delay)
        return;
    this->last_update_at = now;
    for (auto& each : message.feeds)
        each.age += *delay;
    if (!is_from_other_group && message.round == this->round) {
        this->is_awaiting_reply = false;
        this->publish_peer_counts({message.loads, message.max_unlisted_in_flight},
                                  this->last_reported_counts);
    }
    this->apply_updates(std::move(message.feeds));
}

void exchange_node::apply_updates(std::vector<feed_update> updates) {
    bool follows_all = true;
    for (auto& each : updates) {
        auto* known = this->feeds.at(static_cast<std::size_t>(each.collection));
        if (known == nullptr)
            continue;
        auto& feed = *known;
        this->gate.learn_era(each.position.era);
        if (!each.difference) {
            follows_all = false;
            continue;
        }
        discovery::feed_page page;
        page.objects = std::move(each.difference->changes);
        page.all_names = std::move(each.difference->all_names);
        page.revision = each.position.revision;
        page.era = each.position.era;
        follows_all = feed.apply_from_peer(page, each.age) && follows_all;
    }
    if (follows_all == this->follows_upstream)
        return;
    this->follows_upstream = follows_all;
    this->events.write(kernel::severity::info, follows_all ? "hub.followed" : "hub.left",
                       std::nullopt, {{"hub", this->upstream->name}});
}

} // namespace samphirespool::exchange
