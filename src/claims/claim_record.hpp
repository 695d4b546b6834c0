// Data of the journal of a claim shard: one record for each change of a key, the head object that
// holds the newest records, and the immutable snapshot objects that hold the older ones.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::claims {

// 128-bit hash of organisation and key, wide enough that two keys do not collide by chance.
struct claim_key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend constexpr auto operator<=>(const claim_key&, const claim_key&) = default;
};

struct claim_key_hash {
    std::size_t operator()(const claim_key& key) const noexcept {
        return static_cast<std::size_t>(key.low);
    }
};

claim_key key_of(helpers::organisation_id organisation, std::string_view text);

// The date in a key: that of a UUID of version 7, or decimal milliseconds since the Unix epoch (13
// digits) before the first '-'. Returns nullopt for any other key.
std::optional<helpers::wall_milliseconds> date_of(std::string_view text);

enum class claim_state : std::uint8_t {
    // The request may have been sent to a target.
    claimed,
    // The target has responded.
    executed,
    // The request was certainly not sent; another one may claim the key.
    released,
};

struct claim_record {
    claim_key key;
    std::uint64_t fingerprint = 0;
    helpers::request_id request;
    claim_state state = claim_state::claimed;
    // The key's own date, or that of the first claim if the key has none.
    helpers::wall_milliseconds date = 0;
    // Position in the shard's history. Invariant: of two records of a key, the one with the higher
    // order is valid.
    std::uint64_t order = 0;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

struct snapshot_reference {
    // Invariant: a name is never used for another content.
    std::string name;
    // Version of the object; 0 if the reply to its write was lost.
    std::uint64_t version = 0;
    std::uint64_t first_order = 0;
    std::uint64_t last_order = 0;
    std::uint32_t count = 0;
    helpers::wall_milliseconds newest_date = 0;

    friend bool operator==(const snapshot_reference&, const snapshot_reference&) = default;
};

struct journal_head {
    // The journal that wrote this version, and a number that it never repeats.
    std::string writer;
    std::uint64_t nonce = 0;
    // Keys dated up to here are rejected forever. Invariant: never decreases; only records dated up
    // to here are removed.
    helpers::wall_milliseconds floor = 0;
    std::uint64_t next_order = 1;
    std::vector<claim_record> recent;
    // Invariant: sorted by order; their ranges do not overlap.
    std::vector<snapshot_reference> snapshots;

    friend bool operator==(const journal_head&, const journal_head&) = default;
};

// JSON text of the objects. Parsing returns nullopt for malformed text.
std::string write_head(const journal_head& head);
std::optional<journal_head> parse_head(std::string_view text);
std::string write_records(const std::vector<claim_record>& records);
std::optional<std::vector<claim_record>> parse_records(std::string_view text);

} // namespace samphirespool::claims
