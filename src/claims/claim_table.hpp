// The durable records of one claim shard in memory, and the rules that evaluate a call on a key.
// The table holds only records of the head and its snapshots, none that are not durable yet.
#pragma once

#include "claims/claim_record.hpp"
#include "claims/claim_service.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace samphirespool::claims {

// Keys older than this are rejected, and their records may be removed.
constexpr helpers::wall_milliseconds key_validity_ms = 24LL * 3600 * 1000;
// Keys dated further in the future than this are rejected.
constexpr helpers::wall_milliseconds max_key_lead_ms = 3600LL * 1000;

enum class claim_action : std::uint8_t {
    claim,
    complete,
    release,
};

// One call on a key, as the shard's owner receives it.
struct claim_call {
    claim_action action = claim_action::claim;
    std::uint32_t shard = 0;
    helpers::request_id request;
    claim_key key;
    // The key's own date; 0 if it has none.
    helpers::wall_milliseconds key_date = 0;
    std::uint64_t fingerprint = 0;
    // Time until the request's deadline, from when the call was sent.
    helpers::duration remaining{};
};

// Result of evaluating a call: a verdict, a record to add, both or neither. A verdict with a record
// is valid only once the record is durable.
struct call_effect {
    std::optional<claim_verdict> verdict;
    std::optional<claim_record> record;
};

using record_map = std::unordered_map<claim_key, claim_record, claim_key_hash>;

class claim_table {
public:
    const claim_record* find(const claim_key& key) const;
    std::size_t size() const { return this->records.size(); }

    // Of two records of a key the one with the higher order is kept.
    void add(const claim_record& record);
    // Removes all records dated up to the floor.
    void remove_up_to(helpers::wall_milliseconds floor);
    // The records whose order is within the closed range.
    std::vector<claim_record> in_range(std::uint64_t first_order, std::uint64_t last_order) const;

private:
    record_map records;
};

// Evaluates a call. `known` is the key's latest record, or null. The order of the result's record
// is left at 0. Times are in milliseconds of the wall clock.
call_effect evaluate(const claim_call& call, const claim_record* known,
                     helpers::wall_milliseconds floor, helpers::wall_milliseconds now);

} // namespace samphirespool::claims
