// Record lookup and the rules that evaluate calls.
#include "claims/claim_table.hpp"

#include <algorithm>

namespace samphirespool::claims {

namespace {

claim_record with_state(const claim_record& known, claim_state state) {
    auto result = known;
    result.state = state;
    return result;
}

call_effect evaluate_known_claim(const claim_call& call, const claim_record& known) {
    // A request that was released is never sent afterwards, so it gets no second claim.
    if (known.request == call.request && known.state == claim_state::released)
        return {claim_verdict::unavailable, std::nullopt};
    if (known.request == call.request && known.state == claim_state::claimed)
        return {claim_verdict::claimed, std::nullopt};
    if (known.fingerprint != call.fingerprint)
        return {claim_verdict::mismatch, std::nullopt};
    return {known.state == claim_state::executed ? claim_verdict::executed : claim_verdict::taken,
            std::nullopt};
}

call_effect evaluate_claim(const claim_call& call, const claim_record* known,
                           helpers::wall_milliseconds floor, helpers::wall_milliseconds now) {
    const auto is_dated = call.key_date != 0;
    // The floor is durable, so every owner rejects a key whose record may have been removed,
    // whatever its clock shows.
    if (is_dated && (call.key_date <= floor || call.key_date + key_validity_ms < now ||
                     call.key_date > now + max_key_lead_ms))
        return {claim_verdict::expired, std::nullopt};
    const auto is_free = known == nullptr ||
                         (known->state == claim_state::released && known->request != call.request);
    if (!is_free)
        return evaluate_known_claim(call, *known);
    claim_record record;
    record.key = call.key;
    record.fingerprint = call.fingerprint;
    record.request = call.request;
    record.date = is_dated ? call.key_date : std::max(now, floor + 1);
    return {claim_verdict::claimed, record};
}

} // namespace

const claim_record* claim_table::find(const claim_key& key) const {
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
}

void claim_table::add(const claim_record& record) {
    const auto [at, added] = this->records.try_emplace(record.key, record);
    if (!added && at->second.order < record.order)
        at->second = record;
}

void claim_table::remove_up_to(helpers::wall_milliseconds floor) {
    std::erase_if(this->records, [floor](const auto& entry) { return entry.second.date <= floor; });
}

std::vector<claim_record> claim_table::in_range(std::uint64_t first_order,
                                                std::uint64_t last_order) const {
    std::vector<claim_record> result;
    for (const auto& [key, record] : this->records)
        if (record.order >= first_order && record.order <= last_order)
            result.push_back(record);
    return result;
}

call_effect evaluate(const claim_call& call, const claim_record* known,
                     helpers::wall_milliseconds floor, helpers::wall_milliseconds now) {
    if (call.action == claim_action::claim)
        return evaluate_claim(call, known, floor, now);
    const auto is_own =
        known != nullptr && known->request == call.request && known->state == claim_state::claimed;
    if (!is_own)
        return {};
    const auto state =
        call.action == claim_action::complete ? claim_state::executed : claim_state::released;
    return {std::nullopt, with_state(*known, state)};
}

} // namespace samphirespool::claims
