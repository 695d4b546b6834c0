// Interface of orders to engines: loads of models, adapters and versions, and changes of role. No
// implementation yet; docs/design/recovery.md says what one has to keep.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace samphirespool::config {

// Grows with every holder of the right to order; given out by a conditional update in the store.
using fencing_number = std::uint64_t;

// What an engine shall be, never a step to be taken, so that an order may be given again.
struct desired_engine_state {
    helpers::target_id target;
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role;
};

enum class order_status : std::uint8_t {
    // Read back from the engine.
    in_effect,
    in_progress,
    // The engine saw a higher fencing number, or this router's right has run out by its own clock.
    superseded,
    unreachable,
};

class engine_order_service {
public:
    virtual ~engine_order_service() = default;

    // The desired states of all engines; differences are ordered, and read back until they agree.
    virtual void set_desired(std::vector<desired_engine_state> wanted) = 0;
    virtual order_status status(helpers::target_id target) const = 0;

    // 0 if this router does not hold the right to order. For targets that ignore the number
    // (service_definition::checks_fencing is false), a new holder's first order comes only after
    // the old holder's time has run out by the new holder's clock.
    virtual fencing_number held_number() const = 0;
    virtual helpers::time_point held_until() const = 0;
};

} // namespace samphirespool::config
