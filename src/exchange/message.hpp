// Messages of the load exchange between gateways: requests in flight and recent results per target,
// the feed updates that a gateway has read from the store, evidence against what crashes targets,
// the limits that targets have named, their current speeds, and the software versions at which
// streams began.
#pragma once

#include "admission/crash_quarantine.hpp"
#include "admission/fleet_outliers.hpp"
#include "admission/target_limits.hpp"
#include "admission/target_speeds.hpp"
#include "discovery/feed.hpp"
#include "exchange/feed_log.hpp"
#include "helpers/time.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace samphirespool::exchange {

constexpr std::size_t feed_count = discovery::feed_count;

struct target_count {
    // Identifies one incarnation of a target; see discovery::tracked_target.
    std::uint32_t incarnation_hash = 0;
    // Requests that have not finished.
    std::uint32_t in_flight = 0;
    // Recent results of all gateways that are summed up.
    admission::result_counts results;
    // Recent results of the gateways in the receiver's data centre; set only in replies to
    // followers.
    admission::result_counts same_data_centre;

    friend bool operator==(const target_count&, const target_count&) = default;
};

using target_counts = std::vector<target_count>;

// Software version at which a resumable stream began; see exchange/stream_origins.hpp.
struct stream_origin {
    // Hash of the id of the caller's attempt that brought the first event.
    std::uint64_t attempt = 0;
    // See discovery::software_hash(); 0 in a reply if the origin is unknown.
    std::uint32_t software = 0;

    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

using stream_origin_list = std::vector<stream_origin>;

// Results of a software version on a route since the order of a rollout; see
// rollout/evidence.hpp. Cumulative, so that a lost message does no harm.
struct rollout_row {
    std::uint64_t service = 0;
    std::uint64_t order = 0;
    // Incarnation of a target of the new version; 0 for all targets of the old ones.
    std::uint32_t target = 0;
    std::uint64_t route = 0;
    std::uint32_t answered = 0;
    std::uint32_t failed = 0;
    // See rollout::duration_class().
    std::vector<std::uint32_t> durations;

    friend bool operator==(const rollout_row&, const rollout_row&) = default;
};

// Permission to use the versions of a service as in `phase`; see rollout/rollout_view.hpp.
struct rollout_directive {
    std::uint64_t service = 0;
    std::uint64_t order = 0;
    std::uint8_t phase = 0;
    // Time until the deadline of the order.
    helpers::duration left{};
    // Time since the directive was issued.
    helpers::duration age{};

    friend bool operator==(const rollout_directive&, const rollout_directive&) = default;
};

using rollout_row_list = std::vector<rollout_row>;
using rollout_directive_list = std::vector<rollout_directive>;

// Sent by a gateway to the hub of its group, or by a hub to the hub of another group.
struct report {
    // Number of the sender's report; the reply repeats it.
    std::uint32_t round = 0;
    // The sender is a hub, and `loads` holds the totals of its whole group.
    bool for_group = false;
    // The sender gets its feed updates from the receiver.
    bool wants_updates = true;
    // The latest era of the source that the sender knows; 0 if none.
    std::uint64_t era = 0;
    // Revision up to which the sender has read each feed in that era, indexed by collection.
    std::array<std::uint64_t, feed_count> revisions{};
    // Number of feeds that the sender knows; those after it are not sent to it.
    std::size_t known_feeds = feed_count;
    target_counts loads;
    admission::crash_evidence_list evidence;
    admission::target_limit_list limits;
    admission::target_speed_list speeds;
    stream_origin_list origins;
    // Attempts whose origins the sender looks up.
    std::vector<std::uint64_t> wanted_origins;
    // The services that their callers ask for; empty in reports of earlier releases.
    std::vector<std::uint64_t> wanted_services;
    rollout_row_list rollout_rows;
    rollout_directive_list rollout_directives;
    // See configuration_channel; 0 in reports of earlier releases.
    std::uint64_t configuration_version = 0;
    // Set if the receiver has asked for it.
    std::string configuration;
};

// Changes of one feed since the revision that a report stated.
struct feed_update {
    discovery::collection collection = discovery::collection::configuration;
    // Time since the sender's data was last confirmed by the source, directly or through peers.
    helpers::duration age{};
    discovery::source_position position;
    // Empty if the sender cannot supply the changes since the stated revision.
    std::optional<feed_difference> difference;
};

struct reply {
    // The round of the report.
    std::uint32_t round = 0;
    // Empty if the report wanted no updates, or if the sender's content is too old to pass on.
    std::vector<feed_update> feeds;
    // Totals of the whole fleet, or of the group in replies to other hubs. May be limited to the
    // targets with failures and the most requests.
    target_counts loads;
    // Upper bound of the requests in flight on any target that is not listed.
    std::uint32_t max_unlisted_in_flight = 0;
    admission::crash_evidence_list evidence;
    admission::target_limit_list limits;
    admission::target_speed_list speeds;
    stream_origin_list origins;
    rollout_directive_list rollout_directives;
    // Set if it is later than the receiver's, and no feed update brings it.
    std::string configuration;
    // The receiver has a later one than the sender.
    bool wants_configuration = false;
};

} // namespace samphirespool::exchange
