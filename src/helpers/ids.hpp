// The identifiers of the fleet. The id of a named object is the hash of its name, so that every
// process computes the same number without coordination. The names themselves are used only in
// settings, APIs and logs.
#pragma once

#include "helpers/strong_id.hpp"

#include <string>
#include <string_view>

namespace samphirespool::helpers {

using target_id = strong_id<struct target_tag>;
using service_id = strong_id<struct service_tag>;
using organisation_id = strong_id<struct organisation_tag>;
using vm_id = strong_id<struct vm_tag>;
using data_centre_id = strong_id<struct data_centre_tag>;
using region_id = strong_id<struct region_tag>;
using router_id = strong_id<struct router_tag>;
using chat_key = strong_id<struct chat_tag>;

// One run of a process from start to stop. Invariant: a later incarnation of the same router has a
// larger value.
using incarnation = strong_id<struct incarnation_tag>;

// 64-bit hash of a name; the same on every machine and in every release.
std::uint64_t hash_name(std::string_view name);

// The id of the object with the given name.
template <class Id>
Id id_of(std::string_view name) {
    return Id{hash_name(name)};
}

// Identifies one request in the fleet: the router that accepted it, that router's incarnation, and
// a counter within the incarnation.
struct request_id {
    router_id router;
    helpers::incarnation incarnation;
    std::uint64_t sequence = 0;

    friend constexpr auto operator<=>(const request_id&, const request_id&) = default;
};

// Formats router, incarnation and sequence in hex, separated by hyphens, as in logs and headers.
std::string to_string(const request_id& request);

} // namespace samphirespool::helpers

template <>
struct std::hash<samphirespool::helpers::request_id> {
    std::size_t operator()(const samphirespool::helpers::request_id& id) const noexcept {
        return static_cast<std::size_t>(id.router.value ^
                                        (id.incarnation.value * 0x9e3779b97f4a7c15ULL) ^
                                        (id.sequence * 0xc2b2ae3d27d4eb4fULL));
    }
};
