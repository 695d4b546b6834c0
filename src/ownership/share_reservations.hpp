// Admission by share leases: the reservation service of the request path. The candidates of a
// request may belong to several shards. The shards' owners are tried in order of preference; if
// none has capacity, the request waits in the queue of the first one.
#pragma once

#include "kernel/loop.hpp"
#include "ownership/share_manager.hpp"

#include <unordered_map>

namespace samphirespool::ownership {

class share_reservations final : public admission::reservation_service {
public:
    share_reservations(kernel::loop& loop, share_manager& manager, share_timing timing = {})
        : loop(loop), manager(manager), timing(timing) {}
    ~share_reservations() override;

    void reserve(admission::reservation_request request,
                 std::function<void(admission::reservation_reply)> done) override;
    void cancel(const helpers::request_id& request) override;
    void finish(const admission::release& released) override;

    // Number of requests that have neither a grant nor a rejection.
    std::size_t waiting() const { return this->pending.size(); }

private:
    // Candidates of one request in the same shard.
    struct candidate_group {
        shard_id shard;
        std::vector<helpers::target_id> candidates;
    };
    struct pending_request {
        admission::reservation_request request;
        std::function<void(admission::reservation_reply)> done;
        std::vector<candidate_group> groups;
        // Index of the group that is being tried.
        std::size_t group_index = 0;
        // Every group was tried without waiting; the request may now be queued.
        bool may_wait = false;
        reservation_number number = 0;
        kernel::timer_id timeout = 0;
    };

    std::vector<candidate_group> group_candidates(std::span<const helpers::target_id> ids) const;
    void request_grant(pending_request& pending_entry);
    void on_grant(const helpers::request_id& id, const grant_item& item);
    void on_no_capacity(const helpers::request_id& id, const no_capacity_item& item);
    void reject(const helpers::request_id& id, kernel::error reason);

    kernel::loop& loop;
    share_manager& manager;
    share_timing timing;
    std::unordered_map<helpers::request_id, pending_request> pending;
};

} // namespace samphirespool::ownership
