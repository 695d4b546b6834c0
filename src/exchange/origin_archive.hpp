// What a hub can say of a stream from the store, beyond the records in its memory.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <optional>

namespace samphirespool::exchange {

class origin_archive {
public:
    virtual ~origin_archive() = default;

    // The software version at which the stream began, 0 if it is unknown, or nothing while that
    // cannot be said yet. `service` is the one that the caller asks for; 0 if it was not stated.
    virtual std::optional<std::uint32_t> origin_of(std::uint64_t attempt, std::uint64_t service,
                                                   helpers::time_point now) = 0;
};

} // namespace samphirespool::exchange
