// Results of the versions of a service on each route since the order of a rollout. Each gateway
// counts its own and sends the rows that changed; the receiver adds up the last rows of each
// gateway, so that a lost or repeated message does no harm.
#pragma once

#include "rollout/order.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirespool::rollout {

// Index: twice the binary logarithm of the milliseconds; the last one holds all longer durations.
// Whole powers of two would make 250 ms and 260 ms look like a factor of two.
constexpr std::size_t duration_classes = 36;
using duration_counts = std::array<std::uint32_t, duration_classes>;
std::size_t duration_class(helpers::duration time);
// In milliseconds; 0 for the first class.
double lower_bound_of_class(std::size_t index);
// The duration below which this share of the counted ones lies, interpolated within its class; 0
// if there are none.
helpers::duration quantile(const duration_counts& given, double share);

struct row_key {
    service_key service = 0;
    order_id order;
    // A target of the new version, or no_target for all others.
    target_key target = no_target;
    route_key route = 0;

    friend auto operator<=>(const row_key&, const row_key&) = default;
};

struct counts {
    std::uint32_t answered = 0;
    // Part of `answered`, but a stream's failure may be counted later than its answer.
    std::uint32_t failed = 0;
    // Successful answers; without those of targets that are cold or new.
    duration_counts durations{};

    void add(const counts& other);
    // What was added since `earlier`; 0 where a gateway that restarted has counted anew.
    counts since(const counts& earlier) const;
    std::uint32_t timed() const;
    bool is_empty() const { return this->answered == 0 && this->failed == 0; }
    friend bool operator==(const counts&, const counts&) = default;
};

struct evidence_row {
    row_key key;
    counts values;
};

// A stream is recorded twice, since it may last longer than the rollout: as `progress` when it has
// its fourth event, and as `end` after that. Counted at its end only, the failures of a version
// whose traffic grows would be counted before its successes. `progress` counts the answer and its
// duration, `end` only a failure. All others, and streams that end earlier, are recorded as
// `whole`.
enum class outcome_part : std::uint8_t { whole, progress, end };

// One answer of a target, or its failure.
struct outcome {
    bool is_failure = false;
    // The target is cold, or was registered less than warm_up_time ago: the duration is not
    // counted, since its prefix cache is empty.
    bool is_cold = false;
    // Since the request was sent: to the last byte, to the failure, or for `progress` until now.
    helpers::duration total{};
    // Events of a stream; 0 for other responses.
    std::uint32_t events = 0;
    // From the first event to the last.
    helpers::duration between_events{};
    outcome_part part = outcome_part::whole;

    static constexpr helpers::duration warm_up_time = std::chrono::seconds(3);
};

// Counts the answers that one gateway received. Used only by its loop.
class evidence_log {
public:
    // Counts answers of `service` for this order from now on; those of other orders are dropped.
    void begin(service_key service, order_id order, software_key to);
    void end(service_key service);

    // Without begin() only the total time is kept. `target` is counted by itself if `software` is
    // the order's version.
    // Do not record answers to requests that were cancelled by the caller.
    void record(service_key service, route_key route, software_key software, target_key target,
                const outcome& result, helpers::time_point now);
    // Rows that changed since the last call, or all rows, as for a receiver that has none. A
    // failure is counted when most answers to requests that were sent at the same time have been:
    // otherwise an outage condemns a version whose requests have just begun, since failures are
    // fast.
    std::vector<evidence_row> changed_rows(helpers::time_point now, bool all = false);

    // Times to the last byte of a route's requests at versions that are not being rolled out, for
    // the change-over; null if there are none.
    const duration_counts* total_times(service_key service, route_key route) const;

private:
    struct counted_order {
        order_id order;
        software_key to = 0;
    };
    struct counted_row {
        counts values;
        bool is_changed = false;
    };

    struct early_failure {
        helpers::time_point due{};
        row_key key;
    };

    static void count_time(duration_counts& times, helpers::duration time);
    helpers::duration usual_time(service_key service, route_key route) const;
    void count_failures(helpers::time_point now);

    std::map<service_key, counted_order> orders;
    std::map<std::pair<service_key, route_key>, duration_counts> totals;
    // From the send until the answer is counted.
    std::map<std::pair<service_key, route_key>, duration_counts> answer_times;
    // Invariant: only of `orders`.
    std::vector<early_failure> early_failures;
    // Invariant: only rows of `orders`.
    std::map<row_key, counted_row> rows;
};

// Sum of the last rows of each gateway.
class evidence_totals {
public:
    // Rows replace those of the same gateway. `gateway` changes at a restart, so that rows of its
    // earlier life remain.
    void merge(std::string_view gateway, const std::vector<evidence_row>& rows);
    // Forgets all rows of the service but those of this order.
    void retain(service_key service, order_id order);
    // Sums by target and route.
    std::map<row_key, counts> rows_of(service_key service, order_id order) const;

private:
    std::map<row_key, std::map<std::string, counts, std::less<>>> rows;
};

} // namespace samphirespool::rollout
