// Claims, completes and releases keys in a map.
#include "router/local_claims.hpp"

namespace samphirespool::router {

namespace {

// How long the holder may send its request after the claim.
constexpr auto claim_validity = std::chrono::minutes(10);

} // namespace

void local_claims::claim(claims::claim_request request,
                         std::function<void(claims::claim_result)> callback) {
    using claims::claim_verdict;
    const auto valid_until = this->time.now() + claim_validity;
    const auto [it, is_new] = this->entries.try_emplace(
        {request.organisation, request.key}, entry{request.request, request.fingerprint, false});
    if (is_new)
        callback({claim_verdict::claimed, valid_until});
    else if (it->second.fingerprint != request.fingerprint)
        callback({claim_verdict::mismatch, {}});
    else if (it->second.executed)
        callback({claim_verdict::executed, {}});
    else
        callback({claim_verdict::taken, {}});
}

void local_claims::complete(const claims::claim_request& request) {
    const auto it = this->entries.find({request.organisation, request.key});
    if (it != this->entries.end() && it->second.holder == request.request)
        it->second.executed = true;
}

void local_claims::release(const claims::claim_request& request) {
    const auto it = this->entries.find({request.organisation, request.key});
    if (it != this->entries.end() && it->second.holder == request.request)
        this->entries.erase(it);
}

} // namespace samphirespool::router
