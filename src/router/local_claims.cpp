// A table of keys.
#include "router/local_claims.hpp"

namespace samphirespool::router {

namespace {

constexpr auto claim_validity = std::chrono::minutes(10);

} // namespace

void local_claims::claim(claims::claim_request request,
                         std::function<void(claims::claim_result)> done) {
    using claims::claim_verdict;
    const auto valid_until = this->time.now() + claim_validity;
    const auto [place, is_new] = this->entries.try_emplace(
        {request.organisation, request.key}, entry{request.request, request.fingerprint, false});
    if (is_new)
        done({claim_verdict::claimed, valid_until});
    else if (place->second.fingerprint != request.fingerprint)
        done({claim_verdict::mismatch, {}});
    else if (place->second.executed)
        done({claim_verdict::executed, {}});
    else
        done({claim_verdict::taken, {}});
}

void local_claims::complete(const claims::claim_request& request) {
    const auto found = this->entries.find({request.organisation, request.key});
    if (found != this->entries.end() && found->second.holder == request.request)
        found->second.executed = true;
}

void local_claims::release(const claims::claim_request& request) {
    const auto found = this->entries.find({request.organisation, request.key});
    if (found != this->entries.end() && found->second.holder == request.request)
        this->entries.erase(found);
}

} // namespace samphirespool::router
