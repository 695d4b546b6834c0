// Interface for orders to engines: loading models, adapters and versions, and changing roles. Not
// implemented yet; docs/design/recovery.md states the rules for an implementation.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace samphirespool::config {

// Identifies one holder of the lease that permits orders to engines. Each new holder gets a higher
// token by a conditional update in the store.
using fencing_token = std::uint64_t;

// The state that an engine should reach, rather than a step towards it, so that an order may be
// retried.
struct desired_engine_state {
    helpers::target_id target;
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role;
};

enum class order_status : std::uint8_t {
    // The engine has reported the desired state.
    in_effect,
    in_progress,
    // The engine has received a higher fencing token, or this router's lease has expired by its own
    // clock.
    superseded,
    unreachable,
};

class engine_order_service {
public:
    virtual ~engine_order_service() = default;

    // Sets the desired states of all engines. Engines that differ get orders, and their state is
    // read back until it agrees.
    virtual void set_desired(std::vector<desired_engine_state> states) = 0;
    virtual order_status status(helpers::target_id target) const = 0;

    // The token of this router's lease; 0 if it does not hold the lease. For targets that ignore
    // the token (service_definition::checks_fencing is false), a new holder sends its first order
    // only after the old holder's lease has expired by the new holder's clock.
    virtual fencing_token token() const = 0;
    virtual helpers::time_point lease_expires_at() const = 0;
};

} // namespace samphirespool::config
