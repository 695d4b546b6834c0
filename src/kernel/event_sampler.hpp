// Bounds the log events of one kind: the first one of each interval is written, and states how many
// were left out before.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace samphirespool::kernel {

class event_sampler {
public:
    // Returns how many events of the kind were left out since the last one that was written, or
    // nothing if this one is to be left out. The kinds are a few fixed texts.
    std::optional<std::uint64_t> admit(std::string_view kind, helpers::time_point now) {
        auto found = this->kinds.find(kind);
        if (found == this->kinds.end())
            found = this->kinds.emplace(std::string(kind), state{now - interval, 0}).first;
        auto& current = found->second;
        if (now - current.written_at < interval) {
            ++current.left_out;
            return std::nullopt;
        }
        current.written_at = now;
        return std::exchange(current.left_out, 0);
    }

private:
    static constexpr helpers::duration interval = std::chrono::seconds(1);

    struct state {
        helpers::time_point written_at;
        std::uint64_t left_out;
    };

    std::map<std::string, state, std::less<>> kinds;
};

} // namespace samphirespool::kernel
