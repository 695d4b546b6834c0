// Interface of claims: a non-idempotent request with a key is claimed in the store before it is
// sent, so that it runs at most once in the fleet.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"
#include "kernel/error.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace samphirespool::claims {

struct claim_request {
    helpers::request_id request;
    helpers::organisation_id organisation;
    // The caller's idempotency key.
    std::string key;
    // Hash of method, path and body: the same key with another request is a conflict.
    std::uint64_t fingerprint = 0;
    helpers::time_point deadline;
};

enum class claim_verdict : std::uint8_t {
    // This request holds the claim and may be sent before valid_until by this router's clock.
    claimed,
    // Another request with the key was sent or may have been; it is never sent again.
    taken,
    // As taken, and the earlier request is known to have been answered.
    executed,
    // The key belongs to a request with another fingerprint.
    mismatch,
    // The key is older than the validity of keys.
    expired,
    // The claim could not be made before the deadline; nothing was or will be sent.
    unavailable,
};

struct claim_result {
    claim_verdict verdict = claim_verdict::unavailable;
    helpers::time_point valid_until;
};

class claim_service {
public:
    virtual ~claim_service() = default;
    virtual void claim(claim_request request, std::function<void(claim_result)> done) = 0;

    // The claimed request was answered; later requests with the key learn `executed`.
    virtual void complete(const claim_request& request) = 0;

    // The claimed request provably was not sent; the key can be claimed again.
    virtual void release(const claim_request& request) = 0;
};

} // namespace samphirespool::claims
