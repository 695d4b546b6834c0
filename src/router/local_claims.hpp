// Claims of idempotency keys in a router without a platform. They are kept in memory only: a
// restart loses them.
#pragma once

#include "claims/claim_service.hpp"
#include "kernel/clock.hpp"

#include <map>
#include <string>
#include <utility>

namespace samphirespool::router {

class local_claims final : public claims::claim_service {
public:
    explicit local_claims(const kernel::clock& time) : time(time) {}

    void claim(claims::claim_request request,
               std::function<void(claims::claim_result)> callback) override;
    void complete(const claims::claim_request& request) override;
    void release(const claims::claim_request& request) override;

private:
    using key = std::pair<helpers::organisation_id, std::string>;

    struct entry {
        helpers::request_id holder;
        std::uint64_t fingerprint = 0;
        bool executed = false;
    };

    const kernel::clock& time;
    std::map<key, entry> entries;
};

} // namespace samphirespool::router
