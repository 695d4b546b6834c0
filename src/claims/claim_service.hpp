// Interface of claims. A non-idempotent request with an idempotency key is claimed in the store
// before it is sent to a target, so that it runs at most once in the fleet.
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
    // This request holds the claim and may be sent until valid_until by this router's clock.
    claimed,
    // Another request with the key was sent or may have been; the key is never sent again.
    taken,
    // As taken, and the earlier request is known to have received a response.
    executed,
    // The key belongs to a request with another fingerprint.
    mismatch,
    // The key is older than the validity of keys.
    expired,
    // The claim could not be made before the deadline; the request was not and will not be sent.
    unavailable,
};

struct claim_result {
    claim_verdict verdict = claim_verdict::unavailable;
    helpers::time_point valid_until;
};

class claim_service {
public:
    virtual ~claim_service() = default;
    // Claims the key for the request; `callback` runs once, with the verdict, by the deadline.
    virtual void claim(claim_request request, std::function<void(claim_result)> callback) = 0;

    // The claimed request received a response; later requests with the key get `executed`.
    virtual void complete(const claim_request& request) = 0;

    // The claimed request was certainly not sent; another request can claim the key.
    virtual void release(const claim_request& request) = 0;
};

} // namespace samphirespool::claims
