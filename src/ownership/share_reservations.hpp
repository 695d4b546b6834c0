// Admission by share leases: the reservation service that the request path uses. The candidates of
// a request may belong to several shards; each shard's owner is asked in order of preference, and
// the request waits at the first one if none has room.
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
    void finish(const admission::release& ended) override;

    std::size_t waiting() const { return this->pending.size(); }

private:
    struct candidate_group {
        shard_id shard;
        std::vector<helpers::target_id> candidates;
    };
    struct pending_request {
        admission::reservation_request request;
        std::function<void(admission::reservation_reply)> done;
        std::vector<candidate_group> groups;
        std::size_t group = 0;
        // Whether every group was asked without waiting.
        bool may_wait = false;
        reservation_number number = 0;
        kernel::timer_id timeout = 0;
    };

    std::vector<candidate_group> group_candidates(std::span<const helpers::target_id> ids) const;
    void ask(pending_request& asking);
    void on_grant(const helpers::request_id& id, const grant_item& item);
    void on_full(const helpers::request_id& id, const no_capacity_item& item);
    void refuse(const helpers::request_id& id, kernel::error reason);

    kernel::loop& loop;
    share_manager& manager;
    share_timing timing;
    std::unordered_map<helpers::request_id, pending_request> pending;
};

} // namespace samphirespool::ownership
