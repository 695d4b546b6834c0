// Merging and sending of the rows of rollouts.
#include "gateway/rollout_evidence.hpp"

#include <algorithm>
#include <iterator>

namespace samphirespool::gateway {

namespace {

// All rows are sent every so many reports, about once a second.
constexpr std::uint32_t full_interval = 10;

rollout::evidence_row from_message(const exchange::rollout_row& row) {
    rollout::evidence_row result;
    result.key = {row.service, rollout::order_id{row.order}, row.target, row.route};
    result.values.answered = row.answered;
    result.values.failed = std::min(row.failed, row.answered);
    const auto classes = std::min(row.durations.size(), result.values.durations.size());
    std::copy_n(row.durations.begin(), classes, result.values.durations.begin());
    return result;
}

exchange::rollout_row to_message(const rollout::row_key& key, const rollout::counts& values) {
    exchange::rollout_row result{key.service,     key.order.value, key.target, key.route,
                                 values.answered, values.failed,   {}};
    const auto last = std::find_if(values.durations.rbegin(), values.durations.rend(),
                                   [](auto count) { return count > 0; });
    result.durations.assign(values.durations.begin(), last.base());
    return result;
}

} // namespace

void rollout_evidence::retain(rollout::service_key service, rollout::order_id order,
                              rollout::software_key to) {
    this->own_log.begin(service, order, to);
    const auto is_former = [&](const auto& each) {
        return each.first.service == service && each.first.order != order;
    };
    for (auto* each : {&this->own, &this->members, &this->groups})
        each->retain(service, order);
    for (auto* each : {&this->latest_of_members, &this->latest_of_groups})
        for (auto& [name, rows] : *each)
            std::erase_if(rows, is_former);
    std::erase_if(this->last_sent, is_former);
    this->orders[service] = order;
}

void rollout_evidence::end(rollout::service_key service) {
    this->own_log.end(service);
    this->orders.erase(service);
}

void rollout_evidence::merge(const std::string& sender, bool for_group,
                             const exchange::rollout_row_list& rows) {
    std::vector<rollout::evidence_row> known;
    for (const auto& row : rows) {
        const auto found = this->orders.find(row.service);
        // The order may not have been read here yet; the rows are sent again.
        if (found != this->orders.end() && found->second.value == row.order)
            known.push_back(from_message(row));
    }
    if (for_group)
        this->merge_group(sender, known);
    else
        this->merge_member(sender, known);
}

// Counts that decrease are those of another life of the member, which go on from 0.
void rollout_evidence::merge_member(const std::string& name,
                                    const std::vector<rollout::evidence_row>& rows) {
    auto& latest = this->latest_of_members[name];
    const bool has_restarted = std::any_of(rows.begin(), rows.end(), [&](const auto& row) {
        return row.values.answered < latest[row.key].answered;
    });
    if (has_restarted) {
        ++this->restarts[name];
        latest.clear();
    }
    for (const auto& row : rows)
        latest[row.key] = row.values;
    this->members.merge(name + "#" + std::to_string(this->restarts[name]), rows);
}

// A hub that has just taken over its group, or one of two hubs of a group, may know less than the
// sender of the latest rows. The counts never decrease, so the larger ones are right.
void rollout_evidence::merge_group(const std::string& name,
                                   const std::vector<rollout::evidence_row>& rows) {
    auto& latest = this->latest_of_groups[name];
    std::vector<rollout::evidence_row> later;
    for (const auto& row : rows) {
        if (row.values.answered < latest[row.key].answered)
            continue;
        latest[row.key] = row.values;
        later.push_back(row);
    }
    this->groups.merge(name, later);
}

void rollout_evidence::collect_own(helpers::time_point now) {
    this->own.merge("", this->own_log.changed_rows(now));
}

rollout_evidence::row_map rollout_evidence::sum(rollout::service_key service,
                                                rollout::order_id order, bool with_members,
                                                bool with_groups) const {
    auto result = this->own.rows_of(service, order);
    if (with_members)
        for (const auto& [key, values] : this->members.rows_of(service, order))
            result[key].add(values);
    if (with_groups)
        for (const auto& [key, values] : this->groups.rows_of(service, order))
            result[key].add(values);
    return result;
}

exchange::rollout_row_list rollout_evidence::rows(bool for_group, bool is_first_to_receiver,
                                                  helpers::time_point now) {
    this->collect_own(now);
    const bool sends_all = is_first_to_receiver || ++this->sends % full_interval == 0;
    exchange::rollout_row_list result;
    for (const auto& [service, order] : this->orders)
        for (const auto& [key, values] : this->sum(service, order, for_group, false)) {
            auto& sent = this->last_sent[key];
            if (sends_all || sent != values)
                result.push_back(to_message(key, values));
            sent = values;
        }
    return result;
}

std::map<rollout::row_key, rollout::counts> rollout_evidence::totals(rollout::service_key service,
                                                                     rollout::order_id order,
                                                                     helpers::time_point now) {
    this->collect_own(now);
    return this->sum(service, order, true, true);
}

} // namespace samphirespool::gateway
